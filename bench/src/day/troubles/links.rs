//! Links that are cut, lose packets or are reset.

use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::Scene;
use super::gateways;
use super::servers;
use crate::day::day_file::Trouble;
use crate::day::journal::Struck;
use crate::day::links::Effect;
use crate::day::links::Rule;
use crate::day::links::Target;
use crate::day::servers::Server;
use crate::day::servers::Stage;
use crate::standin::relay::Direction;

const USUAL_GATEWAYS: f64 = 0.1;
const USUAL_SERVERS: f64 = 0.2;
/// Share of the gateways that lose the path to servers that are cut off.
const USUAL_SOME: f64 = 0.3;
/// Share of lost packets.
const USUAL_LOSS: f64 = 0.03;
/// Share of the connections that are reset.
const USUAL_RESETS: f64 = 0.5;
/// Time for which a link is held where a packet is lost: the least time until it is sent again.
const RESEND_TIME: Duration = Duration::from_millis(200);
/// Interval at which it is drawn whether links lose a packet, and how many packets they carry in it.
const LOSS_INTERVAL: Duration = Duration::from_millis(100);
const PACKETS: f64 = 8.0;

/// Plays a trouble of links.
pub(super) async fn play(scene: &Scene, trouble: &Trouble, mut rng: StdRng) {
    match trouble.kind.as_str() {
        "zone_cut" => cut_place(scene, trouble, &mut rng).await,
        "lossy" => lose_packets(scene, trouble, &mut rng).await,
        "srv_cut" => cut_servers(scene, trouble, &mut rng).await,
        "node_cut" if trouble.has("servers") => cut_servers(scene, trouble, &mut rng).await,
        "reset_conns" => {
            let struck = draw_gateways(scene, trouble, &mut rng);
            let record = begin(scene, trouble, &struck, &[]);
            let mut targets = all_servers(scene);
            targets.extend([Target::Callers, Target::Store]);
            targets.extend(other_gateways(scene, &[]));
            let share = trouble.x.unwrap_or(USUAL_RESETS);
            scene.fleet.links.reset(&struck, &targets, share);
            scene.journal.end(record);
        }
        _ => cut_gateways(scene, trouble, &mut rng).await,
    }
}

fn draw_gateways(scene: &Scene, trouble: &Trouble, rng: &mut StdRng) -> Vec<usize> {
    let mut all = gateways::candidates(scene, trouble);
    all.shuffle(rng);
    let usual = match trouble.kind.as_str() {
        "core_cut" => 1.0 / all.len().max(1) as f64,
        _ => USUAL_GATEWAYS,
    };
    let number = match trouble.has("split") {
        true => all.len() / 2,
        false => trouble.number_of(all.len(), usual),
    };
    all.truncate(number);
    all
}

fn all_servers(scene: &Scene) -> Vec<Target> {
    let servers = scene.fleet.servers.all().into_iter();
    servers
        .map(|server| Target::Server(server.number))
        .collect()
}

/// Returns all gateways but `left`.
fn other_gateways(scene: &Scene, left: &[usize]) -> impl Iterator<Item = Target> {
    let all = 0..scene.fleet.gateways.count();
    all.filter(|number| !left.contains(number))
        .map(Target::Gateway)
}

fn begin(scene: &Scene, trouble: &Trouble, struck: &[usize], servers: &[Arc<Server>]) -> usize {
    let ids: Vec<String> = servers.iter().map(|server| server.id()).collect();
    let what = format!("{} {}", gateways::names(scene, struck), ids.join(", "));
    let struck = Struck {
        gateways: struck.to_vec(),
        servers: ids,
    };
    scene.begin(trouble, what.trim(), struck)
}

/// Returns what a cut does to its links.
fn effect(trouble: &Trouble) -> Effect {
    if trouble.has("reset") || trouble.has("refuse") {
        Effect::Reset
    } else if trouble.has("one_way") {
        Effect::Blocked(Direction::Back)
    } else {
        Effect::Silent
    }
}

/// Cuts gateways off from the store and from the other gateways, and from servers if the entry says so.
async fn cut_gateways(scene: &Scene, trouble: &Trouble, rng: &mut StdRng) {
    let struck = draw_gateways(scene, trouble, rng);
    let mut targets = vec![Target::Store];
    let is_near = trouble.has("near");
    if is_near || trouble.has("split") {
        // Those on the same side of the cut still reach each other.
        let places = &scene.fleet.gateways.places;
        let is_beside = |number: &usize| {
            struck
                .iter()
                .any(|it| number == it || is_near && places[*number] == places[*it])
        };
        let beside = (0..places.len()).filter(is_beside);
        targets.extend(other_gateways(scene, &beside.collect::<Vec<_>>()));
    } else {
        targets.extend(other_gateways(scene, &[]));
    }
    if trouble.has("all") {
        targets.extend(all_servers(scene));
    } else if is_near {
        let places: Vec<usize> = struck
            .iter()
            .map(|number| scene.fleet.gateways.places[*number])
            .collect();
        let servers = scene.fleet.servers.all().into_iter();
        let far = servers.filter(|server| !places.contains(&server.place));
        targets.extend(far.map(|server| Target::Server(server.number)));
    }
    let record = begin(scene, trouble, &struck, &[]);
    let rule = scene.fleet.links.put(Rule {
        gateways: struck,
        targets,
        effect: effect(trouble),
    });
    if trouble.has("meet") || trouble.has("relieve") || trouble.has("race") {
        scene.fleet.operator.change_timeouts();
        scene.check(&trouble.kind, super::config::publish(scene).await);
    }
    scene.wait_out(trouble).await;
    scene.fleet.links.remove(rule);
    scene.journal.end(record);
}

