//! One request of a caller with all its attempts.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Incoming;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::BODIES;
use super::CallerRoute;
use super::CallerTroubleKind;
use super::GIVE_UP_TARGETS;
use super::OBJECTS;
use super::OLD_KEYS;
use super::PREFIXES;
use super::Shared;
use super::connection::Connection;
use super::connection::Pool;
use crate::day::record::AnswerEnd;
use crate::day::record::CallerAttempt;
use crate::day::record::RouteKind;
use crate::day::sheet::EventCounts;
use crate::http;
use crate::truth::lock;

/// Least time that must be left for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(50);
/// Shortest and longest pause before another attempt where the answer asks for none.
const PAUSE_MS: std::ops::Range<u64> = 50..150;
/// Gap after which callers leave a stream, whatever its targets are.
const MIN_GAP: Duration = Duration::from_secs(2);

/// A request that is to be sent.
pub(super) struct Request {
    route: usize,
    /// When it is to be sent.
    due: Instant,
    data_centre: String,
    key: String,
    target: String,
    body: Bytes,
    /// Headers that are the same for all attempts.
    headers: Vec<(&'static str, String)>,
    retries: u32,
    /// Whether its caller tries again at once.
    is_hasty: bool,
    /// Whether its caller names the first attempt where it takes a stream up.
    names_first: bool,
    /// When its caller leaves, from the first attempt on.
    leaves_after: Option<Duration>,
    rng: StdRng,
}

/// What a caller does after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Next {
    /// Nothing more.
    End,
    /// Another attempt; a stream goes on after the event with this ID, if one is named.
    Try {
        /// Event after which a stream is to go on.
        resume_after: Option<u64>,
    },
}

impl Request {
    /// Draws a request of the data centre, route and team with these numbers.
    pub(super) fn new(
        shared: &Shared,
        (place, route_number, team): (usize, usize, usize),
        at: Duration,
        seed: u64,
    ) -> Self {
        let cfg = &shared.cfg;
        let (place, route) = (&cfg.places[place], &cfg.routes[route_number]);
        let mut rng = StdRng::seed_from_u64(seed);
        let troubles: Vec<_> = cfg
            .troubles
            .iter()
            .filter(|it| it.is_on(at, place, route))
            .collect();
        let mut strikes = |kind| {
            let of_kind = troubles.iter().filter(|trouble| trouble.kind == kind);
            of_kind
                .filter(|trouble| rng.random_bool(trouble.share.clamp(0.0, 1.0)))
                .last()
                .map(|trouble| trouble.x)
        };
        let is_hot = strikes(CallerTroubleKind::HotKey).is_some();
        let leaves = strikes(CallerTroubleKind::GiveUp).is_some();
        let haste = strikes(CallerTroubleKind::RetryAbuse);
        let names_first = strikes(CallerTroubleKind::Unnamed).is_none();
        let object = if is_hot {
            0
        } else {
            rng.random_range(1..OBJECTS)
        };
        let mut headers = Vec::new();
        if !route.prompt_tokens.is_empty() {
            headers = prompt_headers(route, (route_number, team), is_hot, &mut rng);
            headers.push(("currantbend-model", cfg.model.clone()));
        }
        let target_time = route.latency_target.mul_f64(GIVE_UP_TARGETS);
        Self {
            route: route_number,
            due: shared.started + at,
            data_centre: place.name.clone(),
            key: key(shared, team, &mut rng),
            target: format!("{}{object}", route.path_prefix),
            body: shared.bodies[route_number][rng.random_range(0..BODIES)].clone(),
            headers,
            retries: haste.map_or(route.retries, |x| (f64::from(route.retries) * x) as u32),
            is_hasty: haste.is_some(),
            names_first,
            leaves_after: leaves.then(|| target_time.mul_f64(rng.random())),
            rng,
        }
    }

