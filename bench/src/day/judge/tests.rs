//! Days made by hand: a sound one, and for each rule one that breaks it.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use std::time::Duration;
use std::time::Instant;

use super::Rule;
use super::judge;
use crate::day::record::AnswerEnd;
use crate::day::record::Bounds;
use crate::day::record::CallerAttempt;
use crate::day::record::ConfigRecord;
use crate::day::record::DayRecord;
use crate::day::record::RouteKind;
use crate::day::record::RouteRecord;
use crate::day::record::ServerRecord;
use crate::day::record::TroubleRecord;
use crate::standin::replica::Run;
use crate::standin::replica::Written;

mod answers;
mod configs;
mod ends;
mod retries;
mod runs;

/// Number of events of the streams here.
const EVENTS: u64 = 4;
const PARTS: &str = "5c1e07a2:800,91bd3f06:410";

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn route(name: &str, kind: RouteKind, service: &str) -> RouteRecord {
    RouteRecord {
        name: name.to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        service: service.to_owned(),
        max_attempts: 2,
        timeout: millis(2_000),
        latency_target: millis(300),
        gap_target: None,
    }
}

fn server(id: &str, service: &str) -> ServerRecord {
    ServerRecord {
        id: id.to_owned(),
        service: service.to_owned(),
        data_centre: "here".to_owned(),
    }
}

/// A day of two gateways and no requests.
fn empty_day() -> DayRecord {
    let started = Instant::now();
    DayRecord {
        sheet: "sheet".to_owned(),
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
        gateways: vec!["g-0".to_owned(), "g-1".to_owned()],
        servers: vec![
            server("i-1", "engines"),
            server("i-2", "engines"),
            server("i-3", "engines"),
            server("p-1", "plain"),
            server("p-2", "plain"),
            server("p-3", "plain"),
        ],
        configs: vec![config(1, started - millis(10_000))],
        attempts: Vec::new(),
        runs: Vec::new(),
        troubles: Vec::new(),
    }
}

fn config(version: u64, sent: Instant) -> ConfigRecord {
    ConfigRecord {
        version,
        sent,
        confirmed: sent + millis(10),
        routes: vec![
            route("chat", RouteKind::ResumableStream, "engines"),
            route("once", RouteKind::Unsafe, "plain"),
            route("safe", RouteKind::Safe, "plain"),
            route("talk", RouteKind::Stream, "engines"),
        ],
        keys: vec![
            ("k-1".to_owned(), "team-1".to_owned()),
            ("k-2".to_owned(), "team-2".to_owned()),
        ],
    }
}

/// The whole answer of a run with this name to a request of a route.
fn events(route: &str, name: &str, after: u64) -> Vec<Bytes> {
    let event = |id| Bytes::from(format!("id: {id}\ndata: token {id} {name}\n\n"));
    match route {
        "chat" | "talk" => (after + 1..=EVENTS).map(event).collect(),
        _ => vec![Bytes::from(format!("run by {name}"))],
    }
}

/// Adds a request that is sent to gateway 0 at `at` milliseconds of the day and answered 100 ms later, without its run.
fn send<'a>(day: &'a mut DayRecord, route: &str, id: &str, at: u64) -> &'a mut CallerAttempt {
    let sent = day.started + millis(at);
    let is_stream = matches!(route, "chat" | "talk");
    let headers = is_stream.then(|| ("currantbend-prompt-prefix", PARTS.to_owned()));
    day.attempts.push(CallerAttempt {
        id: id.to_owned(),
        first_attempt: id.to_owned(),
        route: route.to_owned(),
        target: format!("/{route}/1"),
        request_body: Bytes::from_static(b"body"),
        headers: headers.into_iter().collect(),
        key: "k-1".to_owned(),
        data_centre: "here".to_owned(),
        gateway: Some(0),
        is_on_kept_connection: true,
        sent,
        late: Duration::ZERO,
        deadline: millis(4_000),
        resume_after: None,
        names_first: true,
        head_at: None,
        status: 0,
        answered_id: String::new(),
        seal: String::new(),
        retry_after: None,
        arrivals: Vec::new(),
        body: Bytes::new(),
        end: AnswerEnd::Broken,
        ended: sent + millis(100),
    });
    day.attempts.last_mut().unwrap()
}

