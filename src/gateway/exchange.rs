//! One request's way from its route to a server's answer, within attempts, time and budget.

use super::attempt;
use super::attempt::OutboundRequest;
use super::attempt::SendOutcome;
use super::attempt::SendParams;
use super::attempt::ServerResponse;
use super::choice::Target;
use super::choice::hash_request_id;
use super::choice::pick_service;
use super::dialect::RequestMetadata;
use super::handler::Gateway;
use super::headers::remove_hop_by_hop;
use super::refusal::Refusal;
use super::report::RequestReport;
use super::stream;
use crate::catalog::Repeat;
use crate::catalog::Route;
use crate::catalog::Service;
use crate::clock::Moment;
use crate::decide::Returns;
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
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Time below which a send is of no use to the caller.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Servers that may be found unreachable for one request; nothing is sent to them.
const MAX_UNREACHABLE_SERVERS: u32 = 4;
/// Time for the head of an answer, in multiples of the latency target, after which a request that may be repeated is
/// sent elsewhere: later than any sound server of the sheets needs at twice its usual work.
const FAILOVER_TIMEOUT_FACTOR: u32 = 3;
/// Least time for the head of an answer before a request is sent elsewhere.
const MIN_FAILOVER_TIMEOUT: Duration = Duration::from_millis(600);

/// Nodes that are assumed before their number is known: the users' next size.
const ASSUMED_NODES: u32 = 100;

/// One request of a caller, on its way to an answer.
pub(super) struct Exchange {
    pub(super) gateway: Arc<Gateway>,
    pub(super) route: Route,
    pub(super) service: Option<Service>,
    pub(super) service_name: String,
    outbound: OutboundRequest,
    pub(super) metadata: RequestMetadata,
    team: Option<String>,
    pub(super) salt: u64,
    pub(super) deadline: Instant,
    /// Rank of the team, or of the route where the team has none; 0 is the most urgent.
    pub(super) rank: u8,
    pub(super) sends: u32,
    last_send: LastSend,
    unreachable_servers: u32,
    /// A server may have begun to work on the request.
    pub(super) may_have_run: bool,
    pub(super) report: RequestReport,
}

/// The newest send of a request.
#[derive(Clone, Copy, Debug)]
struct LastSend {
    at: Instant,
    /// How full its server was known to be, in multiples of its slots.
    fill: f64,
}

/// A refusal with the report that is still to be written.
pub(super) type FailedExchange = Box<(Refusal, RequestReport)>;

impl Exchange {
    /// Finds route, team and service, all by one version of the configuration.
    pub(super) fn prepare(
        gateway: &Arc<Gateway>,
        outbound: OutboundRequest,
        metadata: RequestMetadata,
        mut report: RequestReport,
    ) -> Result<Self, FailedExchange> {
        let now = Moment::now();
        let salt = hash_request_id(&outbound.request_id);
        let time_left = metadata.time_left.unwrap_or(Duration::from_secs(1));
        let refuse = |cause, report| {
            Err(Box::new((
                other_node_refusal(cause, salt, time_left),
                report,
            )))
        };
        let fail = |status, cause, report| Err(Box::new((Refusal::new(status, cause), report)));
        let Some(catalog) = gateway.beliefs.catalog() else {
            return refuse("no configuration yet", report);
        };
        report.config_version = catalog.version();
        let age = gateway.beliefs.config_age(now).unwrap_or(Duration::MAX);
        report.config_age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let is_verified = gateway.beliefs.are_keys_proven(now);
        let host = outbound
            .headers
            .get(HOST)
            .and_then(|host| host.to_str().ok());
        let host = host.map_or("", |host| {
            host.rsplit_once(':').map_or(host, |(name, _)| name)
        });
        let path = outbound.target.split('?').next().unwrap_or("/");
        let Some(route) = catalog.route(host, path).cloned() else {
            if !is_verified {
                return refuse("configuration unproven", report);
            }
            return fail(StatusCode::NOT_FOUND, "no such route", report);
        };
        report.route.clone_from(&route.name);
        let mut team = None;
        let mut rank = route.priority;
        if !route.is_public {
            if !is_verified {
                return refuse("configuration unproven", report);
            }
            let found = metadata
                .key
                .as_deref()
                .and_then(|key| catalog.team_of_key(key));
            let Some(found) = found else {
                return fail(StatusCode::UNAUTHORIZED, "unknown key", report);
            };
            rank = found.priority.unwrap_or(rank);
            team = Some(found.name.clone());
        }
        if outbound.request_id.is_empty() {
            return fail(StatusCode::BAD_REQUEST, "no request id", report);
        }
        if !gateway.accepts(&route, now) {
            return refuse("node is stopping", report);
        }
        report.is_retry = gateway
            .admission_stats
            .record_arrival(&route.name, metadata.time_left);
        let Some(service_name) = pick_service(&route, salt) else {
            return refuse("route without service", report);
        };
        report.service.clone_from(&service_name);
        gateway.with_retry_budget(&service_name, |budget| budget.request(now));
        let timeout = metadata
            .time_left
            .map_or(route.timeout, |left| left.min(route.timeout));
        Ok(Self {
            gateway: Arc::clone(gateway),
            service: catalog.service(&service_name).cloned(),
            deadline: report.started_at + timeout,
            route,
            service_name,
            outbound,
            metadata,
            team,
            salt,
            rank,
            sends: 0,
            last_send: LastSend {
                at: Instant::now(),
                fill: 0.0,
            },
            unreachable_servers: 0,
            may_have_run: false,
            report,
        })
    }

