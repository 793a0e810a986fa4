//! Servers of one service that differ in speed, are disturbed, or slow down early.

use crate::clock::BootInstant;
use crate::decide::CapacityTable;
use crate::decide::PaceKind;
use crate::decide::ServerSample;
use crate::decide::merge_slowness;
use crate::peers::ServerPace;
use crate::peers::ServerSpeed;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

const STEP_MS: u64 = 250;

fn at(ms: u64) -> BootInstant {
    BootInstant::from_boot(Duration::from_secs(500) + Duration::from_millis(ms))
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("s-{number:02}")).collect()
}

fn said(percent: u32) -> Option<ServerSpeed> {
    Some(ServerSpeed {
        reports: 10,
        percent: percent * 10,
    })
}

fn took(ms: u32) -> Option<ServerPace> {
    Some(ServerPace {
        answers: 10,
        took_ms: ms * 10,
    })
}

/// Updates `table` at one moment with what each server says and takes.
fn update(
    table: &mut CapacityTable,
    names: &[String],
    now_ms: u64,
    speed: impl Fn(usize) -> Option<ServerSpeed>,
    answers: impl Fn(usize) -> Option<ServerPace>,
) {
    let samples: Vec<ServerSample<'_>> = names
        .iter()
        .enumerate()
        .map(|(number, id)| ServerSample {
            id,
            start_time_ms: 1,
            speed: speed(number),
            answers: answers(number),
        })
        .collect();
    table.update(PaceKind::Answers, &samples, at(now_ms));
    table.expire(at(now_ms));
}

fn slowness(table: &CapacityTable, id: &str) -> f64 {
    let uneven = table.uneven();
    let found = uneven.iter().find(|(known, _)| known == id);
    found.map_or(1.0, |(_, slowness)| *slowness)
}

#[test]
fn servers_of_three_speeds_are_found_within_four_seconds() {
    let names = names(9);
    let mut table = CapacityTable::default();
    let speeds = [100, 130, 250];

    for step in 0..16 {
        let speed = |number: usize| said(speeds[number % 3]);
        update(&mut table, &names, step * STEP_MS, speed, |_| None);
    }

    let found = [0, 1, 2].map(|number| slowness(&table, &names[number]));
    assert!((found[0] - 1.0).abs() < 1e-9);
    assert!((1.25..1.35).contains(&found[1]), "{found:?}");
    assert!((2.3..2.6).contains(&found[2]), "{found:?}");
}

/// Each server is 2.5 times slower for 600 ms at a time, a seventh of the time; sums cover two seconds.
#[test]
fn disturbances_of_600_ms_make_few_servers_uneven() {
    let names = names(30);
    let mut rng = StdRng::seed_from_u64(1);
    let period = 4_000;
    let offsets: Vec<u64> = names.iter().map(|_| rng.random_range(0..period)).collect();
    let mut table = CapacityTable::default();
    let mut uneven = 0;

    for step in 0..400u64 {
        let now = step * STEP_MS;
        let speed = |number: usize| {
            let is_slow = |ms: u64| (now + offsets[number] + ms) % period < 600;
            let percent = (0..20).map(|part| if is_slow(part * 100) { 250 } else { 100 });
            Some(ServerSpeed {
                reports: 20,
                percent: percent.sum(),
            })
        };
        update(&mut table, &names, now, speed, |_| None);
        let most = table.uneven().into_iter().map(|(_, slowness)| slowness);
        assert!(most.fold(1.0, f64::max) < 1.5, "no server loses a third");
        uneven += table.uneven().len();
    }

    let share = uneven as f64 / (400 * names.len()) as f64;
    assert!(share < 0.5, "{share}");
}

#[test]
fn a_server_that_turns_slow_and_recovers_is_followed() {
    let names = names(6);
    let mut table = CapacityTable::default();
    let mut seen = Vec::new();

    for step in 0..40u64 {
        let is_slow = (8..20).contains(&step);
        let speed = |number: usize| said(if number == 0 && is_slow { 300 } else { 100 });
        update(&mut table, &names, step * STEP_MS, speed, |_| None);
        seen.push(slowness(&table, &names[0]));
    }

    assert!((seen[7] - 1.0).abs() < 1e-9);
    assert!(seen[12] > 2.0, "after a second: {}", seen[12]);
    assert!(
        seen[32] < 1.3,
        "three seconds after the recovery: {}",
        seen[32]
    );
    assert!((seen[39] - 1.0).abs() < 1e-9);
}

