//! What became of the requests of a day, as numbers.

use serde::Serialize;
use std::time::Duration;
use std::time::Instant;

use super::super::judge::Rule;
use super::super::judge::Verdict;
use super::super::record::AnswerEnd;
use super::super::record::CallerAttempt;
use super::super::record::DayRecord;
use super::super::record::RouteKind;
use super::super::record::RouteRecord;

/// What became of a request with all its attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was answered in time.
    Served,
    /// It was answered, but its answer or a piece of it came late.
    Late,
    /// Its last attempt was refused.
    Refused,
    /// Anything else but that its caller left.
    Failed,
    /// Its caller left.
    Left,
}

impl Outcome {
    /// All of them, in the order in which pictures stack them.
    pub const ALL: [Self; 5] = [
        Self::Served,
        Self::Late,
        Self::Refused,
        Self::Failed,
        Self::Left,
    ];
}

/// A request with all its attempts.
#[derive(Clone, Copy, Debug)]
pub struct RequestFate<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// When its first attempt was sent.
    pub sent: Instant,
    /// What became of it.
    pub outcome: Outcome,
    /// Time from its first attempt to the end of the answer, or to the first event of a stream, if it was answered.
    pub latency: Option<Duration>,
    /// Longest time from one event of its stream to the next.
    pub longest_pause: Option<Duration>,
}

/// Returns the requests of a day by the times of their first attempts.
pub fn requests(record: &DayRecord) -> Vec<RequestFate<'_>> {
    let mut routes: Vec<&RouteRecord> = record
        .configs
        .iter()
        .rev()
        .flat_map(|it| &it.routes)
        .collect();
    routes.sort_by_key(|route| &route.name);
    routes.dedup_by_key(|route| &route.name);
    let mut attempts: Vec<&CallerAttempt> = record.attempts.iter().collect();
    attempts.sort_by_key(|attempt| (attempt.first_attempt.as_str(), attempt.sent));
    let of_request = attempts.chunk_by(|a, b| a.first_attempt == b.first_attempt);
    let mut requests: Vec<RequestFate<'_>> = of_request
        .map(|attempts| {
            let name = &attempts[0].route;
            let found = routes.binary_search_by_key(&name, |route| &route.name);
            fate(attempts, found.ok().map(|number| routes[number]))
        })
        .collect();
    requests.sort_by_key(|request| request.sent);
    requests
}

fn fate<'a>(attempts: &[&'a CallerAttempt], route: Option<&RouteRecord>) -> RequestFate<'a> {
    let (first, last) = (attempts[0], attempts[attempts.len() - 1]);
    let is_stream = route
        .is_some_and(|route| matches!(route.kind, RouteKind::Stream | RouteKind::ResumableStream));
    let is_answered = (200..300).contains(&last.status) && last.end == AnswerEnd::Complete;
    let is_success = |it: &&&CallerAttempt| (200..300).contains(&it.status);
    let successes = attempts.iter().filter(is_success);
    let mut arrivals = successes.flat_map(|it| &it.arrivals).map(|(at, _)| *at);
    let first_at = arrivals.clone().next();
    let answered_at = if is_stream {
        first_at
    } else {
        Some(last.ended)
    };
    let latency = answered_at
        .filter(|_| is_answered || is_stream)
        .map(|at| at.saturating_duration_since(first.sent));
    let mut longest_pause = None;
    if let Some(mut before) = arrivals.next().filter(|_| is_stream) {
        for at in arrivals {
            let pause = at.saturating_duration_since(before);
            longest_pause = longest_pause.max(Some(pause));
            before = at;
        }
    }
    let is_late = route.is_some_and(|route| {
        let is_paused = route
            .gap_target
            .is_some_and(|gap| longest_pause > Some(gap));
        latency.is_none_or(|latency| latency > route.latency_target) || is_paused
    });
    let outcome = match (is_answered, last.status, last.end) {
        (true, ..) if is_late => Outcome::Late,
        (true, ..) => Outcome::Served,
        (_, _, AnswerEnd::Left) => Outcome::Left,
        (_, 400..500 | 503, _) => Outcome::Refused,
        _ => Outcome::Failed,
    };
    RequestFate {
        route: &first.route,
        sent: first.sent,
        outcome,
        latency,
        longest_pause,
    }
}

