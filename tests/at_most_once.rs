//! Tests the outcome that the caller of a non-idempotent call gets at each failure point that `docs/AT-MOST-ONCE.md`
//! lists.

#![expect(
    clippy::unwrap_used,
    reason = "A test panics on any unexpected result."
)]

mod at_most_once {
    pub mod fixture;
}

use at_most_once::fixture::BackendBehaviour;
use at_most_once::fixture::CallResult;
use at_most_once::fixture::Fixture;
use at_most_once::fixture::LogFault;
use std::time::Duration;

/// A `lost_after` that is longer than any test runs.
const LONG_LOST_AFTER: Duration = Duration::from_mins(1);

/// A failure during the first call, the result of that call, and the results of retries after the log has recovered.
struct FailureCase {
    log_fault: LogFault,
    backend: BackendBehaviour,
    /// Result of the first call; `None` if the claimer dies before it answers.
    first_result: Option<&'static str>,
    /// Result of a retry at the same node; `None` if that node has died.
    same_node_result: Option<&'static str>,
    /// Result of a retry at the other node.
    other_node_result: &'static str,
    /// How many times the backend server runs the call.
    runs: u32,
    /// Age from which another node's claim without an outcome is reported as `claimer-lost`.
    lost_after: Duration,
}

const NO_FAILURE: FailureCase = FailureCase {
    log_fault: LogFault::None,
    backend: BackendBehaviour::Answers,
    first_result: Some("answered"),
    same_node_result: Some("answered"),
    other_node_result: "answered",
    runs: 1,
    lost_after: LONG_LOST_AFTER,
};
const LOG_UNAVAILABLE: Option<&str> = Some("not-run log-unavailable");

fn check(case: &FailureCase) {
    let fixture = Fixture::new(case.lost_after);
    let key = fixture.new_key();
    fixture.set_log_fault(case.log_fault);
    fixture.set_backend(case.backend);

    let first_result = case.first_result.map(|_| fixture.call(0, key));
    if first_result.is_none() {
        fixture.start_call(0, key);
    }
    if case.same_node_result.is_none() {
        fixture.kill_node(0);
    }
    fixture.set_log_fault(LogFault::None);
    fixture.set_backend(BackendBehaviour::Answers);
    let same_node_result = case
        .same_node_result
        .map(|expected| fixture.retry_until(0, key, expected));
    let other_node_result = fixture.retry_until(1, key, case.other_node_result);

    assert_eq!(first_result, case.first_result.map(CallResult::from));
    assert_eq!(
        same_node_result,
        case.same_node_result.map(CallResult::from)
    );
    assert_eq!(other_node_result, CallResult::from(case.other_node_result));
    assert_eq!(fixture.run_count(), case.runs);
}

#[test]
fn log_is_down_before_the_append() {
    check(&FailureCase {
        log_fault: LogFault::Down,
        first_result: LOG_UNAVAILABLE,
        ..NO_FAILURE
    });
}

#[test]
fn append_is_lost() {
    check(&FailureCase {
        log_fault: LogFault::LosesAppends,
        first_result: LOG_UNAVAILABLE,
        ..NO_FAILURE
    });
}

#[test]
fn append_succeeds_but_its_response_is_lost() {
    check(&FailureCase {
        log_fault: LogFault::LosesAppendResponses,
        ..NO_FAILURE
    });
}

#[test]
fn append_is_duplicated() {
    let fixture = Fixture::new(LONG_LOST_AFTER);
    let key = fixture.new_key();
    fixture.set_log_fault(LogFault::AppendsTwice);
    fixture.set_backend(BackendBehaviour::HangsAfterRun);
    fixture.start_call(0, key);
    fixture.set_backend(BackendBehaviour::Answers);

    let results: Vec<CallResult> = (0..20).map(|_| fixture.call(1, key)).collect();

    assert_eq!(results, vec![CallResult::from("unknown key-running"); 20]);
    assert_eq!(fixture.run_count(), 1);
}

#[test]
fn append_response_is_lost_and_reads_fail() {
    check(&FailureCase {
        log_fault: LogFault::LosesAppendResponsesAndReadsFail,
        first_result: LOG_UNAVAILABLE,
        ..NO_FAILURE
    });
}

#[test]
fn reads_fail_after_the_append() {
    check(&FailureCase {
        log_fault: LogFault::ReadsFail,
        first_result: LOG_UNAVAILABLE,
        ..NO_FAILURE
    });
}

#[test]
fn no_backend_accepts_the_claimed_call() {
    check(&FailureCase {
        backend: BackendBehaviour::Refuses,
        first_result: Some("not-run no-backend"),
        ..NO_FAILURE
    });
}

#[test]
fn claimer_dies_after_the_claim() {
    check(&FailureCase {
        backend: BackendBehaviour::HangsBeforeRun,
        first_result: None,
        same_node_result: None,
        other_node_result: "unknown key-running",
        runs: 0,
        ..NO_FAILURE
    });
}

#[test]
fn connection_lost_after_the_call_was_sent() {
    check(&FailureCase {
        backend: BackendBehaviour::LosesAnswer,
        first_result: Some("unknown connection-lost"),
        same_node_result: Some("unknown connection-lost"),
        other_node_result: "unknown connection-lost",
        ..NO_FAILURE
    });
}

