//! Shared prompt parts of which one is hot, and plain calls over several data centres.

use crate::decide::Choice;
use crate::decide::EnginePlacement;
use crate::decide::Placement;
use crate::decide::PlacementRequest;
use crate::decide::PlainPlacement;
use crate::decide::PromptPart;
use crate::decide::ServerView;
use crate::decide::hash;

const ENGINES: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];

fn view(id: &str, slots: u32, load: u32) -> ServerView<'_> {
    ServerView {
        id,
        is_near: false,
        slots,
        load,
        smoothed_load: f64::from(load),
        is_suspended: false,
        is_tried: false,
        is_warming_up: false,
        is_draining: false,
        is_cold: false,
        is_withheld: false,
        slowness: 1.0,
    }
}

fn engines(loads: &[u32; 9]) -> Vec<ServerView<'static>> {
    ENGINES
        .iter()
        .zip(loads)
        .map(|(id, load)| view(id, 64, *load))
        .collect()
}

fn placement() -> EnginePlacement {
    EnginePlacement {
        bound_factor: 1.6,
        bound_extra: 2.0,
        soft_bound_factor: 1.2,
        filling_from: 0.33,
        home_count: 2,
    }
}

fn prompt(shared: u64, own: u64) -> [PromptPart; 2] {
    let part = |id| PromptPart { id, tokens: 1_000 };
    [part(shared), part(own)]
}

#[test]
fn requests_that_share_a_part_go_to_one_engine_under_even_load() {
    let views = engines(&[5; 9]);

    let chosen: Vec<Option<Choice>> = (0..50)
        .map(|own| {
            let parts = prompt(77, own);
            placement().choose(
                &PlacementRequest {
                    parts: &parts,
                    salt: own,
                },
                &views,
            )
        })
        .collect();

    assert!(
        chosen
            .iter()
            .all(|choice| choice.is_some() && *choice == chosen[0])
    );
}

#[test]
fn a_hot_part_never_loads_its_engine_over_twice_the_mean_plus_three() {
    let mut loads = [5u32; 9];

    for own in 0..200 {
        let parts = prompt(77, own);
        let request = PlacementRequest {
            parts: &parts,
            salt: own,
        };
        let at = placement()
            .choose(&request, &engines(&loads))
            .unwrap()
            .index;
        loads[at] += 1;
        let mean = f64::from(loads.iter().sum::<u32>()) / 9.0;
        assert!(f64::from(loads[at]) <= 2.0 * mean + 3.0, "{loads:?}");
    }
}

#[test]
fn a_part_keeps_its_home_when_another_engine_is_removed() {
    let views = engines(&[5; 9]);
    let homes: Vec<&str> = (0..100u64)
        .map(|shared| {
            let parts = prompt(shared, 1);
            let at = placement().choose(
                &PlacementRequest {
                    parts: &parts,
                    salt: 1,
                },
                &views,
            );
            views[at.unwrap().index].id
        })
        .collect();
    let rest: Vec<ServerView<'_>> = views
        .iter()
        .filter(|view| view.id != "c")
        .copied()
        .collect();

    let moved = (0..100u64).filter(|&shared| {
        let parts = prompt(shared, 1);
        let at = placement()
            .choose(
                &PlacementRequest {
                    parts: &parts,
                    salt: 1,
                },
                &rest,
            )
            .unwrap()
            .index;
        homes[shared as usize] != "c" && rest[at].id != homes[shared as usize]
    });

    assert_eq!(moved.count(), 0);
}

