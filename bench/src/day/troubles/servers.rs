//! Servers that crash, are slow, or answer wrongly.

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::sync::Arc;

use super::Scene;
use crate::day::day_file::Trouble;
use crate::day::journal::Struck;
use crate::day::servers::Server;
use crate::day::servers::Stage;
use crate::standin::answer_link::AnswerFault;
use crate::standin::answer_link::Ending;

/// Shares of the servers of a service that troubles strike if their entries don't say it.
const USUAL_SHARE: f64 = 0.15;
const ANSWER_SHARE: f64 = 0.5;
/// Shares of the requests that are answered wrongly.
const GREY_REQUESTS: f64 = 0.4;
const LOST_REQUESTS: f64 = 0.03;
const GARBLED_REQUESTS: f64 = 0.02;
/// How many times slower servers are.
const USUAL_SLOWNESS: f64 = 4.0;
const GREY_SLOWNESS: f64 = 8.0;

/// Plays a trouble of servers.
pub(super) async fn play(scene: &Scene, trouble: &Trouble, mut rng: StdRng) {
    let share = match trouble.kind.as_str() {
        "answer_lost" | "garble" => ANSWER_SHARE,
        _ => USUAL_SHARE,
    };
    let struck = pick(scene, trouble, share, &mut rng);
    if trouble.kind == "srv_crash" {
        crash(scene, trouble, struck, trouble.has("gone")).await;
        return;
    }
    if trouble.kind == "garble" && trouble.has("extra") {
        answer_again(scene, trouble, struck).await;
        return;
    }
    let settings = settings(scene, trouble);
    let record = begin(scene, trouble, &struck);
    let usual = "behavior=healthy&framing=half-events&slowness=1";
    for server in &struck {
        scene.check(&trouble.kind, server.process.control(&settings).await);
    }
    scene.wait_out(trouble).await;
    for server in &struck {
        // One that something else struck meanwhile doesn't run with these settings any more.
        if server.stage() == Stage::Ready {
            scene.check(&trouble.kind, server.process.control(usual).await);
        }
    }
    scene.journal.end(record);
}

/// Lets servers send some of their answers again, at once or where the next answer is expected.
async fn answer_again(scene: &Scene, trouble: &Trouble, struck: Vec<Arc<Server>>) {
    let record = begin(scene, trouble, &struck);
    let fault = match trouble.has("late") {
        true => AnswerFault::RepeatedLate,
        false => AnswerFault::Repeated,
    };
    let links = || struck.iter().filter_map(|server| server.answers.as_ref());
    for link in links() {
        link.set_share(trouble.x.unwrap_or(GARBLED_REQUESTS));
        link.set_fault(Some((fault, Ending::Close)));
    }
    scene.wait_out(trouble).await;
    links().for_each(|link| link.set_fault(None));
    scene.journal.end(record);
}

/// Returns how servers are set for a trouble.
fn settings(scene: &Scene, trouble: &Trouble) -> String {
    let share = |usual: f64| trouble.x.unwrap_or(usual).clamp(0.0, 1.0);
    let slowness = |usual: f64| trouble.x.unwrap_or(usual).max(1.0).round();
    match trouble.kind.as_str() {
        "srv_slow" => {
            if trouble.has("capped") {
                scene.leave_out(trouble, "servers are slow instead of capped");
                return "slowness=2".to_owned();
            }
            format!("slowness={}", slowness(USUAL_SLOWNESS))
        }
        "srv_grey" if trouble.has("slow") => format!("slowness={}", slowness(GREY_SLOWNESS)),
        "srv_grey" => {
            let behaviors = [
                ("shed", "rejects"),
                ("busy", "rejects-for"),
                ("hang", "hangs"),
                ("mute", "stalls"),
                ("reset", "breaks"),
            ];
            let found = behaviors.iter().find(|(how, _)| trouble.has(how));
            let behavior = found.map_or("fails", |(_, behavior)| behavior);
            if trouble.has("one_zone") {
                scene.leave_out(trouble, "callers of all data centres are struck");
            }
            format!("behavior={behavior}&share={}", share(GREY_REQUESTS))
        }
        "answer_lost" => format!("behavior=breaks&share={}", share(LOST_REQUESTS)),
        _ if trouble.has("unframed") => "framing=unframed".to_owned(),
        _ if trouble.has("early") => {
            format!("behavior=answers-early&share={}", share(GARBLED_REQUESTS))
        }
        _ => {
            if trouble.has("rot") {
                scene.leave_out(trouble, "answers are broken off instead");
            }
            format!("behavior=breaks&share={}", share(GARBLED_REQUESTS))
        }
    }
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
fn begin(scene: &Scene, trouble: &Trouble, struck: &[Arc<Server>]) -> usize {
    let servers: Vec<String> = struck.iter().map(|server| server.id()).collect();
    let what = servers.join(", ");
    let struck = Struck {
        servers,
        ..Struck::default()
    };
    scene.begin(trouble, &what, struck)
}

/// Kills servers, or stops them so that they are silent, and starts them again after the time of the trouble unless they are gone.
pub(super) async fn crash(
    scene: &Scene,
    trouble: &Trouble,
    struck: Vec<Arc<Server>>,
    is_gone: bool,
) {
    let record = begin(scene, trouble, &struck);
    let is_dark = trouble.has("dark");
    let signal = match is_dark {
        true => Signal::SIGSTOP,
        false => Signal::SIGKILL,
    };
    for server in &struck {
        server.set_stage(Stage::Silent);
        scene.check(&trouble.kind, server.process.signal(signal));
    }
    scene.wait_out(trouble).await;
    for server in struck {
        if is_dark {
            // What it was asked meanwhile is lost with it.
            scene.check(&trouble.kind, server.process.signal(Signal::SIGKILL));
        }
        if !is_gone {
            let restarting = scene.fleet.servers.restart(&server).await;
            scene.check(&trouble.kind, restarting);
        }
    }
    scene.journal.end(record);
}
