//! Planned work on servers: those that are replaced, come and leave.

use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::Scene;
use super::servers;
use crate::day::day_file::Trouble;
use crate::day::journal::Struck;
use crate::day::servers::Server;
use crate::day::servers::Stage;

const RELEASE_SHARE: f64 = 0.5;
const OUT_SHARE: f64 = 0.3;
const IN_SHARE: f64 = 0.15;
/// Seconds from the notice to the end of a server that may be taken away.
const SPOT_NOTICE: f64 = 2.0;
/// Time after which another one comes in its place.
const SPOT_RETURN: Duration = Duration::from_secs(4);

/// Plays planned work on servers.
pub(super) async fn play(scene: &Scene, trouble: &Trouble, mut rng: StdRng) {
    let share = match trouble.kind.as_str() {
        "release" => RELEASE_SHARE,
        "scale_out" => OUT_SHARE,
        _ => IN_SHARE,
    };
    let struck = servers::pick(scene, trouble, share, &mut rng);
    match trouble.kind.as_str() {
        "release" => release(scene, trouble, struck, &mut rng).await,
        "scale_out" => scale_out(scene, trouble, struck).await,
        "scale_in" if trouble.has("spot") || trouble.has("reclaim") => {
            let leaving = struck.iter().map(|server| reclaim(scene, trouble, server));
            futures_util::future::join_all(leaving).await;
        }
        "scale_in" => {
            let leaving = struck.iter().map(|server| leave(scene, trouble, server));
            futures_util::future::join_all(leaving).await;
        }
        _ => {
            scene.leave_out(trouble, "addresses are not given to another service");
            servers::crash(scene, trouble, struck, true).await;
        }
    }
}

/// Starts servers of another version in the places of others, some at a time: the next newer or older one if the entry says so.
/// The others leave, or their entries are removed at once.
async fn release(scene: &Scene, trouble: &Trouble, struck: Vec<Arc<Server>>, rng: &mut StdRng) {
    let service = struck.first().map(|server| server.service.clone());
    let number = service.map_or(1, |service| newest_version(scene, &service));
    let number = match (trouble.has("newer"), trouble.has("older")) {
        (true, _) => number + 1,
        (_, true) => number.saturating_sub(1),
        _ => rng.random_range(2..1_000),
    };
    let version = format!("v{number}");
    let at_a_time = trouble.x.unwrap_or(1.0).max(1.0) as usize;
    let mut leaving = Vec::new();
    for group in struck.chunks(at_a_time) {
        if Instant::now() >= scene.day_end {
            break;
        }
        for server in group {
            let adding = scene
                .fleet
                .servers
                .add(&server.service, server.place, &version);
            scene.check(&trouble.kind, adding.await.map(|_| ()));
            let (scene, trouble, server) = (scene.clone(), trouble.clone(), Arc::clone(server));
            leaving.push(tokio::spawn(async move {
                leave(&scene, &trouble, &server).await;
            }));
        }
        scene.wait(Duration::from_secs_f64(trouble.gap())).await;
    }
    futures_util::future::join_all(leaving).await;
}

/// Returns the number of the newest software version of a service's servers that are ready.
fn newest_version(scene: &Scene, service: &str) -> u64 {
    let mut servers = scene.fleet.servers.all();
    servers.retain(|server| server.service == service && server.stage() == Stage::Ready);
    let numbers = servers.iter().filter_map(|server| {
        let version = server.process.options().version;
        version.strip_prefix('v')?.parse().ok()
    });
    numbers.max().unwrap_or(1)
}

async fn scale_out(scene: &Scene, trouble: &Trouble, like: Vec<Arc<Server>>) {
    let gap = Duration::from_secs_f64(trouble.gap()).div_f64(like.len().max(1) as f64);
    for server in like {
        let servers = &scene.fleet.servers;
        let version = server.process.options().version;
        match servers.add(&server.service, server.place, &version).await {
            Ok(added) => {
                let record = begin(scene, trouble, &added);
                scene.journal.end(record);
            }
            Err(err) => scene.check(&trouble.kind, Err(err)),
        }
        scene.wait(gap).await;
    }
}

fn begin(scene: &Scene, trouble: &Trouble, server: &Server) -> usize {
    let struck = Struck {
        servers: vec![server.id()],
        ..Struck::default()
    };
    scene.begin(trouble, &server.id(), struck)
}

async fn leave(scene: &Scene, trouble: &Trouble, server: &Server) {
    let record = begin(scene, trouble, server);
    let leaving = match trouble.has("removed") {
        true => scene.fleet.servers.leave_unlisted(server).await,
        false => scene.fleet.servers.leave(server).await,
    };
    scene.check(&trouble.kind, leaving);
    scene.journal.end(record);
}

/// Lets a server report that it leaves, kills it a short while later, and starts another in its place.
async fn reclaim(scene: &Scene, trouble: &Trouble, server: &Server) {
    let record = begin(scene, trouble, server);
    server.set_stage(Stage::Draining);
    scene.fleet.servers.report(server).await;
    let notice = trouble.x.unwrap_or(SPOT_NOTICE);
    scene.wait(Duration::from_secs_f64(notice)).await;
    server.set_stage(Stage::Silent);
    scene.check(&trouble.kind, server.process.signal(Signal::SIGKILL));
    let away = match trouble.has("reclaim") {
        true => Duration::from_secs_f64(trouble.seconds()),
        false => SPOT_RETURN,
    };
    scene.wait(away).await;
    let restarting = scene.fleet.servers.restart(server).await;
    scene.check(&trouble.kind, restarting);
    scene.journal.end(record);
}
