//! Tests of callers against servers on loopback, and of what they do after an attempt.

use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::CallerPlace;
use super::CallerRoute;
use super::CallerTrouble;
use super::CallerTroubleKind;
use super::Callers;
use super::CallersConfig;
use super::request::Next;
use super::request::next;
use crate::day::record::AnswerEnd;
use crate::day::record::CallerAttempt;
use crate::day::record::RouteKind;
use crate::day::sheet::EventCounts;
use crate::http;
use crate::standin::relay::Habits;
use crate::standin::relay::Relay;
use crate::standin::replica::Behavior;
use crate::standin::replica::Replica;

const LENGTH: Duration = Duration::from_millis(1_500);

fn route(name: &str, kind: RouteKind) -> CallerRoute {
    let is_stream = matches!(kind, RouteKind::Stream | RouteKind::ResumableStream);
    CallerRoute {
        name: name.to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        rate: 1.0,
        deadline: Duration::from_secs(3),
        retries: 2,
        latency_target: Duration::from_millis(300),
        gap_target: None,
        prompt_tokens: if is_stream {
            vec![800, 400, 100]
        } else {
            Vec::new()
        },
        events: is_stream.then_some(EventCounts {
            mean: 8.0,
            spread: 0.4,
            max: 20,
        }),
        request_bytes: 100,
    }
}

fn config(balancer: SocketAddr, routes: Vec<CallerRoute>) -> CallersConfig {
    CallersConfig {
        seed: 1,
        host: "h.example".to_owned(),
        model: "m".to_owned(),
        max_idle: Duration::from_secs(5),
        places: vec![CallerPlace {
            name: "here".to_owned(),
            balancer,
            rate: 100.0,
        }],
        routes,
        keys: (0..10)
            .map(|team| (format!("k-{team}"), format!("team-{team}")))
            .collect(),
        troubles: Vec::new(),
    }
}