#[test]
fn servers_that_are_slow_alike_are_equal() {
    let names = names(6);
    let mut table = CapacityTable::default();

    for step in 0..20 {
        update(
            &mut table,
            &names,
            step * STEP_MS,
            |_| said(400),
            |_| took(900),
        );
    }

    assert!(table.uneven().is_empty());
}

#[test]
fn a_restarted_server_is_equal_until_the_opposite_is_known() {
    let names = names(4);
    let mut table = CapacityTable::default();
    for step in 0..20 {
        let speed = |number: usize| said(if number == 0 { 300 } else { 100 });
        update(&mut table, &names, step * STEP_MS, speed, |_| None);
    }

    let samples = names.iter().map(|id| ServerSample {
        id,
        start_time_ms: 2,
        speed: said(100),
        answers: None,
    });
    table.update(PaceKind::Answers, &samples.collect::<Vec<_>>(), at(5_000));

    assert!(table.uneven().is_empty());
}

#[test]
fn services_whose_servers_say_nothing_are_left_alone() {
    let names = names(4);
    let mut table = CapacityTable::default();

    for step in 0..20 {
        let answers = |number: usize| took(if number == 0 { 900 } else { 100 });
        update(&mut table, &names, step * STEP_MS, |_| None, answers);
    }

    assert!(table.uneven().is_empty());
}

/// Calls are placed on four servers in proportion to what they take well; one takes four times as long from half of its slots on.
/// The learnt share settles: no swings between all and nothing.
#[test]
fn a_server_that_slows_down_early_settles_below_that() {
    let names = names(4);
    let mut table = CapacityTable::default();
    let mut loads = Vec::new();

    for step in 0..160u64 {
        let weights: Vec<f64> = names.iter().map(|id| 1.0 / slowness(&table, id)).collect();
        let load = 20.0 * weights[0] / weights.iter().sum::<f64>();
        let time = if load > 3.0 { 120 } else { 30 };
        let answers = |number: usize| took(if number == 0 { time } else { 30 });
        update(&mut table, &names, step * STEP_MS, |_| said(100), answers);
        loads.push(load);
    }

    let late = &loads[80..];
    let (least, most) = late.iter().fold((f64::MAX, 0.0f64), |(least, most), load| {
        (least.min(*load), most.max(*load))
    });
    assert!(most < 4.5, "{most}");
    assert!(least > 1.5, "{least}");
}

#[test]
fn the_slower_of_two_beliefs_holds() {
    let list = |rows: &[(&str, f64)]| -> Vec<(String, f64)> {
        rows.iter()
            .map(|(id, slow)| ((*id).to_owned(), *slow))
            .collect()
    };

    let merged = merge_slowness(
        list(&[("a", 3.0), ("c", 1.5)]),
        list(&[("b", 2.0), ("c", 4.0)]),
    );

    assert_eq!(merged, list(&[("a", 3.0), ("b", 2.0), ("c", 4.0)]));
}

/// Guards against a belief that outlives the word that it rests on, while the server goes on answering.
#[test]
fn a_server_that_says_nothing_any_more_is_equal_after_a_while() {
    let names = names(4);
    let mut table = CapacityTable::default();
    let speed = |number: usize| said(if number == 0 { 300 } else { 100 });
    for step in 0..40 {
        update(&mut table, &names, step * STEP_MS, speed, |_| took(30));
    }
    let known = slowness(&table, &names[0]);

    for step in 40..70 {
        let silent = |number: usize| if number == 0 { None } else { speed(number) };
        update(&mut table, &names, step * STEP_MS, silent, |_| took(30));
    }

    assert!(known > 2.5, "{known}");
    assert!((slowness(&table, &names[0]) - 1.0).abs() < 1e-9);
}

/// Guards against a change that no log line tells since each update changes little.
#[test]
fn a_slow_change_is_told_in_steps() {
    let names = names(4);
    let mut table = CapacityTable::default();
    let mut steps = Vec::new();

    for step in 0..80u32 {
        let percent = 100 + (step * 5).min(200);
        let speed = |number: usize| said(if number == 0 { percent } else { 100 });
        update(&mut table, &names, u64::from(step) * STEP_MS, speed, |_| {
            None
        });
        steps.extend(table.take_steps());
    }

    assert!((3..=6).contains(&steps.len()), "{steps:?}");
    let last = steps.last().unwrap();
    assert!(last.id == names[0] && last.slowness > 2.2, "{last:?}");
}
