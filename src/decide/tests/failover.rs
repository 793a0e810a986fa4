//! Servers that fall silent and go on, alone or all at once, and sends that have ended for good.

use crate::decide::FailoverStep;
use crate::decide::FailoverView;
use crate::decide::RestView;
use crate::decide::RetryNeed;
use crate::decide::SendState;
use crate::decide::asks_for_rest;
use crate::decide::failover_step;

const ENDED: [SendState; 7] = [
    SendState::NotReached,
    SendState::Misdirected,
    SendState::NotRun,
    SendState::Failed,
    SendState::Broken,
    SendState::Crashed,
    SendState::Late,
];

/// Returns the view of a request that may be sent again, with no other send pending.
fn view() -> FailoverView {
    FailoverView {
        is_retryable: true,
        has_sends_left: true,
        may_miss_again: true,
        has_time_left: true,
        has_untried_server: true,
        has_responsive_server: true,
        may_crash_servers: false,
        is_other_pending: false,
    }
}

/// Returns the step and which retry was taken from a budget that grants all.
fn step(state: SendState, view: &FailoverView) -> (FailoverStep, Option<RetryNeed>) {
    let mut taken = None;
    let step = failover_step(state, view, |need| {
        taken = Some(need);
        true
    });
    (step, taken)
}

#[test]
fn a_silent_send_is_never_given_up() {
    for bits in 0..64u32 {
        let view = FailoverView {
            is_retryable: bits & 1 > 0,
            has_sends_left: bits & 2 > 0,
            has_time_left: bits & 4 > 0,
            has_untried_server: bits & 8 > 0,
            has_responsive_server: bits & 16 > 0,
            is_other_pending: bits & 32 > 0,
            ..view()
        };
        for is_granted in [false, true] {
            let step = failover_step(SendState::Silent, &view, |_| is_granted);
            assert_ne!(step, FailoverStep::GiveUp, "{view:?}");
        }
    }
}

#[test]
fn a_silent_send_is_joined_by_one_to_a_server_that_responds() {
    let expected = (FailoverStep::Send, Some(RetryNeed::Full));
    assert_eq!(step(SendState::Silent, &view()), expected);
}

#[test]
fn servers_that_are_all_silent_leave_a_part_of_the_budget() {
    let view = FailoverView {
        has_responsive_server: false,
        ..view()
    };

    let expected = (FailoverStep::Send, Some(RetryNeed::Spare));
    assert_eq!(step(SendState::Silent, &view), expected);
}

#[test]
fn a_request_that_may_run_once_only_waits_for_its_silent_server() {
    let view = FailoverView {
        is_retryable: false,
        ..view()
    };

    assert_eq!(step(SendState::Silent, &view), (FailoverStep::Wait, None));
}

#[test]
fn a_send_that_ended_is_not_given_up_while_another_may_be_answered() {
    let view = FailoverView {
        is_other_pending: true,
        ..view()
    };
    for state in ENDED {
        let step = failover_step(state, &view, |_| false);
        assert_ne!(step, FailoverStep::GiveUp, "{state:?}");
    }
}

#[test]
fn a_send_that_ended_without_another_is_given_up_once_the_budget_is_used_up() {
    let view = FailoverView {
        may_miss_again: false,
        ..view()
    };
    for state in ENDED {
        let step = failover_step(state, &view, |_| false);
        assert_eq!(step, FailoverStep::GiveUp, "{state:?}");
    }
}

#[test]
fn a_request_that_may_have_run_is_sent_again_only_if_it_may_run_twice() {
    let view = FailoverView {
        is_retryable: false,
        ..view()
    };

    for state in [SendState::Failed, SendState::Broken] {
        assert_eq!(step(state, &view), (FailoverStep::GiveUp, None));
    }
    assert_eq!(
        step(SendState::NotRun, &view),
        (FailoverStep::Send, Some(RetryNeed::Full))
    );
}

#[test]
fn a_request_that_crashed_its_server_is_not_sent_to_another() {
    assert_eq!(
        step(SendState::Crashed, &view()),
        (FailoverStep::GiveUp, None)
    );
}

#[test]
fn a_send_that_reached_no_server_costs_no_retry() {
    assert_eq!(
        step(SendState::NotReached, &view()),
        (FailoverStep::Send, None)
    );
}

#[test]
fn a_request_that_crashed_a_server_is_sent_to_no_other_whatever_follows() {
    let view = FailoverView {
        may_crash_servers: true,
        is_other_pending: true,
        ..view()
    };
    for state in ENDED.into_iter().chain([SendState::Silent]) {
        assert_eq!(step(state, &view), (FailoverStep::Wait, None), "{state:?}");
    }
}

#[test]
fn the_rest_of_a_stream_whose_end_only_its_connection_tells_is_asked_for_with_what_the_budget_can_spare()
 {
    let view = RestView {
        can_resume: true,
        has_sends_left: true,
        has_time_left: true,
        is_responsive: true,
        may_crash_servers: false,
    };
    let mut taken = None;

    let asks = asks_for_rest(&view, |need| {
        taken = Some(need);
        true
    });

    assert!(asks);
    assert_eq!(taken, Some(RetryNeed::Question));
    assert!(!asks_for_rest(&view, |_| false));
    let forbidden = [
        RestView {
            can_resume: false,
            ..view
        },
        RestView {
            has_sends_left: false,
            ..view
        },
        RestView {
            has_time_left: false,
            ..view
        },
        RestView {
            is_responsive: false,
            ..view
        },
        RestView {
            may_crash_servers: true,
            ..view
        },
    ];
    for view in forbidden {
        let asks = asks_for_rest(&view, |_| panic!("taken for {view:?}"));
        assert!(!asks, "{view:?}");
    }
}
