//! Tests of what became of requests, and of the page around the pictures. `bench/tests/day.rs` has a page of a whole day.

use bytes::Bytes;
use std::time::Duration;
use std::time::Instant;

use super::figures::Outcome;
use super::figures::requests;
use super::resumed::Standing;
use super::resumed::resumed;
use crate::day::record::AnswerEnd;
use crate::day::record::Bounds;
use crate::day::record::CallerAttempt;
use crate::day::record::ConfigRecord;
use crate::day::record::DayRecord;
use crate::day::record::RouteKind;
use crate::day::record::RouteRecord;
use crate::day::record::TroubleRecord;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn day(kind: RouteKind, attempts: Vec<CallerAttempt>) -> DayRecord {
    let started = Instant::now() - millis(60_000);
    let route = RouteRecord {
        name: "r".to_owned(),
        path_prefix: "/r/".to_owned(),
        kind,
        service: "s".to_owned(),
        max_attempts: 1,
        timeout: millis(5_000),
        latency_target: millis(300),
        gap_target: Some(millis(100)),
    };
    DayRecord {
        sheet: "a<b".to_owned(),
        day: "day".to_owned(),
        seed: 1,
        started,
        ended: started + millis(60_000),
        bounds: Bounds {
            stable: millis(3_000),
            config_apply: millis(2_000),
            revoke: millis(5_000),
            grace: millis(8_000),
            drain: millis(2_000),
            retry_ratio: 0.2,
            retry_slack: 5.0,
            retry_window: millis(10_000),
        },
        gateways: Vec::new(),
        servers: Vec::new(),
        configs: vec![ConfigRecord {
            version: 1,
            sent: started,
            confirmed: started,
            routes: vec![route],
            keys: Vec::new(),
        }],
        attempts,
        runs: Vec::new(),
        troubles: Vec::new(),
    }
}

/// An attempt that is sent `at` after the first and got bytes at the times in `arrivals`, all in milliseconds.
fn attempt(
    (at, arrivals): (u64, &[u64]),
    (status, end): (u16, AnswerEnd),
    start: Instant,
) -> CallerAttempt {
    let last = arrivals.last().copied().unwrap_or(at + 10);
    CallerAttempt {
        id: format!("id-{at}"),
        first_attempt: "id-0".to_owned(),
        route: "r".to_owned(),
        target: "/r/1".to_owned(),
        request_body: Bytes::new(),
        headers: Vec::new(),
        key: String::new(),
        data_centre: "here".to_owned(),
        gateway: None,
        is_on_kept_connection: false,
        sent: start + millis(at),
        late: Duration::ZERO,
        deadline: millis(5_000),
        resume_after: None,
        names_first: true,
        head_at: None,
        status,
        answered_id: String::new(),
        seal: String::new(),
        retry_after: None,
        arrivals: arrivals.iter().map(|at| (start + millis(*at), 1)).collect(),
        body: Bytes::new(),
        end,
        ended: start + millis(last),
    }
}

#[test]
fn outcomes_follow_the_last_attempt_and_count_time_from_the_first() {
    use AnswerEnd::Broken;
    use AnswerEnd::Complete;
    use AnswerEnd::Left;
    use AnswerEnd::TimedOut;
    let start = Instant::now();
    let refused = attempt((0, &[]), (503, Complete), start);
    let plain = |at, arrivals: &[u64], head| attempt((at, arrivals), head, start);
    for (attempts, outcome) in [
        (vec![plain(0, &[200], (200, Complete))], Outcome::Served),
        (vec![plain(0, &[400], (200, Complete))], Outcome::Late),
        (vec![refused.clone()], Outcome::Refused),
        (vec![plain(0, &[50], (404, Complete))], Outcome::Refused),
        (vec![plain(0, &[50], (504, Complete))], Outcome::Failed),
        (vec![plain(0, &[50], (200, Broken))], Outcome::Failed),
        (vec![plain(0, &[], (0, TimedOut))], Outcome::Failed),
        (vec![plain(0, &[], (0, Left))], Outcome::Left),
        (
            vec![refused.clone(), plain(90, &[250], (200, Complete))],
            Outcome::Served,
        ),
        (
            vec![refused, plain(200, &[310], (200, Complete))],
            Outcome::Late,
        ),
    ] {
        let day = day(RouteKind::Safe, attempts);

        let found = requests(&day);

        assert_eq!(found.len(), 1);
        assert_eq!(found[0].outcome, outcome, "{:?}", day.attempts);
    }
}

