use super::NotRun;
use super::Refusal;
use super::Unknown;
use super::problem_response;
use std::time::Duration;

#[test]
fn every_reason_is_found_by_its_name() {
    for &reason in NotRun::ALL {
        assert_eq!(NotRun::from_name(reason.as_str()), Some(reason));
    }
    for &reason in Unknown::ALL {
        assert_eq!(Unknown::from_name(reason.as_str()), Some(reason));
    }
}

#[test]
fn a_refusal_response_has_the_outcome_and_the_retry_delay() {
    let refusal = Refusal::not_run_until(NotRun::QueueFull, Duration::from_millis(1_200));

    let response = problem_response(&refusal, "r1");

    assert_eq!(response.status(), 429);
    assert_eq!(response.headers()["x-outcome"], "not-run");
    assert_eq!(response.headers()["retry-after"], "2");
}
