//! A service that gets more than it can run.

use crate::decide::Admission;
use crate::decide::AdmissionRequest;
use crate::decide::RANK_COUNT;
use crate::decide::ServiceLoad;
use crate::decide::ServiceStats;
use std::time::Duration;

/// Time of a request on a slot, as on the sheets.
const SLOT_TIME: Duration = Duration::from_millis(60);
const LATENCY_TARGET: Duration = Duration::from_millis(300);

fn request(random_fraction: f64, is_caller_retry: bool) -> AdmissionRequest {
    AdmissionRequest {
        random_fraction,
        rank: 0,
        is_caller_retry,
        latency_target: LATENCY_TARGET,
        is_stream: false,
    }
}

/// A service whose requests are all of the most urgent rank.
fn load(load_per_slot: f64, caller_retry_share: f64) -> ServiceLoad {
    let mut ranks = [0.0; RANK_COUNT];
    ranks[0] = 1.0;
    ServiceLoad {
        load_per_slot,
        slot_time: Some(SLOT_TIME),
        wait_budget: LATENCY_TARGET - SLOT_TIME,
        rank_shares: ranks,
        caller_retry_share,
    }
}

/// Counts those of 1,000 evenly drawn calls that are turned away.
fn rejected_count(load: &ServiceLoad, is_caller_retry: bool) -> usize {
    (0..1_000)
        .map(|number| request(f64::from(number) / 1_000.0, is_caller_retry))
        .filter(|request| !Admission::default().accepts(load, request))
        .count()
}

/// Plays 333 calls a second of 110 ms on 30 slots with room for 120 more to wait, 1.2 times what they can run; gives the
/// calls that were answered within 300 ms, out of those that came.
fn in_time(takes: impl Fn(f64, f64) -> bool) -> f64 {
    let (slots, room) = (30, 150);
    let mut ends: Vec<u64> = Vec::new();
    let mut usual = 0.0;
    let (mut came, mut good) = (0u32, 0u32);
    for ms in 0..30_000u64 {
        ends.retain(|&end| end > ms);
        if ms % 250 == 0 {
            usual += (ends.len() as f64 - usual) * 0.25;
        }
        for _ in 0..u32::from(ms % 3 == 0) {
            came += 1;
            let random_fraction = f64::from(came.wrapping_mul(0x9e37_79b9)) / f64::from(u32::MAX);
            if !takes(usual / slots as f64, random_fraction) || ends.len() >= room {
                continue;
            }
            let start = ends
                .iter()
                .rev()
                .nth(slots - 1)
                .copied()
                .unwrap_or(0)
                .max(ms);
            ends.push(start + 110);
            good += u32::from(start + 110 - ms <= 300);
        }
    }
    f64::from(good) / f64::from(came)
}

#[test]
fn a_service_with_too_many_calls_answers_most_of_what_it_can_in_time() {
    let before = in_time(|_, _| true);

    let now = in_time(|load_per_slot, random_fraction| {
        let load = ServiceLoad {
            slot_time: Some(Duration::from_millis(110)),
            wait_budget: LATENCY_TARGET - Duration::from_millis(110),
            ..load(load_per_slot, 0.0)
        };
        Admission::default().accepts(&load, &request(random_fraction, false))
    });

    assert!(before < 0.5, "{before} in time without turning away");
    assert!(now > 0.75, "{now} in time of 0.83 that can be run");
}

#[test]
fn nothing_is_turned_away_while_nothing_waits() {
    let full = rejected_count(&load(1.0, 0.0), false);
    let short_queues = rejected_count(&load(2.0, 0.0), false);
    let unknown_work = ServiceLoad {
        slot_time: None,
        ..load(9.0, 0.0)
    };

    assert_eq!((full, short_queues), (0, 0));
    assert_eq!(rejected_count(&unknown_work, false), 0);
}

#[test]
fn how_long_a_queue_may_be_follows_from_work_and_target() {
    let short_work = ServiceLoad {
        slot_time: Some(SLOT_TIME / 3),
        ..load(4.0, 0.0)
    };

    let (short, long) = (
        rejected_count(&short_work, false),
        rejected_count(&load(4.0, 0.0), false),
    );

    assert_eq!(short, 0);
    assert!(long > 200, "{long}");
}

#[test]
fn callers_that_come_back_are_favoured_and_newcomers_turned_away_for_them() {
    let load = load(4.0, 0.25);

    let (newcomers, returns) = (rejected_count(&load, false), rejected_count(&load, true));

    let equal = rejected_count(
        &ServiceLoad {
            caller_retry_share: 0.0,
            ..load
        },
        false,
    );
    let together = (newcomers * 3 + returns) / 4;
    assert!(returns * 4 <= equal * 3 + 4, "{returns} of {equal}");
    assert!(together.abs_diff(equal) <= 2, "{together}, {equal}");
}

#[test]
fn the_least_urgent_are_turned_away_first_but_never_all_of_them() {
    let mut ranks = [0.0; RANK_COUNT];
    (ranks[0], ranks[1], ranks[2]) = (0.4, 0.3, 0.3);
    let share = |load_per_slot: f64, rank: u8| {
        let load = ServiceLoad {
            rank_shares: ranks,
            ..load(load_per_slot, 0.0)
        };
        let calls = (0..1_000).map(|number| AdmissionRequest {
            rank,
            ..request(f64::from(number) / 1_000.0, false)
        });
        calls
            .filter(|request| !Admission::default().accepts(&load, request))
            .count()
    };

    // A wait of 150 ms of the 240 that there are: a fifth of all is turned away.
    let some = [share(3.5, 0), share(3.5, 1), share(3.5, 2)];
    let many = [share(9.0, 0), share(9.0, 1), share(9.0, 2)];

    assert_eq!(some, [0, 0, 667]);
    assert_eq!(many, [800, 800, 800]);
}

#[test]
fn a_log_learns_times_ranks_and_what_targets_leave() {
    let mut stats = ServiceStats::default();

    for number in 0..400 {
        stats.record_time(SLOT_TIME * 3, 3.0);
        let rank = if number % 4 == 0 { 0 } else { 2 };
        stats.record_request(&AdmissionRequest {
            rank,
            ..request(0.0, false)
        });
    }
    let load = stats.service_load(2.0, 0.0);

    let near = |time: Duration, wanted: Duration| time.abs_diff(wanted) < Duration::from_millis(2);
    assert!(near(load.expected_wait(), SLOT_TIME));
    assert!(near(load.wait_budget, LATENCY_TARGET - SLOT_TIME));
    assert!(
        (0.2..0.3).contains(&load.rank_shares[0]),
        "{:?}",
        load.rank_shares
    );
    assert!(
        (0.7..0.8).contains(&load.rank_shares[2]),
        "{:?}",
        load.rank_shares
    );
}
