//! A day of the largest size that is played, judged and reported.

#![expect(
    clippy::unwrap_used,
    reason = "A test panics on any unexpected result."
)]

use bytes::Bytes;
use currantbend_bench::day::judge::Rule;
use currantbend_bench::day::judge::judge;
use currantbend_bench::day::record::AnswerEnd;
use currantbend_bench::day::record::Bounds;
use currantbend_bench::day::record::CallerAttempt;
use currantbend_bench::day::record::ConfigRecord;
use currantbend_bench::day::record::DayRecord;
use currantbend_bench::day::record::RouteKind;
use currantbend_bench::day::record::RouteRecord;
use currantbend_bench::day::record::ServerRecord;
use currantbend_bench::day::record::TroubleRecord;
use currantbend_bench::day::report;
use currantbend_bench::day::report::PlayedDay;
use currantbend_bench::day::report::figures;
use currantbend_bench::day::report::figures::Figures;
use currantbend_bench::standin::replica::Run;
use currantbend_bench::standin::replica::Written;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use nix::time::ClockId;
use nix::time::clock_gettime;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;
use std::time::Instant;

const ATTEMPTS: u64 = 20_000;
/// Events of each stream. Half of the attempts are streams.
const EVENTS: u64 = 100;
const SECONDS: u64 = 120;
/// Most processor time for the judge and the report together, in a build without optimisation.
const MAX_TIME: Duration = Duration::from_secs(8);

fn route(name: &str, kind: RouteKind, service: &str) -> RouteRecord {
    let is_stream = matches!(kind, RouteKind::Stream | RouteKind::ResumableStream);
    RouteRecord {
        name: name.to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        service: service.to_owned(),
        max_attempts: 2,
        timeout: Duration::from_secs(10),
        latency_target: Duration::from_millis(if is_stream { 400 } else { 150 }),
        gap_target: is_stream.then_some(Duration::from_millis(90)),
    }
}

fn trouble(started: Instant, kind: &str, (start, end): (u64, u64)) -> TroubleRecord {
    TroubleRecord {
        kind: kind.to_owned(),
        detail: format!("{kind} <of> all & \"some\""),
        is_planned: kind == "roll_term",
        start: started + Duration::from_secs(start),
        end: Some(started + Duration::from_secs(end)),
        gateways: vec![6],
        servers: Vec::new(),
    }
}

fn quiet_day() -> DayRecord {
    let started = Instant::now();
    let servers = (0..12).map(|number| ServerRecord {
        id: format!("i-{number:02}"),
        service: if number < 9 { "engines" } else { "plain" }.to_owned(),
        data_centre: "here".to_owned(),
    });
    let config = ConfigRecord {
        version: 1,
        sent: started - Duration::from_secs(10),
        confirmed: started - Duration::from_secs(9),
        routes: vec![
            route("chat", RouteKind::ResumableStream, "engines"),
            route("once", RouteKind::Unsafe, "plain"),
            route("safe", RouteKind::Safe, "plain"),
            route("talk", RouteKind::Stream, "engines"),
        ],
        keys: vec![("k-1".to_owned(), "team-1".to_owned())],
    };
    DayRecord {
        sheet: "sheet".to_owned(),
        day: "large".to_owned(),
        seed: 7,
        started,
        ended: started + Duration::from_secs(SECONDS),
        bounds: Bounds {
            stable: Duration::from_secs(3),
            config_apply: Duration::from_secs(2),
            revoke: Duration::from_secs(5),
            grace: Duration::from_secs(8),
            drain: Duration::from_secs(2),
            retry_ratio: 0.2,
            retry_slack: 54.0,
            retry_window: Duration::from_secs(10),
        },
        gateways: (0..7).map(|number| format!("g-{number}")).collect(),
        servers: servers.collect(),
        configs: vec![config],
        attempts: Vec::new(),
        runs: Vec::new(),
        troubles: vec![
            trouble(started, "node_kill", (20, 24)),
            trouble(started, "roll_term", (60, 75)),
            trouble(started, "burst", (100, 110)),
        ],
    }
}

