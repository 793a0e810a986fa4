//! Each failure point of a non-idempotent call, and the outcome that its caller gets; the table is that of
//! `docs/AT-MOST-ONCE.md`.

#![expect(
    clippy::unwrap_used,
    reason = "A test stops at whatever it does not expect."
)]

mod at_most_once {
    pub mod world;
}

use at_most_once::world::Backend;
use at_most_once::world::LogFault;
use at_most_once::world::Seen;
use at_most_once::world::World;
use std::time::Duration;

/// Time that no test reaches.
const LATE: Duration = Duration::from_mins(1);

/// One row: a failure during the first call, what its caller gets, and what repeats get once the log works again.
struct Row {
    log: LogFault,
    backend: Backend,
    /// What the first caller gets; nothing where the claimer dies before it answers.
    first: Option<&'static str>,
    /// What a repeat at the same node gets; nothing where the node has died.
    here: Option<&'static str>,
    /// What a repeat at another node gets.
    elsewhere: &'static str,
    runs: u32,
    /// Time after which a claim without an outcome is taken for lost.
    lost_after: Duration,
}

const FINE: Row = Row {
    log: LogFault::None,
    backend: Backend::Answers,
    first: Some("answered"),
    here: Some("answered"),
    elsewhere: "answered",
    runs: 1,
    lost_after: LATE,
};
const LOG_UNAVAILABLE: Option<&str> = Some("not-run log-unavailable");

fn check(row: &Row) {
    let world = World::new(row.lost_after);
    let key = world.key();
    world.set_log(row.log);
    world.set_backend(row.backend);

    let first = row.first.map(|_| world.call(0, key));
    if first.is_none() {
        world.begin(0, key);
    }
    if row.here.is_none() {
        world.kill(0);
    }
    world.set_log(LogFault::None);
    world.set_backend(Backend::Answers);
    let here = row.here.map(|expected| world.repeat(0, key, expected));
    let elsewhere = world.repeat(1, key, row.elsewhere);

    assert_eq!(first, row.first.map(Seen::from));
    assert_eq!(here, row.here.map(Seen::from));
    assert_eq!(elsewhere, Seen::from(row.elsewhere));
    assert_eq!(world.runs(), row.runs);
}

#[test]
fn before_the_append() {
    check(&Row {
        log: LogFault::Down,
        first: LOG_UNAVAILABLE,
        ..FINE
    });
}

#[test]
fn append_lost_without_effect() {
    check(&Row {
        log: LogFault::LosesAppends,
        first: LOG_UNAVAILABLE,
        ..FINE
    });
}

#[test]
fn append_answer_lost() {
    check(&Row {
        log: LogFault::LosesAnswers,
        ..FINE
    });
}

#[test]
fn append_arrives_twice() {
    let world = World::new(LATE);
    let key = world.key();
    world.set_log(LogFault::AppendsTwice);
    world.set_backend(Backend::HangsAfter);
    world.begin(0, key);
    world.set_backend(Backend::Answers);

    let seen: Vec<Seen> = (0..20).map(|_| world.call(1, key)).collect();

    assert_eq!(seen, vec![Seen::from("unknown key-running"); 20]);
    assert_eq!(world.runs(), 1);
}

#[test]
fn append_answer_lost_and_stream_unreadable() {
    check(&Row {
        log: LogFault::LosesAnswersUnreadable,
        first: LOG_UNAVAILABLE,
        ..FINE
    });
}

#[test]
fn stream_unreadable_after_the_append() {
    check(&Row {
        log: LogFault::Unreadable,
        first: LOG_UNAVAILABLE,
        ..FINE
    });
}

#[test]
fn after_the_claim_no_backend_server_took_it() {
    check(&Row {
        backend: Backend::Refuses,
        first: Some("not-run no-backend"),
        ..FINE
    });
}

#[test]
fn claimer_dies_after_the_claim() {
    check(&Row {
        backend: Backend::HangsBefore,
        first: None,
        here: None,
        elsewhere: "unknown key-running",
        runs: 0,
        ..FINE
    });
}