/// The figures of a day, which are printed as one line of JSON.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Figures {
    /// Name of the sheet.
    pub sheet: String,
    /// Name of the day.
    pub day: String,
    /// Seed of the day.
    pub seed: u64,
    /// Time for which callers sent, in seconds.
    pub seconds: f64,
    /// Number of requests.
    pub requests: usize,
    /// Number of attempts.
    pub attempts: usize,
    /// 99 of 100 requests were sent within this time after they were due. If it is long, the machine didn't keep up, and what is
    /// measured of times says little of gateways.
    pub callers_late_p99_ms: f64,
    /// Streams that began, each with all its attempts.
    pub begun_streams: usize,
    /// Those of them whose events are out of order.
    pub streams_out_of_order: usize,
    /// Successful plain answers.
    pub plain_answers: usize,
    /// Those of them that aren't the whole answers to their requests.
    pub plain_answers_wrong: usize,
    /// Number of findings of each rule.
    pub findings: Vec<(&'static str, usize)>,
    /// Share of the requests, but for those whose callers left, that were answered, in time or late.
    pub served: f64,
    /// Share of those requests that were answered late.
    pub late: f64,
    /// The same by route, sorted by name.
    pub routes: Vec<RouteFigures>,
}

/// The figures of a route. Shares are of all requests but those whose callers left.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct RouteFigures {
    /// Name of the route.
    pub route: String,
    /// Number of requests.
    pub requests: usize,
    /// Share that was answered, in time or late.
    pub served: f64,
    /// Share that was answered late.
    pub late: f64,
    /// Share that was refused.
    pub refused: f64,
    /// Share that failed.
    pub failed: f64,
    /// Number of requests whose callers left.
    pub left: usize,
    /// Half of the answers, or first events, came within this time.
    pub p50_ms: f64,
    /// 95 of 100 of them did.
    pub p95_ms: f64,
    /// 99 of 100 of them did.
    pub p99_ms: f64,
}

impl Figures {
    /// Returns the figures of a day whose requests are `requests`.
    pub fn of(record: &DayRecord, verdict: &Verdict, requests: &[RequestFate<'_>]) -> Self {
        let findings = Rule::ALL.into_iter().map(|rule| {
            let of_rule = verdict.findings.iter().filter(|it| it.rule == rule);
            (rule.name(), of_rule.count())
        });
        let mut names: Vec<&str> = requests.iter().map(|request| request.route).collect();
        names.sort_unstable();
        names.dedup();
        let all: Vec<&RequestFate<'_>> = requests.iter().collect();
        let first_attempts = record
            .attempts
            .iter()
            .filter(|it| it.id == it.first_attempt);
        let mut late: Vec<Duration> = first_attempts.map(|it| it.late).collect();
        late.sort_unstable();
        Self {
            sheet: record.sheet.clone(),
            day: record.day.clone(),
            seed: record.seed,
            seconds: super::seconds(record, record.ended),
            requests: requests.len(),
            attempts: record.attempts.len(),
            callers_late_p99_ms: quantile_ms(&late, 0.99),
            begun_streams: verdict.begun_streams,
            streams_out_of_order: verdict.streams_out_of_order,
            plain_answers: verdict.plain_answers,
            plain_answers_wrong: verdict.plain_answers_wrong,
            findings: findings.collect(),
            served: share(&all, &[Outcome::Served, Outcome::Late]),
            late: share(&all, &[Outcome::Late]),
            routes: names
                .into_iter()
                .map(|name| of_route(name, requests))
                .collect(),
        }
    }

    /// Returns the figures as one line of JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if they can't be written so, which their types exclude.
    pub fn to_line(&self) -> serde_json::Result<String> {
        serde_json::to_string(self)
    }
}

fn of_route(name: &str, requests: &[RequestFate<'_>]) -> RouteFigures {
    let requests: Vec<&RequestFate<'_>> = requests.iter().filter(|it| it.route == name).collect();
    let mut latencies: Vec<Duration> = requests.iter().filter_map(|it| it.latency).collect();
    latencies.sort_unstable();
    let of = |outcomes: &[Outcome]| share(&requests, outcomes);
    RouteFigures {
        route: name.to_owned(),
        requests: requests.len(),
        served: of(&[Outcome::Served, Outcome::Late]),
        late: of(&[Outcome::Late]),
        refused: of(&[Outcome::Refused]),
        failed: of(&[Outcome::Failed]),
        left: requests
            .iter()
            .filter(|it| it.outcome == Outcome::Left)
            .count(),
        p50_ms: quantile_ms(&latencies, 0.5),
        p95_ms: quantile_ms(&latencies, 0.95),
        p99_ms: quantile_ms(&latencies, 0.99),
    }
}

/// Returns the share that ended so, of the requests whose callers stayed.
fn share(requests: &[&RequestFate<'_>], outcomes: &[Outcome]) -> f64 {
    let stayed = requests.iter().filter(|it| it.outcome != Outcome::Left);
    let counted = stayed.clone().filter(|it| outcomes.contains(&it.outcome));
    counted.count() as f64 / stayed.count().max(1) as f64
}

/// Returns the least of the sorted times that `share` of them don't exceed, in milliseconds, or 0 if there is none.
fn quantile_ms(sorted: &[Duration], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    let found = sorted.get(rank.saturating_sub(1));
    found.map_or(0.0, |time| time.as_secs_f64() * 1e3)
}