/// Adds a request and its run, with the answer that the run gave.
fn serve(day: &mut DayRecord, number: u64, rng: &mut StdRng) {
    let route = ["chat", "once", "talk", "safe"][(number % 4) as usize];
    let is_stream = number.is_multiple_of(2);
    let sent = day.started + Duration::from_millis(number * SECONDS * 1_000 / ATTEMPTS);
    let id = format!("{number:016x}");
    let server = if is_stream {
        number % 9
    } else {
        9 + number % 3
    };
    let server = format!("i-{server:02}");
    let first = Duration::from_millis(rng.random_range(10..if is_stream { 450 } else { 160 }));
    let count = if is_stream { EVENTS } else { 1 };
    let mut at = sent + first;
    let mut events = Vec::new();
    let mut arrivals = Vec::new();
    let mut len = 0;
    for event in 1..=count {
        let text = format!("id: {event}\ndata: token {event} v1 {server} {id} {number}\n\n");
        len += text.len();
        arrivals.push((at, len));
        events.push(Bytes::from(text));
        at += Duration::from_millis(rng.random_range(10..60));
    }
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("currantbend-tenant", "team-1"),
        ("currantbend-deadline-ms", "9900"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    day.attempts.push(CallerAttempt {
        id: id.clone(),
        first_attempt: id.clone(),
        route: route.to_owned(),
        target: format!("/{route}/{}", number % 200),
        request_body: Bytes::from_static(b"body"),
        headers: Vec::new(),
        key: "k-1".to_owned(),
        data_centre: "here".to_owned(),
        gateway: Some((number % 7) as usize),
        is_on_kept_connection: true,
        sent,
        late: Duration::ZERO,
        deadline: Duration::from_secs(10),
        resume_after: None,
        head_at: Some(sent + first),
        status: 200,
        answered_id: id.clone(),
        seal: format!("{server}.1"),
        retry_after: None,
        arrivals,
        body: events.concat().into(),
        end: AnswerEnd::Complete,
        ended: at,
    });
    day.runs.push(Run {
        at: sent + Duration::from_millis(2),
        request_id: id,
        headers,
        target: format!("/{route}/{}", number % 200),
        body: Bytes::from_static(b"body"),
        server,
        software_version: "v1".to_owned(),
        written: Written {
            asked_after: 0,
            first_id: 1,
            last_id: count,
            events,
            is_ended: true,
        },
    });
}

fn large_day() -> DayRecord {
    let mut day = quiet_day();
    let mut rng = StdRng::seed_from_u64(7);
    for number in 0..ATTEMPTS {
        serve(&mut day, number, &mut rng);
    }
    day
}

/// Returns the processor time of this thread, which doesn't depend on what else the machine does.
fn processor_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .unwrap()
        .into()
}

/// Checks that each element of a picture is closed, and none but those that are open.
fn assert_well_formed(svg: &str) {
    let mut open = Vec::new();
    for tag in svg.split('<').skip(1) {
        let (tag, _) = tag.split_once('>').unwrap();
        let name = tag
            .trim_start_matches('/')
            .split([' ', '\n', '/'])
            .next()
            .unwrap();
        if tag.starts_with('/') {
            assert_eq!(open.pop(), Some(name), "{tag}");
        } else if !tag.ends_with('/') {
            open.push(name);
        }
    }
    assert_eq!(open, [""; 0]);
}

#[test]
fn a_day_of_the_largest_size_is_judged_and_reported_in_a_few_seconds() {
    let mut day = large_day();
    let cut = day.attempts[200]
        .body
        .slice(..day.attempts[200].arrivals[40].1);
    day.attempts[200].body = cut;
    let mut second = day.runs[401].clone();
    second.at += Duration::from_millis(5);
    day.runs.push(second);
    day.attempts[403].status = 503;
    day.attempts[607].body = Bytes::from_static(b"overloaded");
    let began = processor_time();

    let verdict = judge(&day);
    let judged = processor_time() - began;
    let logs = ["g-0.log".to_owned()];
    let played = PlayedDay {
        record: &day,
        verdict: &verdict,
        logs: &logs,
    };
    let page = report::page(&[played]);
    let figures = Figures::of(&day, &verdict, &figures::requests(&day));
    let took = processor_time() - began;

    println!("processor time: judged in {judged:?}, judged and reported in {took:?}");
    let found: Vec<Rule> = verdict.findings.iter().map(|it| it.rule).collect();
    assert_eq!(found, [Rule::Order, Rule::Mixed, Rule::Twice]);
    let refused = verdict
        .findings
        .iter()
        .filter(|it| it.rule == Rule::Refused);
    assert_eq!(refused.count(), 0, "a safe request may run");
    assert_eq!(
        (figures.begun_streams, figures.streams_out_of_order),
        (10_000, 1)
    );
    assert_eq!(
        (figures.plain_answers, figures.plain_answers_wrong),
        (9_999, 1)
    );
    assert!(figures.late > 0.01 && figures.late < figures.served);
    assert!(!figures.to_line().unwrap().contains('\n'));
    let pictures: Vec<&str> = page.split("<svg").skip(1).collect();
    assert_eq!(pictures.len(), 3);
    for picture in pictures {
        let (picture, _) = picture.split_once("</svg>").unwrap();
        assert_well_formed(&format!("<svg{picture}</svg>"));
    }
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("report.html");
    std::fs::write(path, page).unwrap();
    assert!(took < MAX_TIME, "{took:?}");
}