#[test]
fn answer_is_truncated() {
    check(&FailureCase {
        backend: BackendBehaviour::TruncatesAnswer,
        first_result: Some("unknown truncated"),
        same_node_result: Some("unknown truncated"),
        other_node_result: "unknown truncated",
        ..NO_FAILURE
    });
}

#[test]
fn claimer_dies_after_sending_the_call() {
    check(&FailureCase {
        backend: BackendBehaviour::HangsAfterRun,
        first_result: None,
        same_node_result: None,
        other_node_result: "unknown key-running",
        ..NO_FAILURE
    });
}

#[test]
fn claimer_dies_after_sending_the_call_and_lost_after_elapses() {
    check(&FailureCase {
        backend: BackendBehaviour::HangsAfterRun,
        first_result: None,
        same_node_result: None,
        other_node_result: "unknown claimer-lost",
        lost_after: Duration::from_millis(100),
        ..NO_FAILURE
    });
}

#[test]
fn claimer_dies_after_the_answer_before_recording_the_outcome() {
    check(&FailureCase {
        backend: BackendBehaviour::AnswersAsLogFails,
        same_node_result: None,
        other_node_result: "unknown key-running",
        ..NO_FAILURE
    });
}

#[test]
fn claimer_dies_after_recording_the_outcome() {
    let fixture = Fixture::new(LONG_LOST_AFTER);
    let key = fixture.new_key();

    assert_eq!(fixture.call(0, key), CallResult::from("answered"));
    fixture.wait_for_recorded_outcome();
    fixture.kill_node(0);

    assert_eq!(
        fixture.retry_until(1, key, "answered"),
        CallResult::from("answered")
    );
    assert_eq!(fixture.run_count(), 1);
}

#[test]
fn retry_while_the_first_call_runs() {
    let fixture = Fixture::new(LONG_LOST_AFTER);
    let key = fixture.new_key();
    fixture.set_backend(BackendBehaviour::HangsAfterRun);
    fixture.start_call(0, key);

    assert_eq!(
        fixture.call(0, key),
        CallResult::from("unknown key-running")
    );
    assert_eq!(
        fixture.call(1, key),
        CallResult::from("unknown key-running")
    );
    assert_eq!(fixture.run_count(), 1);
}

#[test]
fn key_reused_for_a_different_call() {
    let fixture = Fixture::new(LONG_LOST_AFTER);
    let key = fixture.new_key();
    fixture.call(0, key);

    let results = [0, 1].map(|node| fixture.call_with_other_fingerprint(node, key));

    assert_eq!(
        results,
        [(); 2].map(|()| CallResult::from("not-run key-reused"))
    );
    assert_eq!(fixture.run_count(), 1);
}

#[test]
fn expired_key_and_key_from_the_future() {
    let fixture = Fixture::new(LONG_LOST_AFTER);
    let day = Duration::from_hours(24);

    let expired = fixture.call(0, fixture.key_with_age(day));
    let from_future = fixture.call(0, fixture.key_from_future(day));

    assert_eq!(expired, CallResult::from("unknown expired"));
    assert_eq!(from_future, CallResult::from("not-run key-from-future"));
    assert_eq!(fixture.run_count(), 0);
}

#[test]
fn key_expires_while_its_claim_is_decided() {
    let fixture = Fixture::new(LONG_LOST_AFTER);
    let key = fixture.key_with_age(Fixture::WINDOW - Duration::from_millis(100));
    fixture.set_log_fault(LogFault::SlowAppends);

    assert_eq!(fixture.call(0, key), CallResult::from("unknown expired"));
    assert_eq!(fixture.run_count(), 0);
}

#[test]
fn log_discards_records_too_early() {
    let fixture = Fixture::new(LONG_LOST_AFTER);
    let key = fixture.new_key();
    fixture.discard_records();

    assert_eq!(
        fixture.call(0, key),
        CallResult::from("not-run log-unavailable")
    );
    assert_eq!(fixture.run_count(), 0);
}

#[test]
fn record_of_a_newer_version() {
    let fixture = Fixture::new(LONG_LOST_AFTER);
    fixture.write_newer_records();

    let result = fixture.call(0, fixture.new_key());

    assert_eq!(result, CallResult::from("not-run log-unavailable"));
    assert_eq!(fixture.run_count(), 0);
}

#[test]
fn answer_too_large_to_be_stored() {
    let fixture = Fixture::new(LONG_LOST_AFTER);
    let key = fixture.new_key();
    fixture.set_backend(BackendBehaviour::AnswersLargeBody);

    assert_eq!(fixture.call(0, key), CallResult::from("answered"));
    let result = fixture.retry_until(1, key, "unknown answer-not-kept");

    assert_eq!(result, CallResult::from("unknown answer-not-kept"));
    assert_eq!(fixture.run_count(), 1);
}

#[test]
fn both_nodes_claim_each_key_at_once() {
    let fixture = Fixture::new(LONG_LOST_AFTER);
    let keys: Vec<_> = (0..40).map(|_| fixture.new_key()).collect();

    fixture.call_at_all_nodes(&keys);

    assert_eq!(fixture.run_count(), 40);
}