#[test]
fn streams_are_in_time_by_their_first_event_and_pauses() {
    let start = Instant::now();
    for (arrivals, outcome, pause) in [
        (vec![250, 340, 430], Outcome::Served, 90),
        (vec![310, 400], Outcome::Late, 90),
        (vec![250, 351], Outcome::Late, 101),
    ] {
        let whole = attempt((0, &arrivals), (200, AnswerEnd::Complete), start);
        let day = day(RouteKind::Stream, vec![whole]);

        let found = requests(&day);

        assert_eq!(found[0].outcome, outcome, "{arrivals:?}");
        assert_eq!(found[0].longest_pause, Some(millis(pause)));
        assert_eq!(found[0].latency, Some(millis(arrivals[0])));
    }
}

/// An attempt that takes a stream up at gateway 1, `at` milliseconds after the start.
fn resumption(at: u64, (status, names_first): (u16, bool), start: Instant) -> CallerAttempt {
    CallerAttempt {
        gateway: Some(1),
        resume_after: Some(3),
        names_first,
        retry_after: (status == 503).then_some(millis(at)),
        ..attempt((at, &[]), (status, AnswerEnd::Complete), start)
    }
}

#[test]
fn streams_that_are_taken_up_are_counted_by_how_their_gateway_stood() {
    let mut record = day(RouteKind::ResumableStream, Vec::new());
    let start = record.started;
    let freeze = |gateway| TroubleRecord {
        kind: "node_freeze".to_owned(),
        detail: String::new(),
        is_planned: false,
        start: start + millis(1_000),
        end: Some(start + millis(2_000)),
        gateways: vec![gateway],
        servers: Vec::new(),
    };
    record.troubles = vec![freeze(1), freeze(2)];
    let sent = [
        (100, (200, true)),
        (1_500, (503, true)),
        (2_900, (503, true)),
        (2_950, (200, false)),
        (3_100, (504, true)),
        (6_100, (200, true)),
    ];
    record.attempts = sent.map(|(at, how)| resumption(at, how, start)).to_vec();
    let begun = attempt((0, &[]), (200, AnswerEnd::Broken), start);
    record.attempts.push(begun);

    let found = resumed(&record);

    let view = |it: &super::resumed::Resumed| {
        (
            it.standing,
            it.is_named,
            it.attempts,
            it.gone_on,
            it.refused.clone(),
        )
    };
    let expected = [
        (Standing::InStep, true, 2, 2, vec![]),
        (Standing::Behind, false, 1, 1, vec![]),
        (
            Standing::Behind,
            true,
            2,
            0,
            vec![millis(1_500), millis(2_900)],
        ),
        (Standing::CaughtUp, true, 1, 0, vec![]),
    ];
    assert_eq!(found.iter().map(view).collect::<Vec<_>>(), expected);
}

#[test]
fn a_day_without_requests_has_a_page_with_escaped_names() {
    let day = day(RouteKind::Safe, Vec::new());
    let verdict = super::super::judge::judge(&day);
    let played = super::PlayedDay {
        record: &day,
        verdict: &verdict,
        logs: &[],
    };

    let page = super::page(&[played]);

    assert!(page.contains("a&lt;b"), "{page}");
    assert!(page.contains("No rule was broken."));
    assert!(!page.contains("can't be drawn"), "{page}");
}

#[test]
fn figures_say_how_late_callers_sent() {
    let start = Instant::now();
    let mut whole = attempt((0, &[200]), (200, AnswerEnd::Complete), start);
    whole.late = millis(7);
    let day = day(RouteKind::Safe, vec![whole]);
    let verdict = super::super::judge::judge(&day);

    let figures = super::Figures::of(&day, &verdict, &requests(&day));

    assert!((figures.callers_late_p99_ms - 7.0).abs() < 1e-9);
    assert!((figures.served - 1.0).abs() < 1e-9);
    assert_eq!((figures.requests, figures.attempts), (1, 1));
}
