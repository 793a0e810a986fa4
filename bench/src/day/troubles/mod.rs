//! The troubles of a day, as far as they can be played.

use rand::rngs::StdRng;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::day_file::Trouble;
use super::fleet::Fleet;
use super::journal::Journal;

mod gateways;
mod servers;

/// Where troubles are played.
#[derive(Clone, Debug)]
pub struct Scene {
    /// The fleet that they strike.
    pub fleet: Arc<Fleet>,
    /// Where they are recorded.
    pub journal: Arc<Journal>,
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

    /// Records an error of a trouble.
    fn check(&self, kind: &str, result: io::Result<()>) {
        if let Err(err) = result {
            self.journal
                .note_not_played(format!("{kind} in full: {err}"));
        }
    }
}

/// Plays a trouble to its end.
pub async fn play(scene: &Scene, trouble: &Trouble, rng: StdRng) {
    match trouble.kind.as_str() {
        "node_kill" | "node_freeze" | "node_slow" | "herd_kill" | "roll_term" | "hup" => {
            gateways::play(scene, trouble, rng).await;
        }
        "srv_crash" => servers::play(scene, trouble, rng).await,
        _ => scene.journal.note_not_played(trouble.kind.clone()),
    }
}
