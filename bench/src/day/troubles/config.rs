//! Changes of the configuration.

use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;
use std::io;
use std::time::Duration;
use std::time::Instant;

use super::Scene;
use super::gateways;
use crate::day::day_file::Trouble;
use crate::day::journal::Struck;

/// Routes that a large configuration adds if its entry doesn't say it.
const USUAL_ROUTES: usize = 300;
/// Time from one version of a storm to the next if its entry doesn't say it.
const STORM_GAP: f64 = 0.5;
/// Longest time from the confirmation of a change to the loss of power of a host that confirmed it.
const ACK_DELAY_MS: u64 = 4;

/// Writes the next version of the configuration and tells callers its keys.
pub(super) async fn publish(scene: &Scene) -> io::Result<()> {
    let operator = &scene.fleet.operator;
    operator.publish().await?;
    (scene.set_keys)(operator.keys());
    Ok(())
}

/// Plays a change.
pub(super) async fn play(scene: &Scene, trouble: &Trouble, rng: StdRng) {
    let operator = &scene.fleet.operator;
    match trouble.kind.as_str() {
        "config_storm" => storm(scene, trouble).await,
        "revoke" => revoke(scene, trouble, rng).await,
        "after_ack_kill" => kill_after_ack(scene, trouble, rng).await,
        "big_config" => {
            operator.add_idle_routes(trouble.count.unwrap_or(USUAL_ROUTES));
            change(scene, trouble, "further routes").await;
        }
        _ => {
            match trouble.how.as_str() {
                "idle" => operator.add_idle_routes(1),
                "" | "timeout" => operator.change_timeouts(),
                _ => {
                    operator.change_timeouts();
                    scene.leave_out(trouble, "the timeouts are changed instead");
                }
            }
            change(scene, trouble, "").await;
        }
    }
}

async fn change(scene: &Scene, trouble: &Trouble, what: &str) {
    let record = scene.begin(trouble, what, Struck::default());
    scene.check(&trouble.kind, publish(scene).await);
    scene.journal.end(record);
}

async fn storm(scene: &Scene, trouble: &Trouble) {
    let record = scene.begin(trouble, "", Struck::default());
    let gap = trouble.gap_s.unwrap_or(STORM_GAP);
    let number = (trouble.seconds() / gap.max(0.01)).ceil() as usize;
    for _ in 0..trouble.count.unwrap_or(number) {
        if Instant::now() >= scene.day_end {
            break;
        }
        scene.fleet.operator.change_timeouts();
        scene.check(&trouble.kind, publish(scene).await);
        scene.wait(Duration::from_secs_f64(gap)).await;
    }
    scene.journal.end(record);
}

async fn revoke(scene: &Scene, trouble: &Trouble, mut rng: StdRng) {
    let first = rng.random_range(0..1_000);
    for number in 0..trouble.count.unwrap_or(1) {
        if number > 0 {
            scene.wait(Duration::from_secs_f64(trouble.gap())).await;
        }
        let is_whole_team = number == 0 && trouble.has("last");
        let revoked = scene.fleet.operator.revoke(first + number, is_whole_team);
        change(
            scene,
            trouble,
            &format!("{} taken away", revoked.join(", ")),
        )
        .await;
    }
}

/// Lets hosts lose power right after a change was confirmed.
async fn kill_after_ack(scene: &Scene, trouble: &Trouble, mut rng: StdRng) {
    if trouble.has("timed") || trouble.has("taken") {
        scene.leave_out(trouble, "the change is waited for instead");
    }
    let all = gateways::candidates(scene, trouble);
    let first = rng.random_range(0..all.len().max(1));
    let number = trouble.count.unwrap_or(1).min(all.len());
    let struck = (0..number).map(|it| all[(first + it) % all.len()]);
    let struck: Vec<usize> = struck.collect();
    scene.fleet.operator.change_timeouts();
    scene.check(&trouble.kind, publish(scene).await);
    let delay = rng.random_range(0..=ACK_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(delay)).await;
    gateways::take_down(
        scene,
        trouble,
        struck,
        !trouble.has("kill"),
        Signal::SIGKILL,
    )
    .await;
}
