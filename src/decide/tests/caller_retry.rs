//! Many callers are turned away in the same instant, and come back among newcomers.

use crate::decide::CallerRetryDetector;
use crate::decide::RetryAfter;
use std::time::Duration;

const NEW_REQUEST_TIME: Duration = Duration::from_millis(4_000);

#[test]
fn a_caller_with_less_time_than_newcomers_has_been_here_before() {
    let mut detector = CallerRetryDetector::default();

    let newcomer = detector.detect_retry("orders", NEW_REQUEST_TIME);
    let same_again = detector.detect_retry("orders", NEW_REQUEST_TIME - Duration::from_millis(40));
    let back = detector.detect_retry("orders", NEW_REQUEST_TIME - Duration::from_millis(1_000));
    let other_route =
        detector.detect_retry("lookups", NEW_REQUEST_TIME - Duration::from_millis(1_000));

    assert_eq!(
        (newcomer, same_again, back, other_route),
        (false, false, true, false)
    );
}

#[test]
fn newcomers_whose_times_differ_are_no_returns() {
    let mut detector = CallerRetryDetector::default();

    // Callers of the sheets have from 0.85 to all of the time that their kind names.
    let detected = (0..1_000u32)
        .map(|number| NEW_REQUEST_TIME.mul_f64(0.85 + f64::from(number * 7 % 150) / 1_000.0))
        .filter(|time| detector.detect_retry("orders", *time))
        .count();

    assert_eq!(detected, 0);
}

#[test]
fn a_route_whose_callers_have_less_time_from_now_on_is_learnt_anew() {
    let mut detector = CallerRetryDetector::default();
    detector.detect_retry("orders", NEW_REQUEST_TIME);

    let detected = (0..300)
        .filter(|_| detector.detect_retry("orders", NEW_REQUEST_TIME / 2))
        .count();

    assert!(detected < 150, "{detected}");
}

#[test]
fn routes_that_are_gone_take_no_room() {
    let mut detector = CallerRetryDetector::default();
    detector.detect_retry("orders", NEW_REQUEST_TIME);

    detector.prune(&|route| route != "orders");

    assert!(!detector.detect_retry("orders", NEW_REQUEST_TIME / 2));
}

/// Numbers as far apart as hashes of request ids are.
fn salts() -> impl Iterator<Item = u64> {
    (0..1_000u64).map(|number| number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

#[test]
fn callers_that_are_turned_away_together_come_back_spread_out() {
    let left = Duration::from_secs(12);

    let mut tenths = [0usize; 10];
    for salt in salts() {
        let after = RetryAfter::OTHER_NODE.delay(salt, left);
        tenths[((after.as_millis() - 150) / 85).min(9) as usize] += 1;
    }

    assert!(
        tenths.iter().all(|&callers| (50..=150).contains(&callers)),
        "{tenths:?}"
    );
}

#[test]
fn callers_with_little_time_are_spread_over_a_third_of_it() {
    let left = Duration::from_secs(3);

    let times: Vec<Duration> = salts()
        .map(|salt| RetryAfter::SERVICE_FULL.delay(salt, left))
        .collect();

    let second = Duration::from_secs(1);
    assert!(times.iter().all(|time| *time <= second));
    let late = RetryAfter::SERVICE_FULL.delay(u64::MAX, Duration::from_secs(12));
    assert_eq!(late, Duration::from_secs(4));
}

#[test]
fn no_caller_is_told_to_wait_longer_than_it_would() {
    let left = Duration::from_millis(600);

    let longest = salts()
        .map(|salt| RetryAfter::OTHER_NODE.delay(salt, left))
        .max();

    assert!(longest <= Some(left / 3));
}