    /// Sends it until it is answered, its time is over, or the pages allow no other attempt.
    pub(super) async fn run(mut self, shared: Arc<Shared>, pool: Arc<Pool>) {
        let route = &shared.cfg.routes[self.route];
        let began = Instant::now();
        let first_attempt = self.draw_id();
        let mut resume_after = None;
        for number in 0..=self.retries {
            let id = match number {
                0 => first_attempt.clone(),
                _ => self.draw_id(),
            };
            let time_left = route.deadline.saturating_sub(began.elapsed());
            let mut attempt = self.attempt(route, id, &first_attempt, resume_after, time_left);
            if number == 0 {
                attempt.late = attempt.sent.saturating_duration_since(self.due);
            }
            let connection = match number {
                0 => pool.get().await,
                _ => pool.get_new().await,
            };
            let mut was_sent = false;
            if let Ok(connection) = connection {
                attempt.gateway = Some(connection.gateway);
                attempt.is_on_kept_connection = connection.is_used();
                was_sent = true;
                let leaves_at = self.leaves_after.map(|time| began + time);
                let kept = number == 0;
                let exchange = self.exchange(&shared, connection, &mut attempt, leaves_at);
                if let Some((connection, idle)) = exchange.await.unwrap_or_else(|Unsent| {
                    was_sent = false;
                    None
                }) && kept
                {
                    pool.put(connection, idle);
                }
            }
            attempt.ended = Instant::now();
            let next = next(route.kind, &attempt, was_sent);
            let time_left = route.deadline.saturating_sub(began.elapsed());
            let pause = self.pause(attempt.retry_after, time_left);
            lock(&shared.attempts).push(attempt);
            match next {
                Next::Try { resume_after: it } if time_left > pause + MIN_TIME_LEFT => {
                    resume_after = it;
                    tokio::time::sleep(pause).await;
                }
                _ => return,
            }
        }
    }

    fn draw_id(&mut self) -> String {
        format!("{:016x}", self.rng.random::<u64>())
    }

    fn attempt(
        &self,
        route: &CallerRoute,
        id: String,
        first_attempt: &str,
        resume_after: Option<u64>,
        deadline: Duration,
    ) -> CallerAttempt {
        let now = Instant::now();
        CallerAttempt {
            id,
            first_attempt: first_attempt.to_owned(),
            route: route.name.clone(),
            target: self.target.clone(),
            request_body: self.body.clone(),
            headers: self.headers.clone(),
            key: self.key.clone(),
            data_centre: self.data_centre.clone(),
            gateway: None,
            is_on_kept_connection: false,
            sent: now,
            late: Duration::ZERO,
            deadline,
            resume_after,
            names_first: self.names_first,
            head_at: None,
            status: 0,
            answered_id: String::new(),
            seal: String::new(),
            retry_after: None,
            arrivals: Vec::new(),
            body: Bytes::new(),
            end: AnswerEnd::Broken,
            ended: now,
        }
    }

    /// Returns the time to wait before another attempt: what the answer asked for, up to a third of the time left.
    fn pause(&mut self, retry_after: Option<Duration>, time_left: Duration) -> Duration {
        if self.is_hasty {
            return Duration::ZERO;
        }
        let usual = Duration::from_millis(self.rng.random_range(PAUSE_MS));
        retry_after.unwrap_or(usual).min(time_left / 3)
    }

    /// Sends one attempt and reads its answer into `attempt`. Returns the connection if it may be used again, and for how long.
    async fn exchange(
        &self,
        shared: &Shared,
        mut connection: Connection,
        attempt: &mut CallerAttempt,
        leaves_at: Option<Instant>,
    ) -> Result<Option<(Connection, Option<Duration>)>, Unsent> {
        let route = &shared.cfg.routes[self.route];
        let patience = Patience {
            until: attempt.sent + attempt.deadline,
            leaves_at,
            max_gap: match route.kind {
                RouteKind::Stream | RouteKind::ResumableStream => Some(max_gap(route)),
                RouteKind::Safe | RouteKind::Unsafe => None,
            },
        };
        let req = self.build(&shared.cfg.host, attempt);
        let sent = connection.sender.try_send_request(req);
        let res = match patience.wait(sent).await {
            Ok(Ok(res)) => res,
            Ok(Err(mut err)) => {
                let is_unsent = err.take_message().is_some();
                return if is_unsent { Err(Unsent) } else { Ok(None) };
            }
            Err(end) => {
                attempt.end = end;
                return Ok(None);
            }
        };
        let (idle, body) = read_head(res, attempt);
        attempt.end = read_body(body, attempt, &patience).await;
        Ok((attempt.end == AnswerEnd::Complete).then_some((connection, idle)))
    }

