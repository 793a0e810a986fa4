//! A service fails for all nodes, each of which would retry each request.

use crate::clock::BootInstant;
use crate::decide::RetryBudget;
use crate::decide::RetryNeed;
use crate::decide::RetryPolicy;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);

fn budget() -> RetryBudget {
    RetryBudget::new(RetryPolicy {
        ratio: 0.2,
        window: WINDOW,
        slack: 54.0,
    })
}

fn at(ms: u64) -> BootInstant {
    BootInstant::from_boot(Duration::from_millis(ms))
}

#[test]
fn retries_of_any_window_stay_below_the_limit() {
    let mut budget = budget();
    let mut retries = Vec::new();

    for request in 0..3_000u64 {
        let now = at(request * 20);
        budget.record_request(now);
        if budget.try_acquire(now, 7, RetryNeed::Full) {
            retries.push(now);
        }
    }

    let max_in_window = retries
        .iter()
        .map(|start| {
            let in_window = |at: &&BootInstant| **at >= *start && at.since(*start) < WINDOW;
            retries.iter().filter(in_window).count()
        })
        .max();
    let allowed = 500.0 * 0.2 + 54.0 / 7.0;
    assert!(
        max_in_window.is_some_and(|max_in_window| max_in_window as f64 <= allowed),
        "{max_in_window:?} of {allowed}"
    );
    assert!(!retries.is_empty());
}

#[test]
fn nodes_together_stay_within_the_slack() {
    let mut nodes: Vec<RetryBudget> = (0..7).map(|_| budget()).collect();

    let taken: usize = nodes
        .iter_mut()
        .map(|node| {
            (0..100)
                .filter(|_| node.try_acquire(at(0), 7, RetryNeed::Full))
                .count()
        })
        .sum();

    assert!(taken <= 54, "{taken} retries without a request");
}

#[test]
fn second_chances_leave_retries_for_requests_that_fail_without_one() {
    let mut budget = budget();

    let spare = (0..100).filter(|_| budget.try_acquire(at(0), 1, RetryNeed::Spare));
    let spare = spare.count();
    let needed = (0..100).filter(|_| budget.try_acquire(at(0), 1, RetryNeed::Full));

    assert!(spare > 0);
    assert!(needed.count() >= spare);
}

#[test]
fn a_retry_that_is_given_back_can_be_taken_once_more_in_its_window() {
    let mut budget = budget();
    let take_all = |budget: &mut RetryBudget, now| {
        let taken = (0..100).filter(|_| budget.try_acquire(now, 1, RetryNeed::Full));
        taken.count()
    };
    let count = take_all(&mut budget, at(0));

    budget.release(at(0));
    let again = take_all(&mut budget, at(5_000));
    let in_next_window = take_all(&mut budget, at(11_000));

    assert_eq!(again, 1);
    assert_eq!(in_next_window, count - 1);
}

#[test]
fn questions_about_ends_that_are_probably_whole_leave_retries_for_requests_that_fail() {
    let mut budget = budget();
    let take_all = |budget: &mut RetryBudget, need| {
        let taken = (0..100).filter(|_| budget.try_acquire(at(0), 1, need));
        taken.count()
    };

    let questions = take_all(&mut budget, RetryNeed::Question);
    let needed = take_all(&mut budget, RetryNeed::Full);

    assert!(questions > 0);
    assert!(needed >= 3 * questions, "{needed} after {questions}");
}

#[test]
fn a_budget_that_failures_use_has_nothing_left_for_questions() {
    let mut budget = budget();
    for _ in 0..14 {
        assert!(budget.try_acquire(at(0), 1, RetryNeed::Full));
    }

    assert!(!budget.try_acquire(at(0), 1, RetryNeed::Question));
    assert!(budget.try_acquire(at(0), 1, RetryNeed::Spare));
}
