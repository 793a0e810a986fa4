//! One request's way from its route to a server's answer, within attempts, time and budget.

use super::answer::Refusal;
use super::attempt;
use super::attempt::Answered;
use super::attempt::Outbound;
use super::attempt::Sending;
use super::attempt::Sent;
use super::choice::Target;
use super::choice::pick_share;
use super::choice::salt_of;
use super::dialect::Ask;
use super::handler::Gateway;
use super::headers::strip_connection;
use super::relay;
use super::report::Report;
use crate::catalog::RetryMode;
use crate::catalog::Route;
use crate::catalog::Service;
use crate::clock::Moment;
use crate::decide::RetryAfter;
use crate::decide::RunResult;
use crate::net::Body;
use crate::net::collect;
use crate::net::full_body;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HOST;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes of a plain answer that is read whole before it goes on, so that a broken one can be replaced.
const ANSWER_BYTES_MOST: usize = 8 * 1024 * 1024;
/// Time below which a send is of no use to the caller.
pub(super) const LEAST_TIME: Duration = Duration::from_millis(20);
/// Servers that may be found unreachable for one request; nothing is sent to them.
const UNREACHABLE_MOST: u32 = 4;
/// Time for the head of an answer, in multiples of the latency target, after which a request that may be repeated is
/// sent elsewhere: later than any sound server of the sheets needs at twice its usual work.
const PATIENCE_FACTOR: u32 = 3;
/// Least time for the head of an answer before a request is sent elsewhere.
const PATIENCE_LEAST: Duration = Duration::from_millis(600);

/// Nodes that are assumed before their number is known: the users' next size.
const NODES_UNKNOWN: u32 = 100;

/// One request of a caller, on its way to an answer.
pub(super) struct Exchange {
    pub(super) gateway: Arc<Gateway>,
    pub(super) route: Route,
    pub(super) service: Option<Service>,
    pub(super) service_name: String,
    outbound: Outbound,
    pub(super) ask: Ask,
    team: Option<String>,
    pub(super) salt: u64,
    pub(super) deadline: Instant,
    /// Rank of the team, or of the route where the team has none; 0 is the most urgent.
    pub(super) rank: u8,
    pub(super) sends: u32,
    last_send: LastSend,
    unreachable: u32,
    /// A server may have begun to work on the request.
    pub(super) may_have_run: bool,
    pub(super) report: Report,
}

/// The newest send of a request.
#[derive(Clone, Copy, Debug)]
struct LastSend {
    at: Instant,
    /// How full its server was known to be, in multiples of its slots.
    fill: f64,
}

/// A refusal with the report that is still to be written.
pub(super) type Failed = Box<(Refusal, Report)>;

impl Exchange {
    /// Finds route, team and service, all by one version of the configuration.
    pub(super) fn admit(
        gateway: &Arc<Gateway>,
        outbound: Outbound,
        ask: Ask,
        mut report: Report,
    ) -> Result<Self, Failed> {
        let now = Moment::now();
        let salt = salt_of(&outbound.request_id);
        let left = ask.time_left.unwrap_or(Duration::from_secs(1));
        let refuse = |cause, report| Err(Box::new((elsewhere(cause, salt, left), report)));
        let fail = |status, cause, report| Err(Box::new((Refusal::new(status, cause), report)));
        let Some(configuration) = gateway.catalog.configuration() else {
            return refuse("no configuration yet", report);
        };
        report.config_version = configuration.version();
        let age = gateway.catalog.config_age(now).unwrap_or(Duration::MAX);
        report.config_age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let is_proven = gateway.catalog.are_keys_verified(now);
        let host = outbound
            .headers
            .get(HOST)
            .and_then(|host| host.to_str().ok());
        let host = host.map_or("", |host| {
            host.rsplit_once(':').map_or(host, |(name, _)| name)
        });
        let path = outbound.target.split('?').next().unwrap_or("/");
        let Some(route) = configuration.route(host, path).cloned() else {
            if !is_proven {
                return refuse("configuration unproven", report);
            }
            return fail(StatusCode::NOT_FOUND, "no such route", report);
        };
        report.route.clone_from(&route.name);
        let mut team = None;
        let mut rank = route.priority;
        if !route.is_public {
            if !is_proven {
                return refuse("configuration unproven", report);
            }
            let found = ask
                .key
                .as_deref()
                .and_then(|key| configuration.team_of_key(key));
            let Some(found) = found else {
                return fail(StatusCode::UNAUTHORIZED, "unknown key", report);
            };
            rank = found.priority.unwrap_or(rank);
            team = Some(found.name.clone());
        }
        if outbound.request_id.is_empty() {
            return fail(StatusCode::BAD_REQUEST, "no request id", report);
        }
        if !gateway.takes(&route, now) {
            return refuse("node is stopping", report);
        }
        report.is_return = gateway.crowds.is_return(&route.name, ask.time_left);
        let Some(service_name) = pick_share(&route, salt) else {
            return refuse("route without service", report);
        };
        report.service.clone_from(&service_name);
        gateway.with_budget(&service_name, |budget| budget.record_request(now));
        let waits = ask
            .time_left
            .map_or(route.timeout, |left| left.min(route.timeout));
        Ok(Self {
            gateway: Arc::clone(gateway),
            service: configuration.service(&service_name).cloned(),
            deadline: report.began + waits,
            route,
            service_name,
            outbound,
            ask,
            team,
            salt,
            rank,
            sends: 0,
            last_send: LastSend {
                at: Instant::now(),
                fill: 0.0,
            },
            unreachable: 0,
            may_have_run: false,
            report,
        })
    }