    fn build(&self, host: &str, attempt: &CallerAttempt) -> hyper::Request<Full<Bytes>> {
        let method = if self.body.is_empty() { "GET" } else { "POST" };
        let mut req = hyper::Request::builder()
            .method(method)
            .uri(&self.target)
            .header("host", host)
            .header("currantbend-request-id", &attempt.id)
            .header(
                "currantbend-deadline-ms",
                attempt.deadline.as_millis().to_string(),
            )
            .header("authorization", format!("Token {}", self.key));
        for (name, value) in &self.headers {
            req = req.header(*name, value);
        }
        if let Some(last_id) = attempt.resume_after {
            req = req.header("last-event-id", last_id.to_string());
            if attempt.names_first {
                req = req.header("resumes", &attempt.first_attempt);
            }
        }
        req.body(Full::new(self.body.clone()))
            .expect("names and paths of a sheet are those of requests")
    }
}

/// The request wasn't sent.
struct Unsent;

/// How long a caller waits.
struct Patience {
    /// End of the time of the request.
    until: Instant,
    /// When the caller leaves by itself.
    leaves_at: Option<Instant>,
    /// Longest time without a byte.
    max_gap: Option<Duration>,
}

impl Patience {
    /// Waits for `it`, or until the caller has no more patience.
    async fn wait<T>(&self, it: impl Future<Output = T>) -> Result<T, AnswerEnd> {
        let gap_end = self.max_gap.map(|gap| Instant::now() + gap);
        let leaves_at = [self.leaves_at, gap_end].into_iter().flatten().min();
        let (at, end) = match leaves_at {
            Some(at) if at < self.until => (at, AnswerEnd::Left),
            _ => (self.until, AnswerEnd::TimedOut),
        };
        let waited = tokio::time::timeout_at(at.into(), it).await;
        waited.map_err(|_| end)
    }
}

/// Returns the gap after which callers leave a stream of a route.
fn max_gap(route: &CallerRoute) -> Duration {
    let by_gap = route.gap_target.unwrap_or_default() * 8;
    MIN_GAP.max(route.latency_target * 4).max(by_gap)
}

/// Reads the head of an answer; returns for how long the connection may be idle, if it says that, and the body.
fn read_head(res: Response<Incoming>, attempt: &mut CallerAttempt) -> (Option<Duration>, Incoming) {
    let (head, body) = res.into_parts();
    attempt.head_at = Some(Instant::now());
    attempt.status = head.status.as_u16();
    let text = |name| http::header(&head.headers, name);
    text("currantbend-request-id").clone_into(&mut attempt.answered_id);
    text("currantbend-response-seal").clone_into(&mut attempt.seal);
    attempt.retry_after = seconds(text("retry-after"));
    let mut fields = text("keep-alive").split(',');
    let idle = fields.find_map(|field| field.trim().strip_prefix("timeout="));
    (idle.and_then(seconds), body)
}

/// Reads a number of seconds, which may be a fraction.
fn seconds(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.trim().parse().ok()?).ok()
}

async fn read_body(
    mut body: Incoming,
    attempt: &mut CallerAttempt,
    patience: &Patience,
) -> AnswerEnd {
    let mut read = BytesMut::new();
    let end = loop {
        match patience.wait(body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Some(bytes) = frame.data_ref() {
                    read.extend_from_slice(bytes);
                    attempt.arrivals.push((Instant::now(), read.len()));
                }
            }
            Ok(Some(Err(_))) => break AnswerEnd::Broken,
            Ok(None) => break AnswerEnd::Complete,
            Err(end) => break end,
        }
    };
    attempt.body = read.freeze();
    end
}

