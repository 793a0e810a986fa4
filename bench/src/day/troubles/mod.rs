//! The troubles of a day, as far as they can be played.

use rand::rngs::StdRng;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::day_file::Closing;
use super::day_file::Trouble;
use super::fleet::Fleet;
use super::journal::Journal;
use super::journal::Struck;

pub mod callers;
mod config;
mod gateways;
mod links;
mod servers;
mod stages;
mod store;

/// Is told the keys of the last configuration, each with its team.
pub type SetKeys = Arc<dyn Fn(Vec<(String, String)>) + Send + Sync>;

/// Where troubles are played.
#[derive(Clone)]
pub struct Scene {
    /// The fleet that they strike.
    pub fleet: Arc<Fleet>,
    /// Where they are recorded.
    pub journal: Arc<Journal>,
    /// Tells callers their keys.
    pub set_keys: SetKeys,
    /// Whether the trouble stands in the plan of its day.
    pub is_planned: bool,
    /// When callers stop.
    pub day_end: Instant,
}

impl Scene {
    /// Waits for `time`, at most until the end of the day.
    async fn wait(&self, time: Duration) {
        let until = (Instant::now() + time).min(self.day_end);
        tokio::time::sleep_until(until.into()).await;
    }

    /// Waits for the time that a trouble lasts.
    async fn wait_out(&self, trouble: &Trouble) {
        self.wait(Duration::from_secs_f64(trouble.seconds())).await;
    }

    /// Records an error of a trouble.
    fn check(&self, kind: &str, result: io::Result<()>) {
        if let Err(err) = result {
            self.journal
                .note_not_played(format!("{kind} in full: {err}"));
        }
    }

    /// Records that a variant of a trouble isn't played.
    fn leave_out(&self, trouble: &Trouble, what: &str) {
        let text = format!("{} \"{}\": {what}", trouble.kind, trouble.how);
        self.journal.note_not_played(text);
    }

    fn begin(&self, trouble: &Trouble, what: &str, struck: Struck) -> usize {
        let detail = format!("{what} {}", trouble.how).trim().to_owned();
        self.journal
            .begin(&trouble.kind, detail, self.is_planned, struck)
    }
}

/// Plays a trouble to its end.
pub async fn play(scene: &Scene, trouble: &Trouble, rng: StdRng) {
    match trouble.kind.as_str() {
        "node_kill" | "node_freeze" | "node_slow" | "herd_kill" | "roll_term" | "hup"
        | "add_nodes" => {
            gateways::play(scene, trouble, rng).await;
        }
        "srv_crash" | "srv_slow" | "srv_grey" | "answer_lost" | "garble" => {
            servers::play(scene, trouble, rng).await;
        }
        "release" | "scale_out" | "scale_in" | "replace_with_reuse" => {
            stages::play(scene, trouble, rng).await;
        }
        "zone_cut" | "node_cut" | "core_cut" | "srv_cut" | "lossy" | "reset_conns" => {
            links::play(scene, trouble, rng).await;
        }
        "platform_down" | "platform_slow" | "platform_lost" | "platform_compact" => {
            store::play(scene, trouble, rng).await;
        }
        "config_change" | "config_storm" | "big_config" | "revoke" | "after_ack_kill" => {
            config::play(scene, trouble, rng).await;
        }
        _ if callers::is_of_callers(trouble) => callers::play(scene, trouble).await,
        _ => scene.journal.note_not_played(trouble.kind.clone()),
    }
}

/// Plays what strikes at the end of a day.
pub async fn close(scene: &Scene, closing: &Closing) {
    let trouble = Trouble {
        kind: closing.kind.clone(),
        at: 0.0,
        for_s: Some(closing.down_s),
        gap_s: None,
        share: None,
        count: None,
        x: None,
        how: closing.how.clone(),
        on: None,
        zone: None,
        to_zone: None,
        region: None,
        service: None,
        class: None,
    };
    scene.check(&trouble.kind, config::publish(scene).await);
    match trouble.kind.as_str() {
        "power_off_all" | "wipe_after_ack" => gateways::kill_all(scene, &trouble, true).await,
        "kill_all" => gateways::kill_all(scene, &trouble, false).await,
        _ => scene.journal.note_not_played(trouble.kind.clone()),
    }
}
