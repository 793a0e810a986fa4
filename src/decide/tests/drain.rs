//! A node is stopped while callers keep using their open connections.

use crate::decide::DrainPolicy;
use std::time::Duration;

fn policy() -> DrainPolicy {
    DrainPolicy {
        drain_time: Duration::from_millis(7_400),
    }
}

#[test]
fn a_stream_that_would_outlive_the_node_is_rejected() {
    let max_duration = Duration::from_secs(12);

    let early = policy().accepts(Duration::from_millis(500), true, max_duration);
    let late = policy().accepts(Duration::from_millis(4_009), true, max_duration);
    let lost_if_cut = policy().accepts(Duration::from_millis(500), false, max_duration);

    assert!(early);
    assert!(!late);
    assert!(!lost_if_cut);
}

#[test]
fn a_resumable_stream_has_most_of_a_short_grace_period() {
    let policy = DrainPolicy {
        drain_time: Duration::from_millis(2_400),
    };
    let max_duration = Duration::from_secs(12);

    let early = policy.accepts(Duration::from_millis(700), true, max_duration);
    let late = policy.accepts(Duration::from_millis(1_200), true, max_duration);

    assert!(early);
    assert!(!late);
}

#[test]
fn a_plain_call_is_accepted_while_it_can_end_in_time() {
    let max_duration = Duration::from_secs(2);

    let in_time = policy().accepts(Duration::from_secs(5), false, max_duration);
    let too_late = policy().accepts(Duration::from_millis(5_500), false, max_duration);

    assert!(in_time);
    assert!(!too_late);
}
