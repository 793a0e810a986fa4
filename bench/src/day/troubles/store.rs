//! Troubles of the store.

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::time::Duration;

use super::Scene;
use super::config;
use super::gateways;
use crate::day::day_file::Trouble;
use crate::day::journal::Struck;
use crate::day::links::Effect;
use crate::day::links::Rule;
use crate::day::links::Target;

/// Share of the gateways that the store turns away.
const USUAL_SHARE: f64 = 0.35;
/// Time that an answer of the store takes, and how many times longer it takes while it is slow.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const USUAL_SLOWNESS: f64 = 50.0;
/// Share of the writes that aren't answered.
const USUAL_LOSS: f64 = 0.3;
/// Longest time until a write that isn't answered is done.
const LATE_MS: std::ops::Range<u64> = 1_000..6_000;
/// Keys that are taken away while gateways are turned away.
const REVOKED: usize = 2;

/// Plays a trouble of the store.
pub(super) async fn play(scene: &Scene, trouble: &Trouble, mut rng: StdRng) {
    let store = &scene.fleet.store;
    match trouble.kind.as_str() {
        "platform_down" => turn_away(scene, trouble, rng).await,
        "platform_slow" => {
            let slowness = trouble.x.unwrap_or(USUAL_SLOWNESS);
            let record = scene.begin(trouble, "", Struck::default());
            let setting = store.set_delay(ANSWER_TIME.mul_f64(slowness));
            scene.check(&trouble.kind, setting.await);
            scene.wait_out(trouble).await;
            scene.check(&trouble.kind, store.set_delay(Duration::ZERO).await);
            scene.journal.end(record);
        }
        "platform_lost" => {
            let permille = trouble.x.unwrap_or(USUAL_LOSS) * 1e3;
            let later = match trouble.has("late") {
                true => Duration::from_millis(rng.random_range(LATE_MS)),
                false => Duration::ZERO,
            };
            let record = scene.begin(trouble, "", Struck::default());
            let setting = store.set_loss(permille as u32, later);
            scene.check(&trouble.kind, setting.await);
            scene.wait_out(trouble).await;
            let setting = store.set_loss(0, Duration::ZERO);
            scene.check(&trouble.kind, setting.await);
            scene.journal.end(record);
        }
        _ => forget(scene, trouble).await,
    }
}

async fn forget(scene: &Scene, trouble: &Trouble) {
    if trouble.has("rewind") || trouble.has("rebalance") {
        scene.leave_out(
            trouble,
            "the store keeps no groups; its history is dropped instead",
        );
    }
    let record = scene.begin(trouble, "", Struck::default());
    for topic in ["keyed.op", "keyed.servers"] {
        let dropping = scene.fleet.store.drop_history(topic);
        scene.check(&trouble.kind, dropping.await);
    }
    scene.journal.end(record);
}

/// Lets the store turn gateways away: those of a share, or all.
async fn turn_away(scene: &Scene, trouble: &Trouble, mut rng: StdRng) {
    let effect = if trouble.has("busy") {
        Effect::Answer(503)
    } else if trouble.has("many") {
        Effect::Answer(429)
    } else if trouble.has("reset") {
        Effect::Reset
    } else {
        Effect::Silent
    };
    let mut struck = gateways::candidates(scene, trouble);
    if trouble.has("nodes") {
        struck.shuffle(&mut rng);
        struck.truncate(trouble.number_of(struck.len(), USUAL_SHARE));
    }
    if trouble.has("log") || trouble.has("tables") || trouble.has("lapse") {
        scene.leave_out(trouble, "the whole store is down instead");
    }
    let names = gateways::names(scene, &struck);
    let record = scene.begin(
        trouble,
        &names,
        Struck {
            gateways: struck.clone(),
            ..Struck::default()
        },
    );
    let rule = scene.fleet.links.put(Rule {
        gateways: struck,
        targets: vec![Target::Store],
        effect,
    });
    if trouble.has("revoke") {
        let first = rng.random_range(0..1_000);
        for number in 0..REVOKED {
            scene.fleet.operator.revoke(first + number, number == 0);
        }
    }
    if trouble.has("revoke") || trouble.has("meet") {
        scene.check(&trouble.kind, config::publish(scene).await);
    }
    scene.wait_out(trouble).await;
    scene.fleet.links.remove(rule);
    scene.journal.end(record);
}
