//! Cases of the judge of order with answers and runs made by hand: a sound one of each shape, and one of each fault.

use super::AnswerKind;
use super::Attempt;
use super::Fault;
use super::check;
use crate::standin::answer_link::UnframedPart;
use crate::standin::replica::Run;
use crate::standin::replica::Written;
use bytes::Bytes;
use hyper::HeaderMap;
use std::time::Duration;
use std::time::Instant;

/// Number of events of the streams here.
const LAST_ID: u64 = 5;

/// The text of event `id` of run `run`.
fn event(run: &str, id: u64) -> String {
    format!("id: {id}\ndata: token {id} v1 {run}\n\n")
}

/// The text of the events `ids` of run `run`.
fn events(run: &str, ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| event(run, id)).collect()
}

fn run_of(request_id: &str, written: Written) -> Run {
    Run {
        at: Instant::now(),
        request_id: request_id.to_owned(),
        headers: HeaderMap::new(),
        target: "/".to_owned(),
        body: Bytes::new(),
        server: "i-1".to_owned(),
        software_version: "v1".to_owned(),
        written,
    }
}

/// A run named `run` for a request that asked for the events after `asked_after`, which wrote all of them.
fn stream_run(run: &str, request_id: &str, asked_after: u64) -> Run {
    let ids = asked_after + 1..=LAST_ID;
    let written = Written {
        asked_after,
        first_id: asked_after + 1,
        events: ids.map(|id| Bytes::from(event(run, id))).collect(),
        last_id: LAST_ID,
        is_ended: true,
    };
    run_of(request_id, written)
}

fn plain_run(text: &'static str, request_id: &str) -> Run {
    let written = Written {
        first_id: 1,
        events: vec![Bytes::from_static(text.as_bytes())],
        last_id: 1,
        is_ended: true,
        ..Written::default()
    };
    run_of(request_id, written)
}

/// The whole answer to the first attempt `r-1`.
fn whole(kind: AnswerKind, body: &str) -> Attempt<'_> {
    Attempt {
        id: "r-1",
        first_attempt: "r-1",
        kind,
        sent: Instant::now(),
        resume_after: None,
        is_complete: true,
        body: body.as_bytes(),
    }
}

fn broken(kind: AnswerKind, body: &str) -> Attempt<'_> {
    Attempt {
        is_complete: false,
        ..whole(kind, body)
    }
}

/// The whole answer to the attempt `r-2`, which goes on with the stream of `r-1` after event `last_id`.
fn resumed(last_id: u64, body: &str) -> Attempt<'_> {
    Attempt {
        id: "r-2",
        sent: Instant::now() + Duration::from_secs(1),
        resume_after: Some(last_id),
        ..whole(AnswerKind::ResumableStream, body)
    }
}

