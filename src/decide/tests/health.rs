//! A server that fails while the others don't, and a service whose servers all fail.

use crate::clock::BootInstant;
use crate::decide::Health;
use crate::decide::HealthPolicy;
use crate::decide::RunResult;
use std::time::Duration;

fn at(ms: u64) -> BootInstant {
    BootInstant::from_boot(Duration::from_millis(ms))
}

fn record_all(
    health: &mut Health,
    results: &[RunResult],
    mean_failure_rate: f64,
) -> Option<Duration> {
    let policy = HealthPolicy::default();
    let mut suspension = None;
    for (number, result) in results.iter().enumerate() {
        suspension = health
            .record(*result, mean_failure_rate, at(number as u64), &policy)
            .or(suspension);
    }
    suspension
}

#[test]
fn a_server_that_fails_among_healthy_ones_is_suspended_and_tried_again() {
    let mut health = Health::default();

    let suspension = record_all(&mut health, &[RunResult::Failed; 3], 0.1);

    let suspension = suspension.expect("suspended");
    assert!(health.is_suspended(at(10)));
    assert!(!health.is_suspended(at(10).plus(suspension)));
}

#[test]
fn servers_that_all_fail_equally_often_stay_in_use() {
    let mut health = Health::default();

    let suspension = record_all(&mut health, &[RunResult::Failed; 20], 0.9);

    assert_eq!(suspension, None);
}

#[test]
fn a_normal_failure_rate_suspends_no_server() {
    let mut health = Health::default();
    let mut results = [RunResult::Good; 21];
    for failed in [3, 10, 17] {
        results[failed] = RunResult::Failed;
    }

    let suspension = record_all(&mut health, &results, 0.14);

    assert_eq!(suspension, None);
}

#[test]
fn an_unresponsive_server_is_suspended_immediately() {
    for result in [RunResult::Unreachable, RunResult::Silent] {
        let mut health = Health::default();

        let suspension = record_all(
            &mut health,
            &[RunResult::Good, RunResult::Good, result],
            0.0,
        );

        assert!(suspension.is_some(), "{result:?}");
    }
}

#[test]
fn suspensions_grow_up_to_their_limit() {
    let policy = HealthPolicy::default();
    let mut health = Health::default();
    let mut now = at(0);
    let mut last = Duration::ZERO;

    for _ in 0..6 {
        let suspension = health
            .record(RunResult::Unreachable, 0.0, now, &policy)
            .unwrap();
        assert!(suspension >= last);
        last = suspension;
        now = now.plus(suspension);
    }

    assert_eq!(last, policy.max_suspension);
}

#[test]
fn a_server_that_was_silent_gets_requests_again_once_it_goes_on() {
    let mut health = Health::default();
    record_all(&mut health, &[RunResult::Silent], 0.0);
    assert!(health.is_suspended(at(10)));

    health.end_silence();

    assert!(!health.is_suspended(at(10)));
}

#[test]
fn a_server_that_fails_stays_suspended_when_a_silent_request_goes_on() {
    let mut health = Health::default();
    record_all(&mut health, &[RunResult::Failed; 3], 0.1);

    health.end_silence();

    assert!(health.is_suspended(at(10)));
}
