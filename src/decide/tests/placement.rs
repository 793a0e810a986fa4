//! Shared prompt parts, one of them hot, and plain calls over data centres.

use crate::decide::Choice;
use crate::decide::EnginePlacement;
use crate::decide::Placement;
use crate::decide::PlacementRequest;
use crate::decide::PlainPlacement;
use crate::decide::PromptPart;
use crate::decide::ServerView;

const ENGINES: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];

fn engines(loads: &[u32; 9]) -> Vec<ServerView<'static>> {
    ENGINES
        .iter()
        .zip(loads)
        .map(|(id, load)| ServerView {
            id,
            is_near: false,
            slots: 64,
            load: *load,
            smoothed_load: f64::from(*load),
            is_suspended: false,
            is_tried: false,
            is_warming_up: false,
            is_draining: false,
        })
        .collect()
}

fn placement() -> EnginePlacement {
    EnginePlacement {
        bound_factor: 1.6,
        bound_extra: 2.0,
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
fn a_hot_part_never_takes_its_engine_over_twice_the_mean_and_three() {
    let mut loads = [5u32; 9];

    for own in 0..200 {
        let parts = prompt(77, own);
        let work = PlacementRequest {
            parts: &parts,
            salt: own,
        };
        let at = placement().choose(&work, &engines(&loads)).unwrap().index;
        loads[at] += 1;
        let mean = f64::from(loads.iter().sum::<u32>()) / 9.0;
        assert!(f64::from(loads[at]) <= 2.0 * mean + 3.0, "{loads:?}");
    }
}

#[test]
fn a_part_keeps_its_home_when_another_engine_leaves() {
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
    }
}

fn plain_placement() -> PlainPlacement {
    PlainPlacement {
        near_only_below: 0.5,
        no_preference_above: 1.0,
    }
}

/// Counts where 1,000 calls go.
fn spread(servers: &[ServerView<'_>]) -> Vec<usize> {
    let mut counts = vec![0; servers.len()];
    for salt in 0..1_000u64 {
        let work = PlacementRequest { parts: &[], salt };
        counts[plain_placement().choose(&work, servers).unwrap().index] += 1;
    }
    counts
}

#[test]
fn plain_calls_stay_near_while_near_servers_have_room() {
    let counts = spread(&[plain("far", false, 0.0), plain("near", true, 2.5)]);

    assert_eq!(counts, [0, 1_000]);
}

#[test]
fn plain_calls_leave_near_servers_step_by_step_as_they_fill() {
    let half = spread(&[plain("far", false, 4.0), plain("near", true, 4.5)]);
    let full = spread(&[plain("far", false, 4.0), plain("near", true, 7.0)]);

    assert!((600..900).contains(&half[1]), "{half:?}");
    assert!(full[1] < 250, "{full:?}");
}

/// Plays 88 nodes that place 290 calls a second of 60 ms on five servers, by loads of up to 250 ms ago; gives the share
/// of calls that find more than 30 calls at their server, which turns them away.
fn turned_away(placement: &dyn Placement) -> f64 {
    let centres = [0, 0, 1, 1, 2];
    let mut ends: [Vec<u64>; 5] = Default::default();
    let mut told = [0u32; 5];
    let mut usual = [0f64; 5];
    let (mut calls, mut refused) = (0u32, 0u32);
    for ms in 0..20_000u64 {
        for calls in &mut ends {
            calls.retain(|&end| end > ms);
        }
        if ms % 250 == 0 {
            told = ends.each_ref().map(|calls| calls.len() as u32);
            for (usual, told) in usual.iter_mut().zip(told) {
                *usual += (f64::from(told) - *usual) * 0.25;
            }
        }
        for _ in 0..u32::from(ms % 7 < 2) {
            calls += 1;
            let salt = u64::from(calls).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let centre = (salt >> 40) % 3;
            let names = ["a", "b", "c", "d", "e"];
            let views: Vec<ServerView<'_>> = (0..5)
                .map(|at| ServerView {
                    load: told[at],
                    ..plain(names[at], centres[at] == centre, usual[at])
                })
                .collect();
            let at = placement
                .choose(&PlacementRequest { parts: &[], salt }, &views)
                .unwrap()
                .index;
            if ends[at].len() >= 30 {
                refused += 1;
                continue;
            }
            let last = ends[at].iter().rev().nth(5).copied().unwrap_or(0).max(ms);
            ends[at].push(last + 60);
        }
    }
    f64::from(refused) / f64::from(calls)
}

/// What was done before: the near server while under two thirds full, else the emptiest.
struct Emptiest;

impl Placement for Emptiest {
    fn choose(&self, _work: &PlacementRequest<'_>, servers: &[ServerView<'_>]) -> Option<Choice> {
        let near = (0..servers.len()).filter(|&at| servers[at].is_near && servers[at].load < 4);
        let emptiest = |at: &usize| servers[*at].load;
        let at = near
            .min_by_key(emptiest)
            .or_else(|| (0..servers.len()).min_by_key(emptiest))?;
        Some(Choice {
            index: at,
            passed_over: 0,
            copy_from: None,
        })
    }
}

#[test]
fn many_nodes_that_place_by_old_loads_do_not_flood_one_server() {
    let before = turned_away(&Emptiest);

    let now = turned_away(&plain_placement());

    assert!(before > 5.0 * now, "{before} turned away before, {now} now");
    assert!(now < 0.002, "{now} turned away with half of the room free");
}

#[test]
fn a_part_is_copied_from_the_home_that_was_passed_over() {
    let parts = prompt(77, 1);
    let work = PlacementRequest {
        parts: &parts,
        salt: 1,
    };
    let home = placement().choose(&work, &engines(&[5; 9])).unwrap().index;
    let mut loads = [5; 9];
    loads[home] = 60;

    let choice = placement().choose(&work, &engines(&loads)).unwrap();

    assert_ne!(choice.index, home);
    assert_eq!(choice.copy_from, Some(home));
}

#[test]
fn a_part_is_copied_to_a_home_that_has_just_joined_from_the_one_before() {
    let parts = prompt(77, 1);
    let work = PlacementRequest {
        parts: &parts,
        salt: 1,
    };
    let mut views = engines(&[5; 9]);
    let home = placement().choose(&work, &views).unwrap().index;
    let rest: Vec<ServerView<'_>> = views
        .iter()
        .enumerate()
        .filter(|(at, _)| *at != home)
        .map(|(_, view)| *view)
        .collect();
    let before = rest[placement().choose(&work, &rest).unwrap().index].id;
    views[home].is_warming_up = true;

    let choice = placement().choose(&work, &views).unwrap();

    assert_eq!(choice.index, home);
    assert_eq!(choice.copy_from.map(|at| views[at].id), Some(before));
}

#[test]
fn a_part_is_copied_from_its_home_that_is_leaving() {
    let mut views = engines(&[5; 9]);
    let parts = prompt(77, 1);
    let work = PlacementRequest {
        parts: &parts,
        salt: 1,
    };
    let home = placement().choose(&work, &views).unwrap();

    views[home.index].is_draining = true;
    let next = placement().choose(&work, &views).unwrap();

    assert_ne!(next.index, home.index);
    assert_eq!(home.copy_from, None);
    assert_eq!(next.copy_from, Some(home.index));
}

#[test]
fn nothing_is_copied_from_a_leaving_engine_that_was_not_the_home() {
    let mut views = engines(&[5; 9]);
    let parts = prompt(77, 1);
    let work = PlacementRequest {
        parts: &parts,
        salt: 1,
    };
    let home = placement().choose(&work, &views).unwrap().index;

    views[(home + 1) % 9].is_draining = true;
    let choice = placement().choose(&work, &views).unwrap();

    assert_eq!((choice.index, choice.copy_from), (home, None));
}