    pub(super) async fn run(mut self) -> Result<Response<Body>, Failed> {
        loop {
            let answered = match self.next_answer(None).await {
                Ok(answered) => answered,
                Err(refusal) => return Err(Box::new((refusal, self.report))),
            };
            let is_stream = self.route.retry_mode.is_stream() && answered.head.status.is_success();
            if is_stream {
                match relay::start(self, answered).await {
                    Ok(response) => return Ok(response),
                    Err(lost) => {
                        let (exchange, cause) = *lost;
                        self = exchange;
                        if let Err(refusal) = self.after_unknown("stream broken", &cause) {
                            return Err(Box::new((refusal, self.report)));
                        }
                    }
                }
            } else {
                match self.whole(answered).await {
                    Ok(response) => return Ok(response),
                    Err(cause) => {
                        if let Err(refusal) = self.after_unknown("answer broken", &cause) {
                            return Err(Box::new((refusal, self.report)));
                        }
                    }
                }
            }
        }
    }

    /// Reads a plain answer whole and passes it on.
    async fn whole(&mut self, answered: Box<Answered>) -> Result<Response<Body>, String> {
        let Answered {
            mut head,
            body,
            lease,
            place,
            ..
        } = *answered;
        let collecting = collect(body, ANSWER_BYTES_MOST);
        let body = match tokio::time::timeout_at(self.deadline, collecting).await {
            Ok(Ok(body)) => body,
            Ok(Err(err)) => {
                lease.close();
                place.note_result(RunResult::Broken);
                return Err(format!("{err:?}"));
            }
            Err(_) => {
                lease.close();
                place.note_result(RunResult::Silent);
                return Err("body late".to_owned());
            }
        };
        let is_failure = head.status.is_server_error();
        place.note_result(if is_failure {
            RunResult::Failed
        } else {
            RunResult::Good
        });
        drop(place);
        self.note_time();
        self.gateway.pool.keep(lease, &head.headers);
        strip_connection(&mut head.headers);
        self.report.first();
        let outcome = if is_failure {
            "server failed"
        } else {
            "answered"
        };
        self.report.end(head.status, outcome, "");
        Ok(Response::from_parts(head, full_body(body)))
    }