/// Returns what the caller may do after an attempt.
pub(super) fn next(kind: RouteKind, attempt: &CallerAttempt, was_sent: bool) -> Next {
    let again = Next::Try {
        resume_after: attempt.resume_after,
    };
    match (attempt.status, attempt.end) {
        (_, AnswerEnd::Left | AnswerEnd::TimedOut) => Next::End,
        (200..300, AnswerEnd::Complete) | (300..=407 | 409..=420 | 422..=428 | 430..500, _) => {
            Next::End
        }
        (408 | 421 | 429 | 503, _) => again,
        _ if !was_sent => again,
        _ => match kind {
            RouteKind::Safe => again,
            RouteKind::ResumableStream => Next::Try {
                resume_after: last_event_id(&attempt.body).or(attempt.resume_after),
            },
            RouteKind::Unsafe | RouteKind::Stream => Next::End,
        },
    }
}

/// Returns the ID of the last whole event of a stream.
fn last_event_id(body: &[u8]) -> Option<u64> {
    let end = body.windows(2).rposition(|bytes| bytes == b"\n\n")?;
    let text = std::str::from_utf8(&body[..end]).ok()?;
    let mut ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.next_back()?.parse().ok()
}

/// Returns the key with which a caller of a team sends.
fn key(shared: &Shared, team: usize, rng: &mut StdRng) -> String {
    let keys = shared.keys.borrow();
    if !keys.old.is_empty() && rng.random_bool(OLD_KEYS) {
        return keys.old[rng.random_range(0..keys.old.len())].clone();
    }
    let team = shared.teams.get(team);
    let of_team: Vec<&String> = keys
        .valid
        .iter()
        .filter(|(_, holder)| Some(holder) == team)
        .map(|(key, _)| key)
        .collect();
    match of_team.len() {
        0 => keys.old.first().cloned().unwrap_or_default(),
        count => of_team[rng.random_range(0..count)].clone(),
    }
}

/// Returns the headers that describe a prompt, whose parts but the last it shares with others.
fn prompt_headers(
    route: &CallerRoute,
    (route_number, team): (usize, usize),
    is_hot: bool,
    rng: &mut StdRng,
) -> Vec<(&'static str, String)> {
    let mut parts = String::new();
    let mut sum = 0;
    let last = route.prompt_tokens.len() - 1;
    let prefix = if is_hot {
        0
    } else {
        rng.random_range(0..PREFIXES)
    };
    for (number, mean) in route.prompt_tokens.iter().enumerate() {
        let is_own = number == last;
        // The first part is the route's, those that follow are the team's and of one conversation of it.
        let shared = match (number, is_hot) {
            (0, _) => 0,
            (_, true) => 1,
            _ => 2 + team as u32 * PREFIXES + prefix,
        };
        let id = if is_own {
            rng.random::<u32>()
        } else {
            ((route_number as u32 + 1) << 24) | ((number as u32) << 16) | shared
        };
        let tokens = if is_own {
            ((*mean as f64) * rng.random_range(0.5..1.5)).max(1.0) as u64
        } else {
            *mean
        };
        sum += tokens;
        let comma = if number > 0 { "," } else { "" };
        write!(parts, "{comma}{id:08x}:{tokens}").expect("texts can be written to");
    }
    let events = route.events.map_or(1, |it| draw_events(it, rng));
    vec![
        ("currantbend-token-counts", format!("{sum},{events}")),
        ("currantbend-prompt-prefix", parts),
    ]
}

fn draw_events(count: EventCounts, rng: &mut StdRng) -> u64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (rng.random::<f64>() * std::f64::consts::TAU).cos();
    let median = count.mean.ln() - count.spread * count.spread / 2.0;
    let drawn = (median + count.spread * normal).exp().round() as u64;
    drawn.clamp(1, count.max.max(1))
}