fn faults(attempts: &[Attempt<'_>], runs: &[Run]) -> Vec<Fault> {
    let verdict = check(attempts, runs, &[]);
    assert_eq!(verdict.excused, [""; 0]);
    let findings = verdict.findings.iter();
    findings.map(|finding| finding.fault).collect()
}

#[test]
fn whole_answers_are_sound() {
    let runs = [
        stream_run("a", "r-1", 0),
        stream_run("b", "r-0", 0),
        plain_run("run by a", "r-1"),
    ];
    let body = events("a", 1..=LAST_ID);

    for kind in [AnswerKind::Stream, AnswerKind::ResumableStream] {
        assert_eq!(faults(&[whole(kind, &body)], &runs), []);
    }
    assert_eq!(faults(&[whole(AnswerKind::Plain, "run by a")], &runs), []);
}

#[test]
fn answers_that_visibly_break_off_are_sound() {
    let runs = [stream_run("a", "r-1", 0), plain_run("run by a", "r-1")];
    let body = events("a", 1..=2);

    for rest in ["", "id", "id: 3\nda"] {
        let body = format!("{body}{rest}");
        assert_eq!(faults(&[broken(AnswerKind::Stream, &body)], &runs), []);
    }
    assert_eq!(faults(&[broken(AnswerKind::Plain, "run b")], &runs), []);
    assert_eq!(faults(&[broken(AnswerKind::Plain, "")], &runs), []);
}

#[test]
fn a_stream_that_goes_on_where_its_second_run_was_asked_to_is_sound() {
    let runs = [stream_run("a", "r-1", 0), stream_run("b", "r-1", 2)];
    let body = events("a", 1..=2) + &events("b", 3..=LAST_ID);

    let attempts = [whole(AnswerKind::ResumableStream, &body)];
    assert_eq!(faults(&attempts, &runs), []);
}

#[test]
fn a_stream_that_its_caller_resumes_is_sound() {
    let runs = [stream_run("a", "r-1", 0), stream_run("b", "r-2", 2)];
    let first = events("a", 1..=2) + "id: 3\n";
    let second = events("b", 3..=LAST_ID);

    let attempts = [
        resumed(2, &second),
        broken(AnswerKind::ResumableStream, &first),
    ];
    assert_eq!(faults(&attempts, &runs), []);
}

#[test]
fn a_stream_that_broke_off_after_its_last_event_ends_without_further_ones() {
    let runs = [stream_run("a", "r-1", 0), stream_run("b", "r-2", LAST_ID)];
    let first = events("a", 1..=LAST_ID);

    let attempts = [
        broken(AnswerKind::ResumableStream, &first),
        resumed(LAST_ID, ""),
    ];
    assert_eq!(faults(&attempts, &runs), []);
}

#[test]
fn missing_events_are_found() {
    let runs = [stream_run("a", "r-1", 0)];
    let body = events("a", 1..=2) + &events("a", 4..=LAST_ID);

    let attempts = [whole(AnswerKind::Stream, &body)];
    assert_eq!(faults(&attempts, &runs), [Fault::Missing]);
}

#[test]
fn repeated_events_are_found() {
    let runs = [stream_run("a", "r-1", 0)];
    let body = events("a", 1..=3) + &events("a", 3..=LAST_ID);

    let attempts = [whole(AnswerKind::Stream, &body)];
    assert_eq!(faults(&attempts, &runs), [Fault::Repeated]);
}

#[test]
fn events_missing_or_repeated_between_two_attempts_are_found() {
    for (asked_after, found) in [(3, Fault::Missing), (1, Fault::Repeated)] {
        let runs = [
            stream_run("a", "r-1", 0),
            stream_run("b", "r-2", asked_after),
        ];
        let first = events("a", 1..=2);
        let second = events("b", asked_after + 1..=LAST_ID);

        let attempts = [
            broken(AnswerKind::ResumableStream, &first),
            resumed(2, &second),
        ];
        assert_eq!(faults(&attempts, &runs), [found]);
    }
}

#[test]
fn two_runs_of_a_stream_that_may_not_be_resumed_are_found() {
    let runs = [stream_run("a", "r-1", 0), stream_run("b", "r-1", 2)];
    let body = events("a", 1..=2) + &events("b", 3..=LAST_ID);

    let attempts = [whole(AnswerKind::Stream, &body)];
    assert_eq!(faults(&attempts, &runs), [Fault::Joined]);
}

#[test]
fn a_stream_of_two_software_versions_is_found_in_one_answer_and_over_attempts() {
    let mut second = stream_run("b", "r-1", 2);
    second.software_version = "v2".to_owned();
    let runs = [stream_run("a", "r-1", 0), second.clone()];
    let joined = events("a", 1..=2) + &events("b", 3..=LAST_ID);
    let in_one_answer = faults(&[whole(AnswerKind::ResumableStream, &joined)], &runs);

    second.request_id = "r-2".to_owned();
    let runs = [stream_run("a", "r-1", 0), second];
    let (first, rest) = (events("a", 1..=2), events("b", 3..=LAST_ID));
    let attempts = [
        broken(AnswerKind::ResumableStream, &first),
        resumed(2, &rest),
    ];

    assert_eq!(in_one_answer, [Fault::OtherVersion]);
    assert_eq!(faults(&attempts, &runs), [Fault::OtherVersion]);
}

#[test]
fn a_run_that_was_asked_to_go_on_elsewhere_is_found() {
    for asked_after in [0, 1] {
        let runs = [
            stream_run("a", "r-1", 0),
            stream_run("b", "r-1", asked_after),
        ];
        let body = events("a", 1..=2) + &events("b", 3..=LAST_ID);

        let attempts = [whole(AnswerKind::ResumableStream, &body)];
        assert_eq!(faults(&attempts, &runs), [Fault::NotAskedFor]);
    }
}

#[test]
fn a_run_that_began_anew_although_it_was_asked_to_go_on_is_found() {
    let mut second = stream_run("b", "r-1", 0);
    second.written.asked_after = 2;
    let runs = [stream_run("a", "r-1", 0), second];
    let body = events("a", 1..=2) + &events("b", 3..=LAST_ID);

    let attempts = [whole(AnswerKind::ResumableStream, &body)];
    assert_eq!(faults(&attempts, &runs), [Fault::NotAskedFor]);
}

#[test]
fn a_piece_of_another_request_is_found() {
    let runs = [stream_run("a", "r-1", 0), stream_run("b", "r-0", 2)];
    let joined = events("a", 1..=2) + &events("b", 3..=LAST_ID);
    let part = events("a", 1..=2) + "id: 3\ndata: token 3 v1 b";

    for attempt in [
        whole(AnswerKind::ResumableStream, &joined),
        broken(AnswerKind::ResumableStream, &part),
    ] {
        let found = faults(&[attempt], &runs);
        assert!(found.iter().all(|fault| *fault == Fault::OtherRequest));
        assert!(!found.is_empty());
    }
}

#[test]
fn the_answer_to_another_request_is_found() {
    let runs = [
        stream_run("b", "r-0", 0),
        plain_run("run by b", "r-0"),
        plain_run("run by a", "r-1"),
    ];
    let body = events("b", 1..=LAST_ID);

    let found = faults(&[whole(AnswerKind::Stream, &body)], &runs);
    assert_eq!(found, [Fault::OtherRequest; LAST_ID as usize]);
    let found = faults(&[whole(AnswerKind::Plain, "run by b")], &runs);
    assert_eq!(found, [Fault::OtherRequest]);
    let found = faults(&[broken(AnswerKind::Plain, "run by b")], &runs);
    assert_eq!(found, [Fault::OtherRequest]);
}

#[test]
fn a_stream_that_looks_complete_before_its_last_event_is_found() {
    let runs = [stream_run("a", "r-1", 0)];
    let part = events("a", 1..=2);
    let within = events("a", 1..=LAST_ID - 1) + "id: 5\nda";

    for body in ["", &part, &within] {
        let attempts = [whole(AnswerKind::Stream, body)];
        assert_eq!(faults(&attempts, &runs), [Fault::CutShort]);
    }
}

#[test]
fn a_resumed_stream_that_looks_complete_before_its_last_event_is_found() {
    let runs = [stream_run("a", "r-1", 0), stream_run("b", "r-2", 2)];
    let first = events("a", 1..=2);

    for second in [String::new(), events("b", 3..=3)] {
        let attempts = [
            broken(AnswerKind::ResumableStream, &first),
            resumed(2, &second),
        ];
        assert_eq!(faults(&attempts, &runs), [Fault::CutShort]);
    }
}

#[test]
fn a_plain_answer_that_looks_complete_before_its_end_is_found() {
    let runs = [plain_run("run by a", "r-1")];

    for body in ["", "run by "] {
        let attempts = [whole(AnswerKind::Plain, body)];
        assert_eq!(faults(&attempts, &runs), [Fault::CutShort]);
    }
}

#[test]
fn a_plain_answer_of_two_runs_is_found() {
    let runs = [
        plain_run("run by a 1", "r-1"),
        plain_run("run by b 2", "r-1"),
    ];

    let attempts = [whole(AnswerKind::Plain, "run by a 2")];
    assert_eq!(faults(&attempts, &runs), [Fault::Joined]);
}

#[test]
fn bytes_that_no_run_wrote_are_found() {
    let runs = [stream_run("a", "r-1", 0), plain_run("run by a", "r-1")];
    let event = events("a", 1..=2) + "id: 3\ndata: other\n\n";
    let part = events("a", 1..=2) + "data";

    for body in [&event, &part] {
        let attempts = [broken(AnswerKind::Stream, body)];
        assert_eq!(faults(&attempts, &runs), [Fault::Unknown]);
    }
    let attempts = [whole(AnswerKind::Plain, "overloaded")];
    assert_eq!(faults(&attempts, &runs), [Fault::Unknown]);
}

#[test]
fn bytes_after_the_last_event_are_found() {
    let runs = [stream_run("a", "r-1", 0)];
    let body = events("a", 1..=LAST_ID) + "HTTP/1.1 200 OK\r\n";

    let attempts = [whole(AnswerKind::Stream, &body)];
    assert!(faults(&attempts, &runs).contains(&Fault::Unknown));
}

/// The faults of the answer `body` to `r-1`, of which a link passed on `part` so that it looked whole, and whether it is excused.
fn judge_part(kind: AnswerKind, body: &str, part: &str) -> (Vec<Fault>, bool) {
    let part = UnframedPart {
        request_id: "r-1".to_owned(),
        body: part.into(),
    };
    let runs = [stream_run("a", "r-1", 0), plain_run("run by a", "r-1")];
    let verdict = check(&[whole(kind, body)], &runs, &[part]);
    let findings = verdict.findings.iter();
    let faults = findings.map(|finding| finding.fault).collect();
    (faults, verdict.excused == ["r-1"])
}

#[test]
fn a_part_without_length_that_ends_as_it_came_is_excused_and_counted() {
    let stream = events("a", 1..=2);

    for (kind, body) in [
        (AnswerKind::Plain, "run"),
        (AnswerKind::Stream, &stream),
        (AnswerKind::ResumableStream, &stream),
    ] {
        assert_eq!(judge_part(kind, body, body), (vec![], true), "{kind:?}");
        let longer = format!("{body}more");
        let shorter = &body[1..body.len() - 1];
        for part in [&longer, shorter, ""] {
            let judged = judge_part(kind, body, part);
            assert_eq!(judged, (vec![Fault::CutShort], false), "{kind:?} {part}");
        }
    }
}

#[test]
fn a_part_without_length_of_another_request_excuses_nothing() {
    let body = events("a", 1..=2);
    let runs = [stream_run("a", "r-1", 0)];
    let part = UnframedPart {
        request_id: "r-2".to_owned(),
        body: body.clone().into(),
    };

    let verdict = check(&[whole(AnswerKind::Stream, &body)], &runs, &[part]);

    assert_eq!(verdict.findings[0].fault, Fault::CutShort);
    assert_eq!(verdict.excused, [""; 0]);
}

#[test]
fn a_whole_answer_or_one_that_visibly_breaks_off_needs_no_excuse() {
    let runs = [stream_run("a", "r-1", 0), plain_run("run by a", "r-1")];
    let (stream, part) = (events("a", 1..=LAST_ID), events("a", 1..=2));

    for attempt in [
        whole(AnswerKind::Plain, "run by a"),
        whole(AnswerKind::Stream, &stream),
        broken(AnswerKind::Plain, "run"),
        broken(AnswerKind::Stream, &part),
    ] {
        let part = UnframedPart {
            request_id: "r-1".to_owned(),
            body: attempt.body.to_vec(),
        };
        let verdict = check(&[attempt], &runs, &[part]);
        assert_eq!(verdict.findings, [], "{attempt:?}");
        assert_eq!(verdict.excused, [""; 0], "{attempt:?}");
    }
}

#[test]
fn a_part_without_length_that_ends_within_an_event_is_cut_short() {
    let body = events("a", 1..=2) + "id: 3\nda";

    for kind in [AnswerKind::Stream, AnswerKind::ResumableStream] {
        let judged = judge_part(kind, &body, &body);
        assert_eq!(judged, (vec![Fault::CutShort], false), "{kind:?}");
    }
}

#[test]
fn an_empty_part_without_length_is_cut_short() {
    let judged = judge_part(AnswerKind::Plain, "", "");

    assert_eq!(judged, (vec![Fault::CutShort], false));
}

#[test]
fn runs_that_are_joined_within_an_event_are_found() {
    let runs = [
        stream_run("first", "r-1", 0),
        stream_run("second", "r-1", 1),
    ];
    let start = event("first", 1) + "id: 2\ndata: token";

    for rest in [&event("second", 2), "id: 2\nda"] {
        let body = format!("{start}{rest}");
        let found = faults(&[broken(AnswerKind::ResumableStream, &body)], &runs);
        assert_eq!(found, [Fault::Joined], "{rest:?}");
    }
    let other = format!("{start} of nobody\n\n");
    let found = faults(&[broken(AnswerKind::ResumableStream, &other)], &runs);
    assert_eq!(found, [Fault::Unknown]);
}