#[test]
fn connection_lost_after_the_hand_over() {
    check(&Row {
        backend: Backend::LosesAnswer,
        first: Some("unknown connection-lost"),
        here: Some("unknown connection-lost"),
        elsewhere: "unknown connection-lost",
        ..FINE
    });
}

#[test]
fn answer_cut_short() {
    check(&Row {
        backend: Backend::CutsAnswer,
        first: Some("unknown truncated"),
        here: Some("unknown truncated"),
        elsewhere: "unknown truncated",
        ..FINE
    });
}

#[test]
fn claimer_dies_after_the_hand_over() {
    check(&Row {
        backend: Backend::HangsAfter,
        first: None,
        here: None,
        elsewhere: "unknown key-running",
        ..FINE
    });
}

#[test]
fn claimer_dies_after_the_hand_over_and_time_passes() {
    check(&Row {
        backend: Backend::HangsAfter,
        first: None,
        here: None,
        elsewhere: "unknown claimer-lost",
        lost_after: Duration::from_millis(100),
        ..FINE
    });
}

#[test]
fn claimer_dies_after_the_answer() {
    check(&Row {
        backend: Backend::AnswersAsLogFails,
        here: None,
        elsewhere: "unknown key-running",
        ..FINE
    });
}

#[test]
fn claimer_dies_after_the_outcome() {
    let world = World::new(LATE);
    let key = world.key();

    assert_eq!(world.call(0, key), Seen::from("answered"));
    world.wait_settled();
    world.kill(0);

    assert_eq!(world.repeat(1, key, "answered"), Seen::from("answered"));
    assert_eq!(world.runs(), 1);
}

#[test]
fn repeat_while_the_first_runs() {
    let world = World::new(LATE);
    let key = world.key();
    world.set_backend(Backend::HangsAfter);
    world.begin(0, key);

    assert_eq!(world.call(0, key), Seen::from("unknown key-running"));
    assert_eq!(world.call(1, key), Seen::from("unknown key-running"));
    assert_eq!(world.runs(), 1);
}

#[test]
fn key_of_another_call() {
    let world = World::new(LATE);
    let key = world.key();
    world.call(0, key);

    let seen = [0, 1].map(|node| world.call_other(node, key));

    assert_eq!(seen, [(); 2].map(|()| Seen::from("not-run key-reused")));
    assert_eq!(world.runs(), 1);
}

#[test]
fn keys_out_of_their_time() {
    let world = World::new(LATE);
    let day = Duration::from_hours(24);

    let old = world.call(0, world.key_before(day));
    let new = world.call(0, world.key_after(day));

    assert_eq!(old, Seen::from("unknown expired"));
    assert_eq!(new, Seen::from("not-run key-from-future"));
    assert_eq!(world.runs(), 0);
}

#[test]
fn key_expires_while_its_claim_is_decided() {
    let world = World::new(LATE);
    let key = world.key_before(World::WINDOW - Duration::from_millis(100));
    world.set_log(LogFault::Slow);

    assert_eq!(world.call(0, key), Seen::from("unknown expired"));
    assert_eq!(world.runs(), 0);
}

#[test]
fn log_that_forgets_too_early() {
    let world = World::new(LATE);
    let key = world.key();
    world.forget_records();

    assert_eq!(world.call(0, key), Seen::from("not-run log-unavailable"));
    assert_eq!(world.runs(), 0);
}

#[test]
fn record_of_a_newer_version() {
    let world = World::new(LATE);
    world.write_newer_records();

    let seen = world.call(0, world.key());

    assert_eq!(seen, Seen::from("not-run log-unavailable"));
    assert_eq!(world.runs(), 0);
}

#[test]
fn answer_too_large_to_be_kept() {
    let world = World::new(LATE);
    let key = world.key();
    world.set_backend(Backend::AnswersMuch);

    assert_eq!(world.call(0, key), Seen::from("answered"));
    let seen = world.repeat(1, key, "unknown answer-not-kept");

    assert_eq!(seen, Seen::from("unknown answer-not-kept"));
    assert_eq!(world.runs(), 1);
}

#[test]
fn two_claimers_at_once() {
    let world = World::new(LATE);
    let keys: Vec<_> = (0..40).map(|_| world.key()).collect();

    world.call_everywhere(&keys);

    assert_eq!(world.runs(), 40);
}