    /// Sends the request until a server's answer can be used, within attempts, time and budget.
    pub(super) async fn next_answer(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Box<Answered>, Refusal> {
        loop {
            let target = self.next_server()?;
            match self.send_to(&target, resume_after).await {
                Sent::Answered(answered) => {
                    self.may_have_run = true;
                    let is_failure = answered.head.status.is_server_error();
                    if !(is_failure && self.may_repeat()) {
                        return Ok(answered);
                    }
                    answered.place.note_result(RunResult::Failed);
                    self.note("failed");
                    self.gateway.pool_after_failure(*answered).await;
                }
                Sent::Unsent(cause) => {
                    self.note("not sent");
                    self.sends -= 1;
                    self.unreachable += 1;
                    if self.unreachable >= UNREACHABLE_MOST {
                        return Err(self.no_server("servers unreachable").detail(cause));
                    }
                }
                Sent::Misdirected => {
                    self.note("misdirected");
                    self.sends -= 1;
                    self.unreachable += 1;
                    if self.unreachable >= UNREACHABLE_MOST || !self.take_budget() {
                        return Err(self.no_server("servers replaced"));
                    }
                }
                Sent::NotRun(status) => {
                    self.note("not run");
                    let is_last = self.sends >= self.route.max_attempts || !self.take_budget();
                    if is_last {
                        return Err(self
                            .too_full("turned away by server")
                            .detail(status.as_str()));
                    }
                }
                Sent::Unknown(cause) => {
                    self.may_have_run = true;
                    self.note("unknown");
                    self.after_unknown("answer lost", &cause)?;
                }
                Sent::Silent => {
                    self.may_have_run = true;
                    self.note("silent");
                    self.after_unknown("server silent", "")?;
                }
            }
        }
    }

    /// Tells whether the request may be sent once more after it may have run, and takes that from the budget.
    pub(super) fn may_repeat(&mut self) -> bool {
        self.route.retry_mode.is_retryable()
            && self.sends < self.route.max_attempts
            && self.time_left() > LEAST_TIME
            && self.has_untried()
            && self.take_budget()
    }

    fn take_budget(&self) -> bool {
        let nodes = self
            .gateway
            .nodes
            .get()
            .map_or(NODES_UNKNOWN, |count| count());
        let now = Moment::now();
        let is_granted = self
            .gateway
            .with_budget(&self.service_name, |budget| budget.try_acquire(now, nodes));
        self.gateway.meters.repeated(&self.service_name, is_granted);
        is_granted
    }

    fn after_unknown(&mut self, cause: &'static str, detail: &str) -> Result<(), Refusal> {
        if self.may_repeat() {
            return Ok(());
        }
        let is_late = self.time_left() <= LEAST_TIME;
        let status = if is_late {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        Err(Refusal::new(status, cause).detail(detail))
    }

    /// Notes the time at the server, once an answer is complete.
    pub(super) fn note_time(&self) {
        let LastSend { at, fill } = self.last_send;
        self.gateway
            .crowds
            .note_time(&self.service_name, at.elapsed(), fill);
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn note(&self, result: &str) {
        self.gateway.meters.sent(&self.service_name, result);
    }

    /// A refusal for want of a server that can be reached.
    pub(super) fn no_server(&self, cause: &'static str) -> Refusal {
        self.not_run(cause, RetryAfter::OTHER_NODE)
    }

    /// A refusal because all servers have too much to do.
    pub(super) fn too_full(&self, cause: &'static str) -> Refusal {
        self.not_run(cause, RetryAfter::SERVICE_FULL)
    }

    /// Promises that nothing ran, which holds only while that is certain.
    fn not_run(&self, cause: &'static str, returns: RetryAfter) -> Refusal {
        if self.may_have_run {
            return Refusal::new(StatusCode::BAD_GATEWAY, cause);
        }
        unavailable(cause, returns.delay(self.salt, self.time_left()))
    }

    async fn send_to(&mut self, target: &Target, resume_after: Option<u64>) -> Sent {
        let Target { server, .. } = target;
        self.report.servers.push(server.id.clone());
        self.sends += 1;
        self.last_send = LastSend {
            at: Instant::now(),
            fill: target.fill,
        };
        let place = self.gateway.loads.begin(server);
        // Beliefs may have grown old since the request was admitted, above all on a machine that was suspended.
        let is_current = self
            .gateway
            .catalog
            .is_usable(&server.id, server.entry.start_time_ms)
            && (self.route.is_public || self.gateway.catalog.are_keys_verified(Moment::now()));
        if !is_current {
            return Sent::Unsent("beliefs grew old".to_owned());
        }
        let sending = Sending {
            server,
            team: self.team.as_deref(),
            resume_after,
            copy_from: target.copy_from,
            deadline: self.deadline,
            head_timeout: self.head_timeout(),
            connections_most: self
                .service
                .as_ref()
                .map_or(64, |service| service.max_connections),
        };
        let dialect = Arc::clone(&self.gateway.dialect);
        attempt::send(
            &self.outbound,
            &sending,
            &*dialect,
            &self.gateway.pool,
            place,
        )
        .await
    }

    /// A request that may run elsewhere doesn't wait for a silent server; any other one waits to the end.
    fn head_timeout(&self) -> Duration {
        let left = self.time_left();
        if !self.route.retry_mode.is_retryable() || self.sends >= self.route.max_attempts {
            return left;
        }
        let patience = (self.route.latency_target * PATIENCE_FACTOR).max(PATIENCE_LEAST);
        patience.min(left)
    }

    /// Time without an event after which a resumable stream goes on elsewhere.
    pub(super) fn stall_limit(&self) -> Option<Duration> {
        let is_resumable = self.route.retry_mode == RetryMode::ResumableStream;
        let limit = (self.route.gap_target * PATIENCE_FACTOR).max(PATIENCE_LEAST);
        (is_resumable && self.sends < self.route.max_attempts).then_some(limit)
    }
}

fn unavailable(cause: &'static str, after: Duration) -> Refusal {
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, cause).retry_after(after)
}

/// A refusal by this node, for what another one may serve.
fn elsewhere(cause: &'static str, salt: u64, left: Duration) -> Refusal {
    unavailable(cause, RetryAfter::OTHER_NODE.delay(salt, left))
}

impl Gateway {
    /// Reads the rest of an answer that is not passed on, so that its connection can be kept.
    async fn pool_after_failure(&self, answered: Answered) {
        let Answered {
            head, body, lease, ..
        } = answered;
        let collecting = collect(body, ANSWER_BYTES_MOST);
        match tokio::time::timeout(PATIENCE_LEAST, collecting).await {
            Ok(Ok(_)) => self.pool.keep(lease, &head.headers),
            Ok(Err(_)) | Err(_) => lease.close(),
        }
    }
}
