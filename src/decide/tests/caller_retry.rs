//! Many callers are rejected at the same instant, and their retries arrive among new requests.

use crate::decide::CallerRetryDetector;
use crate::decide::RetryAfter;
use std::time::Duration;

const NEW_REQUEST_TIME: Duration = Duration::from_millis(4_000);

#[test]
fn a_request_with_less_time_than_new_ones_is_a_retry() {
    let mut detector = CallerRetryDetector::default();

    let new_request = detector.detect_retry("orders", NEW_REQUEST_TIME);
    let slightly_less_time =
        detector.detect_retry("orders", NEW_REQUEST_TIME - Duration::from_millis(40));
    let retry = detector.detect_retry("orders", NEW_REQUEST_TIME - Duration::from_millis(1_000));
    let other_route =
        detector.detect_retry("lookups", NEW_REQUEST_TIME - Duration::from_millis(1_000));

    assert_eq!(
        (new_request, slightly_less_time, retry, other_route),
        (false, false, true, false)
    );
}

#[test]
fn new_requests_with_differing_times_are_no_retries() {
    let mut detector = CallerRetryDetector::default();

    // Callers of the reference workload have between 0.85 and all of the time that is set for their kind of request.
    let detected = (0..1_000u32)
        .map(|number| NEW_REQUEST_TIME.mul_f64(0.85 + f64::from(number * 7 % 150) / 1_000.0))
        .filter(|time| detector.detect_retry("orders", *time))
        .count();

    assert_eq!(detected, 0);
}

#[test]
fn a_route_adapts_when_its_callers_start_to_have_less_time() {
    let mut detector = CallerRetryDetector::default();
    detector.detect_retry("orders", NEW_REQUEST_TIME);

    let detected = (0..300)
        .filter(|_| detector.detect_retry("orders", NEW_REQUEST_TIME / 2))
        .count();

    assert!(detected < 150, "{detected}");
}

#[test]
fn removed_routes_are_forgotten() {
    let mut detector = CallerRetryDetector::default();
    detector.detect_retry("orders", NEW_REQUEST_TIME);

    detector.prune(&|route| route != "orders");

    assert!(!detector.detect_retry("orders", NEW_REQUEST_TIME / 2));
}

/// Returns numbers that are spread like hashes of request ids.
fn salts() -> impl Iterator<Item = u64> {
    (0..1_000u64).map(|number| number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

#[test]
fn callers_rejected_together_get_evenly_spread_delays() {
    let time_left = Duration::from_secs(12);

    let mut tenths = [0usize; 10];
    for salt in salts() {
        let delay = RetryAfter::OTHER_NODE.delay(salt, time_left);
        tenths[((delay.as_millis() - 150) / 85).min(9) as usize] += 1;
    }

    assert!(
        tenths.iter().all(|&callers| (50..=150).contains(&callers)),
        "{tenths:?}"
    );
}

#[test]
fn callers_with_little_time_get_delays_within_a_third_of_it() {
    let time_left = Duration::from_secs(3);

    let delays: Vec<Duration> = salts()
        .map(|salt| RetryAfter::SERVICE_FULL.delay(salt, time_left))
        .collect();

    let second = Duration::from_secs(1);
    assert!(delays.iter().all(|delay| *delay <= second));
    let late = RetryAfter::SERVICE_FULL.delay(u64::MAX, Duration::from_secs(12));
    assert_eq!(late, Duration::from_secs(4));
}

#[test]
fn no_delay_exceeds_a_third_of_the_time_left() {
    let time_left = Duration::from_millis(600);

    let longest = salts()
        .map(|salt| RetryAfter::OTHER_NODE.delay(salt, time_left))
        .max();

    assert!(longest <= Some(time_left / 3));
}
