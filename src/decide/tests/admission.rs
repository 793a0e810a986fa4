//! A service that receives more requests than it can run.

use crate::decide::Admission;
use crate::decide::AdmissionRequest;
use crate::decide::RANK_COUNT;
use crate::decide::ServiceLoad;
use crate::decide::ServiceStats;
use std::time::Duration;

/// Time for which a request holds a slot: the plain calls of the reference workload take 60 ms.
const SLOT_TIME: Duration = Duration::from_millis(60);
const LATENCY_TARGET: Duration = Duration::from_millis(300);

fn request(random_fraction: f64, is_caller_retry: bool) -> AdmissionRequest<'static> {
    AdmissionRequest {
        random_fraction,
        rank: 0,
        is_caller_retry,
        latency_target: LATENCY_TARGET,
        is_stream: false,
        team: None,
        heavy_teams: &[],
    }
}

/// Returns the load of a service whose requests all have the most urgent rank.
fn load(load_per_slot: f64, caller_retry_share: f64) -> ServiceLoad {
    let mut rank_shares = [0.0; RANK_COUNT];
    rank_shares[0] = 1.0;
    ServiceLoad {
        load_per_slot,
        slot_time: Some(SLOT_TIME),
        wait_budget: LATENCY_TARGET - SLOT_TIME,
        rank_shares,
        caller_retry_share,
    }
}

/// Counts the rejected requests out of 1,000 with evenly spaced random fractions.
fn rejected_count(load: &ServiceLoad, is_caller_retry: bool) -> usize {
    (0..1_000)
        .map(|number| request(f64::from(number) / 1_000.0, is_caller_retry))
        .filter(|request| !Admission::default().accepts(load, request))
        .count()
}

/// Simulates 333 requests a second of 110 ms each on 30 slots with room for 120 more to wait, which is 1.2 times the
/// capacity. Returns the share of the requests that is answered within 300 ms.
fn in_time(accepts: impl Fn(f64, f64) -> bool) -> f64 {
    let (slots, max_requests) = (30, 150);
    let mut ends: Vec<u64> = Vec::new();
    let mut smoothed_load = 0.0;
    let (mut arrived, mut answered_in_time) = (0u32, 0u32);
    for ms in 0..30_000u64 {
        ends.retain(|&end| end > ms);
        if ms % 250 == 0 {
            smoothed_load += (ends.len() as f64 - smoothed_load) * 0.25;
        }
        for _ in 0..u32::from(ms % 3 == 0) {
            arrived += 1;
            let random_fraction =
                f64::from(arrived.wrapping_mul(0x9e37_79b9)) / f64::from(u32::MAX);
            if !accepts(smoothed_load / slots as f64, random_fraction) || ends.len() >= max_requests
            {
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
            answered_in_time += u32::from(start + 110 - ms <= 300);
        }
    }
    f64::from(answered_in_time) / f64::from(arrived)
}

#[test]
fn an_overloaded_service_answers_most_requests_it_can_run_in_time() {
    let before = in_time(|_, _| true);

    let now = in_time(|load_per_slot, random_fraction| {
        let load = ServiceLoad {
            slot_time: Some(Duration::from_millis(110)),
            wait_budget: LATENCY_TARGET - Duration::from_millis(110),
            ..load(load_per_slot, 0.0)
        };
        Admission::default().accepts(&load, &request(random_fraction, false))
    });

    assert!(before < 0.5, "{before} in time without admission control");
    assert!(now > 0.75, "{now} in time, while 0.83 can be run");
}

#[test]
fn no_request_is_rejected_while_queues_are_short() {
    let full = rejected_count(&load(1.0, 0.0), false);
    let short_queues = rejected_count(&load(2.0, 0.0), false);
    let unknown_slot_time = ServiceLoad {
        slot_time: None,
        ..load(9.0, 0.0)
    };

    assert_eq!((full, short_queues), (0, 0));
    assert_eq!(rejected_count(&unknown_slot_time, false), 0);
}

#[test]
fn acceptable_queue_length_follows_from_slot_time_and_target() {
    let short_slot_time = ServiceLoad {
        slot_time: Some(SLOT_TIME / 3),
        ..load(4.0, 0.0)
    };

    let (short, long) = (
        rejected_count(&short_slot_time, false),
        rejected_count(&load(4.0, 0.0), false),
    );

    assert_eq!(short, 0);
    assert!(long > 200, "{long}");
}

#[test]
fn caller_retries_are_preferred_and_new_requests_rejected_instead() {
    let load = load(4.0, 0.25);

    let (new_requests, retries) = (rejected_count(&load, false), rejected_count(&load, true));

    let equal = rejected_count(
        &ServiceLoad {
            caller_retry_share: 0.0,
            ..load
        },
        false,
    );
    let together = (new_requests * 3 + retries) / 4;
    assert!(retries * 4 <= equal * 3 + 4, "{retries} of {equal}");
    assert!(together.abs_diff(equal) <= 2, "{together}, {equal}");
}

#[test]
fn the_least_urgent_are_rejected_first_but_never_all_of_them() {
    let mut rank_shares = [0.0; RANK_COUNT];
    (rank_shares[0], rank_shares[1], rank_shares[2]) = (0.4, 0.3, 0.3);
    let share = |load_per_slot: f64, rank: u8| {
        let load = ServiceLoad {
            rank_shares,
            ..load(load_per_slot, 0.0)
        };
        let requests = (0..1_000).map(|number| AdmissionRequest {
            rank,
            ..request(f64::from(number) / 1_000.0, false)
        });
        requests
            .filter(|request| !Admission::default().accepts(&load, request))
            .count()
    };

    // The wait is 150 ms of a budget of 240 ms: a fifth of all requests is rejected.
    let some = [share(3.5, 0), share(3.5, 1), share(3.5, 2)];
    let many = [share(9.0, 0), share(9.0, 1), share(9.0, 2)];

    assert_eq!(some, [0, 0, 667]);
    assert_eq!(many, [800, 800, 800]);
}

#[test]
fn stats_record_slot_times_rank_shares_and_wait_budgets() {
    let mut stats = ServiceStats::default();

    for number in 0..400 {
        stats.record_response_time(SLOT_TIME * 3, 3.0);
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
