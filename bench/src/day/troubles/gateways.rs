//! Troubles of gateways: killed, stopped, paused and slowed processes, and hosts without power.

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::time::Duration;
use std::time::Instant;

use super::Scene;
use super::config;
use crate::day::day_file::Trouble;
use crate::day::journal::Struck;
use crate::day::links::Effect;
use crate::day::links::Rule;
use crate::day::links::Target;
use crate::day::servers::Stage;

/// Share of the gateways that a trouble strikes if its entry doesn't say it.
const USUAL_SHARE: f64 = 0.1;
const HERD_SHARE: f64 = 0.6;
const HUP_SHARE: f64 = 0.3;
/// How many times slower a host is if the entry doesn't say it.
const USUAL_SLOWNESS: f64 = 5.0;
/// Time in which a slow host runs once.
const SLICE: Duration = Duration::from_millis(50);
/// Longest time until a process is started again.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which it is looked whether a process has ended.
const END_INTERVAL: Duration = Duration::from_millis(20);

/// Adds the hosts that may be added, or some of them.
async fn add(scene: &Scene, trouble: &Trouble) {
    let gateways = &scene.fleet.gateways;
    let spares = (0..gateways.count()).filter(|number| !gateways.is_member(*number));
    let spares: Vec<usize> = spares.collect();
    let number = trouble.number_of(spares.len(), 1.0);
    let added = &spares[..number];
    let record = begin(scene, trouble, added);
    for number in added {
        scene.check(&trouble.kind, gateways.add(*number));
    }
    scene.journal.end(record);
}

/// Plays a trouble of gateways.
pub(super) async fn play(scene: &Scene, trouble: &Trouble, mut rng: StdRng) {
    if trouble.kind == "add_nodes" {
        add(scene, trouble).await;
        return;
    }
    let share = match trouble.kind.as_str() {
        "herd_kill" => HERD_SHARE,
        "hup" => HUP_SHARE,
        "roll_term" => 1.0,
        _ => USUAL_SHARE,
    };
    let mut all = candidates(scene, trouble);
    all.shuffle(&mut rng);
    let number = match (trouble.kind.as_str(), trouble.on.as_deref()) {
        ("herd_kill", Some("core")) => all.len(),
        _ => trouble.number_of(all.len(), share),
    };
    let struck: Vec<usize> = all.into_iter().take(number).collect();
    match trouble.kind.as_str() {
        "node_kill" | "herd_kill" => kill(scene, trouble, struck).await,
        "node_freeze" => freeze(scene, trouble, struck).await,
        "node_slow" => slow_down(scene, trouble, struck).await,
        "roll_term" => roll(scene, trouble, struck).await,
        _ => hang_up(scene, trouble, struck).await,
    }
}

/// Returns the gateways that a trouble may strike.
pub(super) fn candidates(scene: &Scene, trouble: &Trouble) -> Vec<usize> {
    let places = &scene.fleet.sheet.data_centres;
    let gateways = &scene.fleet.gateways;
    let is_meant = |number: &usize| {
        let place = &places[gateways.places[*number]];
        let is_in = |wanted: &Option<String>, name: &str| {
            wanted.as_deref().is_none_or(|wanted| wanted == name)
        };
        gateways.is_member(*number)
            && is_in(&trouble.zone, &place.name)
            && is_in(&trouble.region, &place.region)
    };
    (0..gateways.count()).filter(is_meant).collect()
}

/// Returns the names of gateways.
pub(super) fn names(scene: &Scene, gateways: &[usize]) -> String {
    let names = gateways
        .iter()
        .map(|it| scene.fleet.gateways.names[*it].as_str());
    names.collect::<Vec<_>>().join(", ")
}

fn begin(scene: &Scene, trouble: &Trouble, gateways: &[usize]) -> usize {
    let struck = Struck {
        gateways: gateways.to_vec(),
        ..Struck::default()
    };
    scene.begin(trouble, &names(scene, gateways), struck)
}

fn signal(scene: &Scene, trouble: &Trouble, gateways: &[usize], signal: Signal) {
    for number in gateways {
        let result = scene.fleet.gateways.signal(*number, signal);
        scene.check(&trouble.kind, result);
    }
}

/// Kills processes, or takes the power of their hosts for the time of the trouble, and plays what comes with their return.
async fn kill(scene: &Scene, trouble: &Trouble, struck: Vec<usize>) {
    if ["leader", "renewed", "reader", "giver", "follower"]
        .iter()
        .any(|word| trouble.has(word))
    {
        scene.leave_out(trouble, "any gateways are drawn");
    }
    let is_dark = trouble.has("power") || trouble.has("off");
    let places: Vec<usize> = struck
        .iter()
        .map(|number| scene.fleet.gateways.places[*number])
        .collect();
    take_down(scene, trouble, struck, is_dark, Signal::SIGKILL).await;
    let changes = [("meet", 1), ("race", 2)].into_iter();
    let changes = changes.filter(|(word, _)| trouble.has(word));
    for _ in 0..changes.map(|(_, count)| count).max().unwrap_or(0) {
        scene.fleet.operator.change_timeouts();
        scene.check(&trouble.kind, config::publish(scene).await);
    }
    if trouble.has("drain") {
        let mut servers = scene.fleet.servers.all();
        servers.retain(|it| places.contains(&it.place) && it.stage() == Stage::Ready);
        // At least one server of each service stays everywhere.
        if let Some(server) = servers.first()
            && servers
                .iter()
                .filter(|it| it.service == server.service)
                .count()
                > 1
        {
            let struck = Struck {
                servers: vec![server.id()],
                ..Struck::default()
            };
            let record = scene.begin(trouble, &format!("{} leaves", server.id()), struck);
            let leaving = scene.fleet.servers.leave(server).await;
            scene.check(&trouble.kind, leaving);
            scene.journal.end(record);
        }
    }
}