fn plain(id: &'static str, is_near: bool, smoothed_load: f64) -> ServerView<'static> {
    ServerView {
        id,
        is_near,
        slots: 6,
        load: smoothed_load as u32,
        smoothed_load,
        is_suspended: false,
        is_tried: false,
        is_warming_up: false,
        is_draining: false,
        is_cold: false,
        is_withheld: false,
        slowness: 1.0,
    }
}

fn plain_placement() -> PlainPlacement {
    PlainPlacement {
        near_only_below: 0.5,
        no_preference_above: 1.0,
    }
}

/// Counts the calls that each server gets out of 1,000.
fn spread(servers: &[ServerView<'_>]) -> Vec<usize> {
    let mut counts = vec![0; servers.len()];
    for salt in 0..1_000u64 {
        let request = PlacementRequest { parts: &[], salt };
        counts[plain_placement().choose(&request, servers).unwrap().index] += 1;
    }
    counts
}

#[test]
fn plain_calls_stay_near_while_near_servers_have_free_capacity() {
    let counts = spread(&[plain("far", false, 0.0), plain("near", true, 2.5)]);

    assert_eq!(counts, [0, 1_000]);
}

#[test]
fn plain_calls_move_gradually_from_near_servers_as_their_load_grows() {
    let half = spread(&[plain("far", false, 4.0), plain("near", true, 4.5)]);
    let full = spread(&[plain("far", false, 4.0), plain("near", true, 7.0)]);

    assert!((600..900).contains(&half[1]), "{half:?}");
    assert!(full[1] < 250, "{full:?}");
}

/// Simulates 88 nodes that place 290 calls a second of 60 ms each on five servers, by loads that are up to 250 ms
/// old. Returns the share of calls that are rejected because their server already has 30 calls.
fn rejected_share(placement: &dyn Placement) -> f64 {
    let centres = [0, 0, 1, 1, 2];
    let mut ends: [Vec<u64>; 5] = Default::default();
    let mut known = [0u32; 5];
    let mut smoothed = [0f64; 5];
    let (mut calls, mut rejected) = (0u32, 0u32);
    for ms in 0..20_000u64 {
        for calls in &mut ends {
            calls.retain(|&end| end > ms);
        }
        if ms % 250 == 0 {
            known = ends.each_ref().map(|calls| calls.len() as u32);
            for (smoothed, known) in smoothed.iter_mut().zip(known) {
                *smoothed += (f64::from(known) - *smoothed) * 0.25;
            }
        }
        for _ in 0..u32::from(ms % 7 < 2) {
            calls += 1;
            let salt = u64::from(calls).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let centre = (salt >> 40) % 3;
            let names = ["a", "b", "c", "d", "e"];
            let views: Vec<ServerView<'_>> = (0..5)
                .map(|at| ServerView {
                    load: known[at],
                    ..plain(names[at], centres[at] == centre, smoothed[at])
                })
                .collect();
            let at = placement
                .choose(&PlacementRequest { parts: &[], salt }, &views)
                .unwrap()
                .index;
            if ends[at].len() >= 30 {
                rejected += 1;
                continue;
            }
            let last = ends[at].iter().rev().nth(5).copied().unwrap_or(0).max(ms);
            ends[at].push(last + 60);
        }
    }
    f64::from(rejected) / f64::from(calls)
}

/// The earlier strategy: the least loaded near server with less than two thirds of its slots in use, or else the
/// least loaded server.
struct LeastLoaded;

impl Placement for LeastLoaded {
    fn choose(
        &self,
        _request: &PlacementRequest<'_>,
        servers: &[ServerView<'_>],
    ) -> Option<Choice> {
        let near = (0..servers.len()).filter(|&at| servers[at].is_near && servers[at].load < 4);
        let load = |at: &usize| servers[*at].load;
        let index = near
            .min_by_key(load)
            .or_else(|| (0..servers.len()).min_by_key(load))?;
        Some(Choice {
            index,
            passed_over: 0,
            copy_from: None,
        })
    }
}

#[test]
fn many_nodes_with_stale_loads_do_not_overload_one_server() {
    let before = rejected_share(&LeastLoaded);

    let now = rejected_share(&plain_placement());

    assert!(before > 5.0 * now, "{before} rejected before, {now} now");
    assert!(now < 0.002, "{now} rejected with half of the capacity free");
}

#[test]
fn a_part_is_copied_from_the_home_that_was_passed_over() {
    let parts = prompt(77, 1);
    let request = PlacementRequest {
        parts: &parts,
        salt: 1,
    };
    let home = placement()
        .choose(&request, &engines(&[5; 9]))
        .unwrap()
        .index;
    let mut loads = [5; 9];
    loads[home] = 60;

    let choice = placement().choose(&request, &engines(&loads)).unwrap();

    assert_ne!(choice.index, home);
    assert_eq!(choice.copy_from, Some(home));
}

#[test]
fn a_part_is_copied_from_its_former_home_to_one_that_has_just_joined() {
    let parts = prompt(77, 1);
    let request = PlacementRequest {
        parts: &parts,
        salt: 1,
    };
    let mut views = engines(&[5; 9]);
    let home = placement().choose(&request, &views).unwrap().index;
    let rest: Vec<ServerView<'_>> = views
        .iter()
        .enumerate()
        .filter(|(at, _)| *at != home)
        .map(|(_, view)| *view)
        .collect();
    let before = rest[placement().choose(&request, &rest).unwrap().index].id;
    views[home].is_warming_up = true;

    let choice = placement().choose(&request, &views).unwrap();

    assert_eq!(choice.index, home);
    assert_eq!(choice.copy_from.map(|at| views[at].id), Some(before));
}

#[test]
fn a_part_is_copied_from_its_draining_home() {
    let mut views = engines(&[5; 9]);
    let parts = prompt(77, 1);
    let request = PlacementRequest {
        parts: &parts,
        salt: 1,
    };
    let home = placement().choose(&request, &views).unwrap();

    views[home.index].is_draining = true;
    let next = placement().choose(&request, &views).unwrap();

    assert_ne!(next.index, home.index);
    assert_eq!(home.copy_from, None);
    assert_eq!(next.copy_from, Some(home.index));
}

#[test]
fn no_part_is_copied_from_a_draining_engine_that_was_not_its_home() {
    let mut views = engines(&[5; 9]);
    let parts = prompt(77, 1);
    let request = PlacementRequest {
        parts: &parts,
        salt: 1,
    };
    let home = placement().choose(&request, &views).unwrap().index;

    views[(home + 1) % 9].is_draining = true;
    let choice = placement().choose(&request, &views).unwrap();

    assert_eq!((choice.index, choice.copy_from), (home, None));
}

// A slow engine kept the homes of its parts until it had as many requests as the others.
#[test]
fn a_slow_engine_gets_requests_in_proportion_to_its_pace() {
    let mut views = engines(&[8; 9]);
    let parts = prompt(77, 1);
    let request = PlacementRequest {
        parts: &parts,
        salt: 1,
    };
    let home = placement().choose(&request, &views).unwrap().index;

    views[home].slowness = 4.0;
    let loaded = placement().choose(&request, &views).unwrap();
    views[home].load = 2;
    let with_room = placement().choose(&request, &views).unwrap();

    assert_ne!(loaded.index, home);
    assert_eq!(loaded.copy_from, Some(home));
    assert_eq!(with_room.index, home);
}

// The only server of a data centre kept its calls while it was slow, since its load was low.
#[test]
fn calls_leave_a_near_server_that_is_slow() {
    let mut near = plain("near", true, 1.0);
    near.slowness = 6.0;
    let views = [near, plain("far-1", false, 1.0), plain("far-2", false, 1.0)];

    let chosen = (0..3_000).filter(|&salt| {
        let request = PlacementRequest { parts: &[], salt };
        let choice = PlainPlacement::default().choose(&request, &views);
        choice.unwrap().index == 0
    });

    // A third of the calls, divided by the square of its slowness.
    let count = chosen.count();
    assert!((10..=100).contains(&count), "{count} of 3000");
}

/// Engines of which a third has just been replaced, in front of which many gateways place requests by loads that they know late.
struct StaleFleet {
    names: Vec<String>,
    loads: Vec<u32>,
    /// Requests of each gateway at each engine.
    own: Vec<Vec<u32>>,
    /// Loads of all engines as they were at each step.
    history: Vec<Vec<u32>>,
    /// Ends of requests as steps, with gateway and engine.
    ends: Vec<(usize, usize, usize)>,
}

const STALE_ENGINES: usize = 90;
const STALE_GATEWAYS: usize = 35;
/// A step is 10 ms: 10 requests arrive in it, and each takes 80 of them.
const ARRIVALS: usize = 10;
const RUN_STEPS: usize = 80;
const STEPS: usize = 400;

impl StaleFleet {
    fn new() -> Self {
        let mut fleet = Self {
            names: (0..STALE_ENGINES)
                .map(|number| format!("e-{number:02}"))
                .collect(),
            loads: vec![0; STALE_ENGINES],
            own: vec![vec![0; STALE_ENGINES]; STALE_GATEWAYS],
            history: Vec::new(),
            ends: Vec::new(),
        };
        for number in 0..800 {
            let engine = 30 + number % 60;
            fleet.start(number % STALE_GATEWAYS, engine, number / ARRIVALS);
        }
        fleet
    }

    fn start(&mut self, gateway: usize, engine: usize, end: usize) {
        self.loads[engine] += 1;
        self.own[gateway][engine] += 1;
        self.ends.push((end, gateway, engine));
    }

    fn end_requests(&mut self, step: usize) {
        for (_, gateway, engine) in self.ends.extract_if(.., |(end, _, _)| *end <= step) {
            self.loads[engine] -= 1;
            self.own[gateway][engine] -= 1;
        }
    }

    /// Returns the loads as `gateway` knows them: those of 25 to 100 steps ago, and its own of now.
    fn views(&self, gateway: usize, step: usize) -> Vec<ServerView<'_>> {
        let known_at = step.saturating_sub(25 + gateway % 4 * 25);
        let known = &self.history[known_at];
        let view_of = |engine: usize| {
            let load = known[engine].max(self.own[gateway][engine]);
            view(&self.names[engine], 24, load)
        };
        (0..STALE_ENGINES).map(view_of).collect()
    }
}

/// Guards against engines that all gateways see empty and fill at the same moment, beyond twice the mean load and three.
#[test]
fn replaced_engines_are_not_overloaded_by_gateways_that_know_their_loads_late() {
    let mut fleet = StaleFleet::new();
    let mut over = 0;
    for step in 0..STEPS {
        fleet.end_requests(step);
        fleet.history.push(fleet.loads.clone());
        for number in 0..ARRIVALS {
            let request = step * ARRIVALS + number;
            let gateway = request * 7 % STALE_GATEWAYS;
            // Half of all requests are for a tenth of the parts.
            let key = (request * 31 % if request.is_multiple_of(2) { 30 } else { 300 }) as u64;
            let parts = prompt(key, 10_000 + request as u64);
            let choice = EnginePlacement::default().choose(
                &PlacementRequest {
                    parts: &parts,
                    salt: hash(&[&request.to_le_bytes()]),
                },
                &fleet.views(gateway, step),
            );
            let engine = choice.unwrap().index;
            let mean = fleet.loads.iter().sum::<u32>() as f64 / STALE_ENGINES as f64;
            over += u32::from(f64::from(fleet.loads[engine]) > 2.0 * mean + 3.0);
            fleet.start(gateway, engine, step + RUN_STEPS);
        }
    }

    let share = f64::from(over) / (STEPS * ARRIVALS) as f64;
    assert!(share <= 0.03, "{share} of the requests over the bound");
}