/// Starts a server behind a relay that names it as gateway 7.
async fn server() -> (Replica, Relay) {
    let server = Replica::start("i-1", Duration::from_millis(5))
        .await
        .unwrap();
    server.set_text_per_run();
    let habits = Habits {
        greeting: Some(7),
        ..Habits::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let relay = Relay::start(any, server.address(), habits).await.unwrap();
    (server, relay)
}

async fn play(cfg: CallersConfig) -> Vec<CallerAttempt> {
    let callers = Callers::start(cfg);
    tokio::time::sleep(LENGTH).await;
    callers.close().await
}

fn attempt(status: u16, end: AnswerEnd, body: &str) -> CallerAttempt {
    let now = Instant::now();
    CallerAttempt {
        id: "r-1".to_owned(),
        first_attempt: "r-1".to_owned(),
        route: "chat".to_owned(),
        target: "/chat/1".to_owned(),
        request_body: Bytes::new(),
        headers: Vec::new(),
        key: "k-1".to_owned(),
        data_centre: "here".to_owned(),
        gateway: Some(0),
        is_on_kept_connection: false,
        sent: now,
        late: Duration::ZERO,
        deadline: Duration::from_secs(3),
        resume_after: None,
        names_first: true,
        head_at: None,
        status,
        answered_id: String::new(),
        seal: String::new(),
        retry_after: None,
        arrivals: Vec::new(),
        body: Bytes::from(body.to_owned()),
        end,
        ended: now,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_send_by_their_rates_and_read_whole_answers() {
    let (server, relay) = server().await;
    let routes = vec![
        route("safe", RouteKind::Safe),
        route("chat", RouteKind::ResumableStream),
    ];

    let attempts = play(config(relay.address(), routes)).await;

    assert!((90..230).contains(&attempts.len()), "{}", attempts.len());
    for attempt in &attempts {
        assert_eq!(attempt.status, 200, "{attempt:?}");
        assert_eq!(attempt.end, AnswerEnd::Complete, "{attempt:?}");
        assert_eq!(attempt.gateway, Some(7));
        assert_eq!(attempt.answered_id, attempt.id);
        assert_eq!(attempt.arrivals.last().unwrap().1, attempt.body.len());
    }
    let runs = server.runs();
    assert_eq!(runs.len(), attempts.len());
    let streams = runs.iter().filter(|run| run.target.starts_with("/chat/"));
    for run in streams.clone() {
        let text = |name| http::header(&run.headers, name);
        assert_eq!(text("currantbend-prompt-prefix").split(',').count(), 3);
        assert!(text("currantbend-token-counts").contains(','));
        assert_eq!(text("currantbend-model"), "m");
        assert!(text("authorization").starts_with("Token k-"));
        assert_eq!(run.body.len(), 100);
    }
    assert!(streams.count() * 4 > runs.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_that_may_be_resumed_goes_on_after_its_last_event() {
    let (server, relay) = server().await;
    server.set_behavior(Behavior::Breaks(2));
    let routes = vec![route("chat", RouteKind::ResumableStream)];

    let attempts = play(config(relay.address(), routes)).await;

    let resumed = attempts.iter().filter(|it| it.id != it.first_attempt);
    let after: Vec<Option<u64>> = resumed.map(|it| it.resume_after).collect();
    assert!(after.len() > 20);
    assert!(after.iter().all(|after| matches!(after, Some(2 | 4))));
    let runs = server.runs();
    let of_resumed = runs.iter().filter(|run| run.written.asked_after > 0);
    for run in of_resumed {
        let first = http::header(&run.headers, "resumes");
        assert!(attempts.iter().any(|it| it.id == first));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_leave_the_first_attempt_unnamed_keep_it_in_their_records() {
    let (server, relay) = server().await;
    server.set_behavior(Behavior::Breaks(2));
    let mut cfg = config(
        relay.address(),
        vec![route("chat", RouteKind::ResumableStream)],
    );
    cfg.troubles = vec![CallerTrouble {
        kind: CallerTroubleKind::Unnamed,
        start: Duration::ZERO,
        end: Duration::from_secs(60),
        x: 1.0,
        share: 1.0,
        count: 1,
        route: None,
        data_centre: None,
    }];

    let attempts = play(cfg).await;

    let resumed = attempts.iter().filter(|it| it.resume_after.is_some());
    assert!(resumed.clone().count() > 20);
    assert!(
        resumed
            .clone()
            .all(|it| it.id != it.first_attempt && !it.names_first)
    );
    let runs = server.runs();
    let of_resumed = runs.iter().filter(|run| run.written.asked_after > 0);
    assert!(of_resumed.clone().count() > 20);
    for run in of_resumed {
        assert_eq!(http::header(&run.headers, "resumes"), "");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_may_run_once_is_tried_again_only_after_a_promise() {
    let (server, relay) = server().await;
    let routes = vec![route("once", RouteKind::Unsafe)];
    server.set_behavior(Behavior::RejectsFor(0));
    let rejected = play(config(relay.address(), routes.clone())).await;
    server.set_behavior(Behavior::Fails);

    let failed = play(config(relay.address(), routes)).await;

    let repeated = rejected.iter().filter(|it| it.id != it.first_attempt);
    assert_eq!(repeated.count() * 3, rejected.len() * 2);
    assert!(failed.iter().all(|it| it.id == it.first_attempt));
}

#[tokio::test(flavor = "multi_thread")]
async fn troubles_of_callers_change_what_they_do() {
    let (_server, relay) = server().await;
    let trouble = |kind, x, share| CallerTrouble {
        kind,
        start: Duration::ZERO,
        end: Duration::from_secs(60),
        x,
        share,
        count: 1,
        route: None,
        data_centre: None,
    };
    let mut cfg = config(relay.address(), vec![route("talk", RouteKind::Stream)]);
    cfg.troubles = vec![
        trouble(CallerTroubleKind::Burst, 3.0, 1.0),
        trouble(CallerTroubleKind::HotKey, 1.0, 0.5),
        trouble(CallerTroubleKind::GiveUp, 1.0, 0.5),
    ];

    let attempts = play(cfg).await;

    let count = attempts.len();
    assert!((300..700).contains(&count), "{count}");
    let hot = attempts.iter().filter(|it| it.target == "/talk/0").count();
    assert!(
        (count / 3..count * 2 / 3).contains(&hot),
        "{hot} of {count}"
    );
    let left = attempts
        .iter()
        .filter(|it| it.end == AnswerEnd::Left)
        .count();
    assert!(left * 10 > count, "{left} of {count}");
}

#[test]
fn only_what_the_pages_allow_is_tried_again() {
    let again = |after| Next::Try {
        resume_after: after,
    };
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    use RouteKind::ResumableStream;
    use RouteKind::Safe;
    use RouteKind::Stream;
    use RouteKind::Unsafe;

    for (kind, status, end, was_sent, body, expected) in [
        (Safe, 200, AnswerEnd::Complete, true, "whole", Next::End),
        (Safe, 200, AnswerEnd::Broken, true, "par", again(None)),
        (Safe, 502, AnswerEnd::Complete, true, "", again(None)),
        (Safe, 0, AnswerEnd::Broken, true, "", again(None)),
        (Safe, 0, AnswerEnd::TimedOut, true, "", Next::End),
        (Safe, 404, AnswerEnd::Complete, true, "", Next::End),
        (Safe, 401, AnswerEnd::Complete, true, "", Next::End),
        (Unsafe, 503, AnswerEnd::Complete, true, "", again(None)),
        (Unsafe, 421, AnswerEnd::Complete, true, "", again(None)),
        (Unsafe, 504, AnswerEnd::Complete, true, "", Next::End),
        (Unsafe, 0, AnswerEnd::Broken, true, "", Next::End),
        (Unsafe, 0, AnswerEnd::Broken, false, "", again(None)),
        (Stream, 429, AnswerEnd::Complete, true, "", again(None)),
        (Stream, 200, AnswerEnd::Broken, true, events, Next::End),
        (
            ResumableStream,
            200,
            AnswerEnd::Broken,
            true,
            events,
            again(Some(2)),
        ),
        (
            ResumableStream,
            200,
            AnswerEnd::Broken,
            true,
            "id: 1",
            again(None),
        ),
        (
            ResumableStream,
            200,
            AnswerEnd::Left,
            true,
            events,
            Next::End,
        ),
    ] {
        let next = next(kind, &attempt(status, end, body), was_sent);

        assert_eq!(next, expected, "{kind:?} {status} {end:?} {body:?}");
    }
}
