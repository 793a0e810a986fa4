//! A node is stopped while callers keep using their open connections.

use crate::decide::Leave;
use std::time::Duration;

fn leave() -> Leave {
    Leave {
        serves_for: Duration::from_millis(7_400),
    }
}

#[test]
fn a_stream_that_would_outlive_the_node_is_not_taken() {
    let longest = Duration::from_secs(12);

    let early = leave().takes(Duration::from_millis(500), true, longest);
    let late = leave().takes(Duration::from_millis(4_009), true, longest);

    assert!(early);
    assert!(!late);
}

#[test]
fn a_plain_call_is_taken_while_its_whole_time_fits() {
    let longest = Duration::from_secs(2);

    let in_time = leave().takes(Duration::from_secs(5), false, longest);
    let too_late = leave().takes(Duration::from_millis(5_500), false, longest);

    assert!(in_time);
    assert!(!too_late);
}
