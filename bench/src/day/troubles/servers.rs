//! Troubles of servers.

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::sync::Arc;
use std::time::Duration;

use super::Scene;
use crate::day::day_file::Trouble;
use crate::day::journal::Struck;
use crate::day::servers::Server;
use crate::day::servers::Stage;

/// Share of the servers of a service that a trouble strikes if its entry doesn't say it.
const USUAL_SHARE: f64 = 0.15;

/// Plays a trouble of servers.
pub(super) async fn play(scene: &Scene, trouble: &Trouble, mut rng: StdRng) {
    let struck = pick(scene, trouble, USUAL_SHARE, &mut rng);
    crash(scene, trouble, struck).await;
}

/// Draws servers of the trouble's service, or of the first one.
pub(super) fn pick(
    scene: &Scene,
    trouble: &Trouble,
    usual_share: f64,
    rng: &mut StdRng,
) -> Vec<Arc<Server>> {
    let sheet = &scene.fleet.sheet;
    let service = trouble.service.as_ref();
    let service = service.unwrap_or(&sheet.services[0].name);
    let is_meant = |server: &Arc<Server>| {
        let place = &sheet.data_centres[server.place].name;
        let is_there = trouble.zone.as_ref().is_none_or(|zone| zone == place);
        &server.service == service && is_there && server.stage() == Stage::Ready
    };
    let mut all = scene.fleet.servers.all();
    all.retain(is_meant);
    all.shuffle(rng);
    let number = match trouble.has("all") {
        true => all.len(),
        false => trouble.number_of(all.len(), usual_share),
    };
    all.truncate(number);
    all
}

/// Records that a trouble of these servers begins.
pub(super) fn begin(scene: &Scene, trouble: &Trouble, struck: &[Arc<Server>]) -> usize {
    let servers: Vec<String> = struck.iter().map(|server| server.id()).collect();
    let detail = format!("{} {}", servers.join(", "), trouble.how);
    let struck = Struck {
        servers,
        ..Struck::default()
    };
    let detail = detail.trim().to_owned();
    scene
        .journal
        .begin(&trouble.kind, detail, scene.is_planned, struck)
}

/// Kills servers, or stops them so that they are silent, and starts them again after the time of the trouble.
async fn crash(scene: &Scene, trouble: &Trouble, struck: Vec<Arc<Server>>) {
    let record = begin(scene, trouble, &struck);
    let is_dark = trouble.has("dark");
    let signal = if is_dark {
        Signal::SIGSTOP
    } else {
        Signal::SIGKILL
    };
    for server in &struck {
        server.set_stage(Stage::Silent);
        scene.check(&trouble.kind, server.process.signal(signal));
    }
    scene.wait(Duration::from_secs_f64(trouble.seconds())).await;
    for server in struck {
        if is_dark {
            // What it was asked meanwhile is lost with it.
            scene.check(&trouble.kind, server.process.signal(Signal::SIGKILL));
        }
        if trouble.has("gone") {
            continue;
        }
        let restarting = scene.fleet.servers.restart(&server).await;
        scene.check(&trouble.kind, restarting);
    }
    scene.journal.end(record);
}