    pub(super) async fn run(mut self) -> Result<Response<Body>, FailedExchange> {
        loop {
            let response = match self.next_response(None).await {
                Ok(response) => response,
                Err(refusal) => return Err(Box::new((refusal, self.report))),
            };
            let is_stream = self.route.repeat.is_stream() && response.head.status.is_success();
            if is_stream {
                match stream::start(self, response).await {
                    Ok(response) => return Ok(response),
                    Err(lost) => {
                        let (exchange, cause) = *lost;
                        self = exchange;
                        if let Err(refusal) = self.retry_or_refuse("stream broken", &cause) {
                            return Err(Box::new((refusal, self.report)));
                        }
                    }
                }
            } else {
                match self.read_whole(response).await {
                    Ok(response) => return Ok(response),
                    Err(cause) => {
                        if let Err(refusal) = self.retry_or_refuse("answer broken", &cause) {
                            return Err(Box::new((refusal, self.report)));
                        }
                    }
                }
            }
        }
    }

    /// Reads a plain answer whole and passes it on.
    async fn read_whole(
        &mut self,
        response: Box<ServerResponse>,
    ) -> Result<Response<Body>, String> {
        let ServerResponse {
            mut head,
            body,
            lease,
            guard,
            ..
        } = *response;
        let collecting = collect(body, MAX_RESPONSE_BYTES);
        let body = match tokio::time::timeout_at(self.deadline, collecting).await {
            Ok(Ok(body)) => body,
            Ok(Err(err)) => {
                lease.close();
                guard.record_result(RunResult::Broken);
                return Err(format!("{err:?}"));
            }
            Err(_) => {
                lease.close();
                guard.record_result(RunResult::Silent);
                return Err("body late".to_owned());
            }
        };
        let is_failure = head.status.is_server_error();
        guard.record_result(if is_failure {
            RunResult::Failed
        } else {
            RunResult::Good
        });
        drop(guard);
        self.record_server_time();
        self.gateway.pool.put_idle(lease, &head.headers);
        remove_hop_by_hop(&mut head.headers);
        self.report.record_first_byte();
        let outcome = if is_failure {
            "server failed"
        } else {
            "answered"
        };
        self.report.record_end(head.status, outcome, "");
        Ok(Response::from_parts(head, full_body(body)))
    }

