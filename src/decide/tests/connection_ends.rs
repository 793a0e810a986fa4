//! Connections of a gateway to a server that ends, and to sound ones that take no further connections.

use super::server_path::at;
use crate::decide::ConnectionEnds;
use crate::decide::OpenConnection;

const ANSWERED: OpenConnection = OpenConnection {
    opened_at: at(0),
    is_answered: true,
};

/// Returns a connection without an answer that was opened at `ms`.
fn unanswered(ms: u64) -> OpenConnection {
    OpenConnection {
        opened_at: at(ms),
        is_answered: false,
    }
}

/// Returns the ends of connections that were opened at 0 ms and on which a server has answered.
fn answered(count: usize) -> ConnectionEnds {
    let mut ends = ConnectionEnds::default();
    for _ in 0..count {
        ends.record_opened(at(0));
        ends.record_answer(unanswered(0));
    }
    ends
}

#[test]
fn the_end_of_a_process_ends_all_its_connections() {
    let mut ends = answered(2);
    ends.record_opened(at(30));
    let mut seen = Vec::new();

    ends.record_ended(ANSWERED, at(100));
    seen.push(ends.have_all_ended_since(at(60)));
    ends.record_ended(unanswered(30), at(101));
    seen.push(ends.have_all_ended_since(at(60)));
    ends.record_ended(ANSWERED, at(103));
    seen.push(ends.have_all_ended_since(at(60)));

    assert_eq!(seen, [false, false, true]);
    assert!(ends.have_all_ended());
}

#[test]
fn a_server_whose_other_connections_go_on_has_not_ended() {
    let mut answering = answered(2);
    let mut working = answered(1);
    working.record_opened(at(40));

    for ends in [&mut answering, &mut working] {
        ends.record_ended(ANSWERED, at(100));

        assert!(!ends.have_all_ended_since(at(60)));
        assert!(!ends.have_all_ended());
    }
}

#[test]
fn connections_that_a_full_server_turns_away_tell_nothing() {
    let mut ends = ConnectionEnds::default();
    ends.record_opened(at(100));

    ends.record_ended(unanswered(100), at(110));

    assert!(!ends.have_all_ended());
}

#[test]
fn connections_that_a_relay_accepts_after_the_end_tell_nothing() {
    let mut ends = answered(1);
    ends.record_ended(ANSWERED, at(100));

    ends.record_opened(at(110));

    assert!(ends.have_all_ended());
}

#[test]
fn connections_that_are_closed_here_tell_nothing() {
    let mut ends = answered(2);

    ends.record_closed(ANSWERED, at(100));
    ends.record_closed(ANSWERED, at(101));

    assert!(!ends.have_all_ended());
}

#[test]
fn an_answer_on_another_connection_shows_that_the_server_goes_on() {
    let mut ends = answered(1);
    ends.record_ended(ANSWERED, at(100));
    ends.record_opened(at(110));

    ends.record_answer(unanswered(110));
    ends.record_closed(ANSWERED, at(120));

    assert!(!ends.have_all_ended());
}

#[test]
fn an_end_of_long_ago_is_not_that_of_a_request_that_breaks_off_now() {
    let mut ends = answered(1);

    ends.record_ended(ANSWERED, at(100));

    assert!(ends.have_all_ended());
    assert!(!ends.have_all_ended_since(at(1_000)));
}

#[test]
fn a_connection_that_outlives_the_end_of_another_shows_that_the_server_goes_on() {
    let closed_at = [101, 250].map(|ms| {
        let mut ends = answered(2);
        ends.record_ended(ANSWERED, at(100));
        ends.record_closed(ANSWERED, at(ms));
        ends.have_all_ended()
    });

    assert_eq!(closed_at, [true, false]);
}