/// Ends processes by a signal. Those of hosts that are dark stay away for the time of the trouble, the others are back at once.
pub(super) async fn take_down(
    scene: &Scene,
    trouble: &Trouble,
    struck: Vec<usize>,
    is_dark: bool,
    ending: Signal,
) {
    let gateways = &scene.fleet.gateways;
    let since = Instant::now();
    let record = begin(scene, trouble, &struck);
    if is_dark {
        struck.iter().for_each(|number| gateways.hold(*number));
        // A host without power answers nothing, and its connections stay open for the others.
        let rule = scene.fleet.links.put(dark(scene, &struck));
        signal(scene, trouble, &struck, ending);
        scene.wait_out(trouble).await;
        scene.fleet.links.remove(rule);
        struck.iter().for_each(|number| gateways.release(*number));
    } else {
        signal(scene, trouble, &struck, ending);
    }
    for number in struck {
        gateways.wait_for_start(number, since, START_TIMEOUT).await;
    }
    scene.journal.end(record);
}

/// Takes down all gateways.
pub(super) async fn kill_all(scene: &Scene, trouble: &Trouble, is_dark: bool) {
    let gateways = &scene.fleet.gateways;
    let all = 0..gateways.count();
    let all = all.filter(|number| gateways.is_member(*number)).collect();
    take_down(scene, trouble, all, is_dark, Signal::SIGKILL).await;
}

/// Returns a rule by which nothing comes from these hosts.
fn dark(scene: &Scene, struck: &[usize]) -> Rule {
    let servers = scene.fleet.servers.all().into_iter();
    let servers = servers.map(|server| Target::Server(server.number));
    Rule {
        gateways: struck.to_vec(),
        targets: servers
            .chain([Target::Callers, Target::Store])
            .chain((0..scene.fleet.gateways.count()).map(Target::Gateway))
            .collect(),
        effect: Effect::Silent,
    }
}

async fn freeze(scene: &Scene, trouble: &Trouble, struck: Vec<usize>) {
    let record = begin(scene, trouble, &struck);
    signal(scene, trouble, &struck, Signal::SIGSTOP);
    scene.wait_out(trouble).await;
    signal(scene, trouble, &struck, Signal::SIGCONT);
    scene.journal.end(record);
}

/// Lets processes run for a part of each slice only.
async fn slow_down(scene: &Scene, trouble: &Trouble, struck: Vec<usize>) {
    let record = begin(scene, trouble, &struck);
    let slowness = trouble.x.unwrap_or(USUAL_SLOWNESS).max(1.0);
    let runs = SLICE.div_f64(slowness);
    let end = Instant::now() + Duration::from_secs_f64(trouble.seconds());
    while Instant::now() < end.min(scene.day_end) {
        signal(scene, trouble, &struck, Signal::SIGSTOP);
        tokio::time::sleep(SLICE - runs).await;
        signal(scene, trouble, &struck, Signal::SIGCONT);
        tokio::time::sleep(runs).await;
    }
    scene.journal.end(record);
}

/// Stops processes in turn, some at a time; they are started again.
async fn roll(scene: &Scene, trouble: &Trouble, struck: Vec<usize>) {
    let at_a_time = trouble.x.unwrap_or(1.0).max(1.0) as usize;
    let gap = Duration::from_secs_f64(trouble.gap());
    for group in struck.chunks(at_a_time) {
        if Instant::now() >= scene.day_end {
            return;
        }
        let stopping = group.iter().map(|number| stop(scene, trouble, *number));
        futures_util::future::join_all(stopping).await;
        scene.wait(gap).await;
    }
}

/// Stops a process, kills it if it takes too long, and waits until it was started again.
async fn stop(scene: &Scene, trouble: &Trouble, number: usize) {
    let gateways = &scene.fleet.gateways;
    let since = Instant::now();
    let record = begin(scene, trouble, &[number]);
    signal(scene, trouble, &[number], Signal::SIGTERM);
    let grace = Duration::from_secs(scene.fleet.sheet.bounds.grace_s);
    while gateways.is_running_since_before(number, since) && since.elapsed() < grace {
        tokio::time::sleep(END_INTERVAL).await;
    }
    if gateways.is_running_since_before(number, since) {
        signal(scene, trouble, &[number], Signal::SIGKILL);
    }
    gateways.wait_for_start(number, since, START_TIMEOUT).await;
    scene.journal.end(record);
}

async fn hang_up(scene: &Scene, trouble: &Trouble, struck: Vec<usize>) {
    let gap = Duration::from_secs_f64(trouble.gap()).div_f64(struck.len().max(1) as f64);
    for number in struck {
        let record = begin(scene, trouble, &[number]);
        signal(scene, trouble, &[number], Signal::SIGHUP);
        scene.journal.end(record);
        scene.wait(gap).await;
    }
}