/// Adds a whole run of the request `id`, which was sent before, at `server` and `delay` milliseconds after it.
fn run<'a>(day: &'a mut DayRecord, id: &str, server: &str, delay: u64) -> &'a mut Run {
    let attempt = day.attempts.iter().find(|it| it.id == id).unwrap();
    let after = attempt.resume_after.unwrap_or(0);
    let name = format!("{server} {id}");
    let events = events(&attempt.route, &name, after);
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("currantbend-tenant", "team-1".to_owned()),
        ("currantbend-deadline-ms", "4000".to_owned()),
    ]
    .into_iter()
    .chain(attempt.headers.iter().cloned())
    {
        let value = HeaderValue::from_str(&value).unwrap();
        headers.insert(HeaderName::from_static(name), value);
    }
    day.runs.push(Run {
        at: attempt.sent + millis(delay),
        request_id: id.to_owned(),
        headers,
        target: attempt.target.clone(),
        body: attempt.request_body.clone(),
        server: server.to_owned(),
        software_version: "v1".to_owned(),
        written: Written {
            asked_after: after,
            first_id: after + 1,
            last_id: if events.len() == 1 { 1 } else { EVENTS },
            events,
            is_ended: true,
        },
    });
    day.runs.last_mut().unwrap()
}

/// Gives the last request the whole answer of its last run.
fn answer(day: &mut DayRecord) -> &mut CallerAttempt {
    let attempt = day.attempts.last_mut().unwrap();
    let runs = day.runs.iter().filter(|run| run.request_id == attempt.id);
    let run = runs.last().unwrap();
    attempt.status = 200;
    attempt.head_at = Some(attempt.sent + millis(50));
    attempt.answered_id = attempt.id.clone();
    attempt.seal = format!("{}.1", run.server);
    attempt.body = run.written.events.concat().into();
    attempt.end = AnswerEnd::Complete;
    attempt.arrivals = vec![(attempt.sent + millis(60), attempt.body.len())];
    attempt
}

/// Adds a request with a sound run and its answer.
fn serve<'a>(day: &'a mut DayRecord, route: &str, id: &str, at: u64) -> &'a mut CallerAttempt {
    let server = match route {
        "chat" | "talk" => "i-1",
        _ => "p-1",
    };
    send(day, route, id, at);
    run(day, id, server, 10);
    answer(day)
}

/// A day with one sound request of each route.
fn sound_day() -> DayRecord {
    let mut day = empty_day();
    for (number, route) in ["chat", "once", "safe", "talk"].into_iter().enumerate() {
        serve(
            &mut day,
            route,
            &format!("sound-{route}"),
            100 * number as u64,
        );
    }
    day
}

/// A trouble of gateway 0 from `start` to `end` in milliseconds of the day.
fn trouble(day: &DayRecord, kind: &str, (start, end): (u64, u64)) -> TroubleRecord {
    TroubleRecord {
        kind: kind.to_owned(),
        detail: String::new(),
        is_planned: false,
        start: day.started + millis(start),
        end: Some(day.started + millis(end)),
        gateways: vec![0],
        servers: Vec::new(),
    }
}

/// Returns the rules that a day breaks with the IDs of the requests.
fn broken(day: &DayRecord) -> Vec<(Rule, Vec<String>)> {
    let findings = judge(day).findings.into_iter();
    findings.map(|it| (it.rule, it.ids)).collect()
}

/// Returns one broken rule of one request.
fn one(rule: Rule, id: &str) -> Vec<(Rule, Vec<String>)> {
    vec![(rule, vec![id.to_owned()])]
}

#[test]
fn a_sound_day_breaks_no_rule() {
    let day = sound_day();

    let verdict = judge(&day);

    assert_eq!(verdict.findings, []);
    assert_eq!((verdict.begun_streams, verdict.plain_answers), (2, 2));
    assert_eq!(verdict.streams_out_of_order, 0);
    assert_eq!(verdict.plain_answers_wrong, 0);
}