fn draw_place(scene: &Scene, trouble: &Trouble, rng: &mut StdRng) -> usize {
    let places = &scene.fleet.sheet.data_centres;
    let named = trouble.zone.as_ref();
    let named = named.and_then(|name| places.iter().position(|place| &place.name == name));
    named.unwrap_or_else(|| rng.random_range(0..places.len()))
}

/// Returns the rules that strike the links between a data centre and the others, the store among these.
fn around(scene: &Scene, place: usize, effect: Effect) -> [Rule; 2] {
    let inside = scene.fleet.gateways.in_place(place);
    let all = 0..scene.fleet.gateways.count();
    let outside = all.filter(|number| !inside.contains(number)).collect();
    let other_gateways = other_gateways(scene, &inside);
    let servers = scene.fleet.servers.all();
    let in_place = |is_in: bool| {
        let servers = servers
            .iter()
            .filter(move |it| (it.place == place) == is_in);
        servers.map(|server| Target::Server(server.number))
    };
    [
        Rule {
            targets: in_place(false)
                .chain([Target::Store])
                .chain(other_gateways)
                .collect(),
            gateways: inside,
            effect,
        },
        Rule {
            gateways: outside,
            targets: in_place(true).collect(),
            effect,
        },
    ]
}

/// Cuts a data centre off from the others and from the store; its callers still reach it.
async fn cut_place(scene: &Scene, trouble: &Trouble, rng: &mut StdRng) {
    let place = draw_place(scene, trouble, rng);
    let gateways = scene.fleet.gateways.in_place(place);
    let mut inside = scene.fleet.servers.all();
    inside.retain(|server| server.place == place && server.stage() == Stage::Ready);
    let record = begin(scene, trouble, &gateways, &inside);
    let rules = around(scene, place, effect(trouble)).map(|rule| scene.fleet.links.put(rule));
    set_stages(&inside, Stage::Silent);
    scene.wait_out(trouble).await;
    rules
        .into_iter()
        .for_each(|rule| scene.fleet.links.remove(rule));
    report_again(scene, &inside).await;
    scene.journal.end(record);
}

fn set_stages(servers: &[Arc<Server>], stage: Stage) {
    servers.iter().for_each(|server| server.set_stage(stage));
}

/// Lets servers report again that couldn't for a while, unless something else became of them.
async fn report_again(scene: &Scene, servers: &[Arc<Server>]) {
    for server in servers {
        if server.stage() == Stage::Silent {
            server.set_stage(Stage::Ready);
            scene.fleet.servers.report(server).await;
        }
    }
}

/// Holds the links between a data centre and the others for short times, as lost packets do.
async fn lose_packets(scene: &Scene, trouble: &Trouble, rng: &mut StdRng) {
    let place = draw_place(scene, trouble, rng);
    let gateways = scene.fleet.gateways.in_place(place);
    let record = begin(scene, trouble, &gateways, &[]);
    let loss = trouble.x.unwrap_or(USUAL_LOSS).clamp(0.0, 1.0);
    let chance = 1.0 - (1.0 - loss).powf(PACKETS);
    let end = Instant::now() + Duration::from_secs_f64(trouble.seconds());
    while Instant::now() < end.min(scene.day_end) {
        let mut rules = Vec::new();
        for rule in around(scene, place, Effect::Silent) {
            // Each link loses packets of its own.
            for gateway in &rule.gateways {
                let lost = rule.targets.iter().filter(|_| rng.random_bool(chance));
                let targets: Vec<Target> = lost.copied().collect();
                if !targets.is_empty() {
                    rules.push(scene.fleet.links.put(Rule {
                        gateways: vec![*gateway],
                        targets,
                        effect: Effect::Silent,
                    }));
                }
            }
        }
        scene.wait(RESEND_TIME).await;
        rules
            .into_iter()
            .for_each(|rule| scene.fleet.links.remove(rule));
        scene.wait(LOSS_INTERVAL).await;
    }
    scene.journal.end(record);
}

/// Cuts servers off from the store, and from some or all gateways if the entry says so.
async fn cut_servers(scene: &Scene, trouble: &Trouble, rng: &mut StdRng) {
    let struck = servers::pick(scene, trouble, USUAL_SERVERS, rng);
    let targets: Vec<Target> = struck
        .iter()
        .map(|server| Target::Server(server.number))
        .collect();
    let mut gateways: Vec<usize> = (0..scene.fleet.gateways.count()).collect();
    if trouble.kind == "srv_cut" {
        gateways.shuffle(rng);
        let share = match trouble.has("some") || trouble.has("fronts") {
            true => trouble.x.unwrap_or(USUAL_SOME),
            false => 0.0,
        };
        gateways.truncate((gateways.len() as f64 * share).ceil() as usize);
    }
    let record = begin(scene, trouble, &gateways, &struck);
    let rule = scene.fleet.links.put(Rule {
        gateways,
        targets,
        effect: effect(trouble),
    });
    // With some, they still reach the store.
    if !trouble.has("some") {
        set_stages(&struck, Stage::Silent);
    }
    let half = Duration::from_secs_f64(trouble.seconds()) / 2;
    scene.wait(half).await;
    if trouble.has("reborn") {
        for server in &struck {
            scene.check(&trouble.kind, server.process.signal(Signal::SIGKILL));
            let restarting = scene.fleet.servers.restart_unheard(server).await;
            scene.check(&trouble.kind, restarting);
        }
    }
    scene.wait(half).await;
    scene.fleet.links.remove(rule);
    report_again(scene, &struck).await;
    scene.journal.end(record);
}