    /// Sends the request until a server's answer can be used, within attempts, time and budget.
    pub(super) async fn next_response(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Box<ServerResponse>, Refusal> {
        loop {
            let target = self.choose_server()?;
            match self.send_to(&target, resume_after).await {
                SendOutcome::Responded(response) => {
                    self.may_have_run = true;
                    let is_failure = response.head.status.is_server_error();
                    if !(is_failure && self.take_retry()) {
                        return Ok(response);
                    }
                    response.guard.record_result(RunResult::Failed);
                    self.count_send("failed");
                    self.gateway.drain_failed_response(*response).await;
                }
                SendOutcome::NotSent(cause) => {
                    self.count_send("not sent");
                    self.sends -= 1;
                    self.unreachable_servers += 1;
                    if self.unreachable_servers >= MAX_UNREACHABLE_SERVERS {
                        return Err(self
                            .no_server_refusal("servers unreachable")
                            .with_detail(cause));
                    }
                }
                SendOutcome::Misdirected => {
                    self.count_send("misdirected");
                    self.sends -= 1;
                    self.unreachable_servers += 1;
                    if self.unreachable_servers >= MAX_UNREACHABLE_SERVERS
                        || !self.take_from_budget()
                    {
                        return Err(self.no_server_refusal("servers replaced"));
                    }
                }
                SendOutcome::NotRun(status) => {
                    self.count_send("not run");
                    let is_last = self.sends >= self.route.attempts || !self.take_from_budget();
                    if is_last {
                        return Err(self
                            .overload_refusal("turned away by server")
                            .with_detail(status.as_str()));
                    }
                }
                SendOutcome::Unknown(cause) => {
                    self.may_have_run = true;
                    self.count_send("unknown");
                    self.retry_or_refuse("answer lost", &cause)?;
                }
                SendOutcome::TimedOut => {
                    self.may_have_run = true;
                    self.count_send("silent");
                    self.retry_or_refuse("server silent", "")?;
                }
            }
        }
    }

    /// Tells whether the request may be sent once more after it may have run, and takes that from the budget.
    pub(super) fn take_retry(&mut self) -> bool {
        self.route.repeat.is_repeatable()
            && self.sends < self.route.attempts
            && self.time_left() > MIN_TIME_LEFT
            && self.has_untried_server()
            && self.take_from_budget()
    }

    fn take_from_budget(&self) -> bool {
        let nodes = self
            .gateway
            .node_count
            .get()
            .map_or(ASSUMED_NODES, |count| count());
        let now = Moment::now();
        let is_granted = self
            .gateway
            .with_retry_budget(&self.service_name, |budget| budget.take(now, nodes));
        self.gateway
            .metrics
            .record_retry(&self.service_name, is_granted);
        is_granted
    }

    fn retry_or_refuse(&mut self, cause: &'static str, detail: &str) -> Result<(), Refusal> {
        if self.take_retry() {
            return Ok(());
        }
        let is_late = self.time_left() <= MIN_TIME_LEFT;
        let status = if is_late {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        Err(Refusal::new(status, cause).with_detail(detail))
    }

    /// Notes the time at the server, once an answer is complete.
    pub(super) fn record_server_time(&self) {
        let LastSend { at, fill } = self.last_send;
        self.gateway
            .admission_stats
            .record_time(&self.service_name, at.elapsed(), fill);
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn count_send(&self, result: &str) {
        self.gateway.metrics.record_send(&self.service_name, result);
    }

    /// A refusal for want of a server that can be reached.
    pub(super) fn no_server_refusal(&self, cause: &'static str) -> Refusal {
        self.not_run_refusal(cause, Returns::ELSEWHERE)
    }

    /// A refusal because all servers have too much to do.
    pub(super) fn overload_refusal(&self, cause: &'static str) -> Refusal {
        self.not_run_refusal(cause, Returns::WHEN_FULL)
    }

    /// Promises that nothing ran, which holds only while that is certain.
    fn not_run_refusal(&self, cause: &'static str, returns: Returns) -> Refusal {
        if self.may_have_run {
            return Refusal::new(StatusCode::BAD_GATEWAY, cause);
        }
        unavailable_refusal(cause, returns.after(self.salt, self.time_left()))
    }

    async fn send_to(&mut self, target: &Target, resume_after: Option<u64>) -> SendOutcome {
        let Target { server, .. } = target;
        self.report.servers.push(server.id.clone());
        self.sends += 1;
        self.last_send = LastSend {
            at: Instant::now(),
            fill: target.fill,
        };
        let guard = self.gateway.loads.start_request(server);
        // Beliefs may have grown old since the request was admitted, above all on a machine that was suspended.
        let is_current = self
            .gateway
            .beliefs
            .is_usable(&server.id, server.entry.born_ms)
            && (self.route.is_public || self.gateway.beliefs.are_keys_proven(Moment::now()));
        if !is_current {
            return SendOutcome::NotSent("beliefs grew old".to_owned());
        }
        let params = SendParams {
            server,
            team: self.team.as_deref(),
            resume_after,
            copy_from: target.copy_from,
            deadline: self.deadline,
            head_timeout: self.head_timeout(),
            max_connections: self
                .service
                .as_ref()
                .map_or(64, |service| service.max_connections),
        };
        let dialect = Arc::clone(&self.gateway.dialect);
        attempt::send(
            &self.outbound,
            &params,
            &*dialect,
            &self.gateway.pool,
            guard,
        )
        .await
    }

    /// A request that may run elsewhere doesn't wait for a silent server; any other one waits to the end.
    fn head_timeout(&self) -> Duration {
        let time_left = self.time_left();
        if !self.route.repeat.is_repeatable() || self.sends >= self.route.attempts {
            return time_left;
        }
        let failover_timeout =
            (self.route.latency_target * FAILOVER_TIMEOUT_FACTOR).max(MIN_FAILOVER_TIMEOUT);
        failover_timeout.min(time_left)
    }

    /// Time without an event after which a resumable stream goes on elsewhere.
    pub(super) fn stall_limit(&self) -> Option<Duration> {
        let is_resumable = self.route.repeat == Repeat::ResumableStream;
        let limit = (self.route.gap_target * FAILOVER_TIMEOUT_FACTOR).max(MIN_FAILOVER_TIMEOUT);
        (is_resumable && self.sends < self.route.attempts).then_some(limit)
    }
}

fn unavailable_refusal(cause: &'static str, after: Duration) -> Refusal {
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, cause).with_retry_after(after)
}

/// A refusal by this node, for what another one may serve.
fn other_node_refusal(cause: &'static str, salt: u64, time_left: Duration) -> Refusal {
    unavailable_refusal(cause, Returns::ELSEWHERE.after(salt, time_left))
}

impl Gateway {
    /// Reads the rest of an answer that is not passed on, so that its connection can be kept.
    async fn drain_failed_response(&self, response: ServerResponse) {
        let ServerResponse {
            head, body, lease, ..
        } = response;
        let collecting = collect(body, MAX_RESPONSE_BYTES);
        match tokio::time::timeout(MIN_FAILOVER_TIMEOUT, collecting).await {
            Ok(Ok(_)) => self.pool.put_idle(lease, &head.headers),
            Ok(Err(_)) | Err(_) => lease.close(),
        }
    }
}
