//! Processes one caller's request: finds its route and sends it to one server after another until a response can be
//! passed on, within the limits of attempts, time and retry budget. A response with a 5xx status is passed on only if
//! no retry is possible.

use super::attempt;
use super::attempt::OutboundRequest;
use super::attempt::SendOutcome;
use super::attempt::SendParams;
use super::attempt::ServerResponse;
use super::choice::Target;
use super::choice::hash_request_id;
use super::choice::pick_service;
use super::crash_guard::CrashGuard;
use super::dialect::RequestMetadata;
use super::handler::Gateway;
use super::headers::remove_hop_by_hop;
use super::refusal::Refusal;
use super::report::RequestReport;
use super::stream;
use super::stream_version::StreamVersion;
use crate::catalog::RetryMode;
use crate::catalog::Route;
use crate::catalog::Service;
use crate::clock::BootInstant;
use crate::decide::RetryAfter;
use crate::decide::RunResult;
use crate::net::Body;
use crate::net::full_body;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HOST;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time until the request's deadline for a send; with less, the response would come too late.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// A request is refused after this number of sends that did not reach the chosen server: it was unreachable, another
/// server had its address, or the catalog state became stale before the send. In none of these cases
/// did the request run.
const MAX_UNDELIVERED_SENDS: u32 = 4;
/// Failover timeout in multiples of the latency target: a retryable request is sent to another server if the response
/// head has not arrived by then. Healthy servers of the reference workload respond earlier even at twice their usual
/// load. For a resumable stream, the limit for the time without an event is the same multiple of its gap target.
const FAILOVER_TIMEOUT_FACTOR: u32 = 3;
/// Lower bound of the failover timeout and of the limit for a stream without events. Also the time limit
/// for reading the rest of a failed response that is not passed on.
const MIN_FAILOVER_TIMEOUT: Duration = Duration::from_millis(600);

/// A caller's request while it is being processed.
pub(super) struct Exchange {
    pub(super) gateway: Arc<Gateway>,
    pub(super) route: Route,
    /// `None` if the configuration has no service of that name.
    pub(super) service: Option<Service>,
    pub(super) service_name: String,
    outbound: OutboundRequest,
    pub(super) metadata: RequestMetadata,
    team: Option<String>,
    /// Hash of the request id, the same on every node; used for choices that must be spread evenly over requests.
    pub(super) salt: u64,
    /// Software version that servers of the stream must have.
    pub(super) stream_version: StreamVersion,
    /// End of the time that the caller announced or of the route's timeout, whichever is earlier.
    pub(super) deadline: Instant,
    /// Rank of the team, or of the route if the team has none; 0 is the most urgent.
    pub(super) rank: u8,
    /// Sends that count against the route's maximum number of attempts; those that did not reach the chosen server
    /// don't.
    pub(super) sends: u32,
    last_send: LastSend,
    /// Sends that did not reach the chosen server, up to [`MAX_UNDELIVERED_SENDS`].
    undelivered_sends: u32,
    /// Whether a server may have started to run the request.
    pub(super) may_have_run: bool,
    pub(super) crash_guard: CrashGuard,
    pub(super) report: RequestReport,
}

/// The most recent send of a request.
#[derive(Clone, Copy, Debug)]
struct LastSend {
    sent_at: Instant,
    /// Load of the server as known before the send, in multiples of its slots.
    load_per_slot: f64,
}

/// A refusal together with the request's report, which has not been written yet.
pub(super) type FailedExchange = Box<(Refusal, RequestReport)>;

impl Exchange {
    /// Finds the route, team and service of a request, all in the same version of the configuration.
    pub(super) fn prepare(
        gateway: &Arc<Gateway>,
        outbound: OutboundRequest,
        metadata: RequestMetadata,
        mut report: RequestReport,
    ) -> Result<Self, FailedExchange> {
        let now = BootInstant::now();
        let salt = hash_request_id(&outbound.request_id);
        let time_left = metadata.time_left.unwrap_or(Duration::from_secs(1));
        let refuse_temporarily = |cause, report| {
            Err(Box::new((
                other_node_refusal(cause, salt, time_left),
                report,
            )))
        };
        let refuse_with_status =
            |status, cause, report| Err(Box::new((Refusal::new(status, cause), report)));
        let Some(configuration) = gateway.catalog.configuration() else {
            return refuse_temporarily("no configuration yet", report);
        };
        report.config_version = configuration.version();
        let age = gateway.catalog.config_age(now).unwrap_or(Duration::MAX);
        report.config_age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let is_verified = gateway.catalog.are_keys_verified(now);
        let may_deny = gateway.catalog.may_deny(now);
        let host = outbound
            .headers
            .get(HOST)
            .and_then(|host| host.to_str().ok());
        let host = host.map_or("", |host| {
            host.rsplit_once(':').map_or(host, |(name, _)| name)
        });
        let path = outbound.target.split('?').next().unwrap_or("/");
        let Some(route) = configuration.route(host, path).cloned() else {
            // The caller is sent to another node, which may have the route.
            if !may_deny {
                return refuse_temporarily("configuration unproven", report);
            }
            return refuse_with_status(StatusCode::NOT_FOUND, "no such route", report);
        };
        report.route.clone_from(&route.name);
        report.parts.clone_from(&metadata.parts);
        if let Some(resumed_stream) = &metadata.resumed_stream {
            report.resumes_stream = true;
            report.first_attempt = resumed_stream.first_attempt.clone().unwrap_or_default();
        }
        let mut team = None;
        let mut rank = route.priority;
        if !route.is_public {
            if !is_verified {
                return refuse_temporarily("configuration unproven", report);
            }
            let found = metadata
                .key
                .as_deref()
                .and_then(|key| configuration.team_of_key(key));
            let Some(found) = found else {
                if !may_deny {
                    return refuse_temporarily("configuration unproven", report);
                }
                return refuse_with_status(StatusCode::UNAUTHORIZED, "unknown key", report);
            };
            rank = found.priority.unwrap_or(rank);
            team = Some(found.name.clone());
        }
        if outbound.request_id.is_empty() {
            return refuse_with_status(StatusCode::BAD_REQUEST, "no request id", report);
        }
        if !gateway.accepts(&route, now) {
            return refuse_temporarily("node is stopping", report);
        }
        report.is_caller_retry = gateway
            .admission_stats
            .detect_retry(&route.name, metadata.time_left);
        let Some(service_name) = pick_service(&route, salt) else {
            return refuse_temporarily("route without service", report);
        };
        report.service.clone_from(&service_name);
        gateway.with_retry_budget(&service_name, |budget| budget.record_request(now));
        let timeout = metadata
            .time_left
            .map_or(route.timeout, |announced| announced.min(route.timeout));
        Ok(Self {
            gateway: Arc::clone(gateway),
            service: configuration.service(&service_name).cloned(),
            deadline: report.started_at + timeout,
            route,
            service_name,
            outbound,
            team,
            salt,
            stream_version: StreamVersion::Any,
            rank,
            sends: 0,
            last_send: LastSend {
                sent_at: Instant::now(),
                load_per_slot: 0.0,
            },
            undelivered_sends: 0,
            may_have_run: false,
            crash_guard: CrashGuard::new(&metadata.parts),
            metadata,
            report,
        })
    }

    pub(super) async fn run(mut self) -> Result<Response<Body>, FailedExchange> {
        if let Err(refusal) = self.resolve_stream_version().await {
            return Err(Box::new((refusal, self.report)));
        }
        loop {
            let response = match self.next_response(None).await {
                Ok(response) => response,
                Err(refusal) => return Err(Box::new((refusal, self.report))),
            };
            let is_stream = self.route.retry_mode.is_stream() && response.head.status.is_success();
            if is_stream {
                match stream::start(self, response).await {
                    Ok(response) => return Ok(response),
                    Err(failed) => {
                        let (exchange, cause) = *failed;
                        self = exchange;
                        if self.has_crashed_server().await {
                            let refusal = server_crashed_refusal(&cause);
                            return Err(Box::new((refusal, self.report)));
                        }
                        if let Err(refusal) = self.retry_or_refuse("stream broken", &cause) {
                            return Err(Box::new((refusal, self.report)));
                        }
                    }
                }
            } else {
                match self.read_whole(response).await {
                    Ok(response) => return Ok(response),
                    Err(cause) => {
                        if self.has_crashed_server().await {
                            let refusal = server_crashed_refusal(&cause);
                            return Err(Box::new((refusal, self.report)));
                        }
                        if let Err(refusal) = self.retry_or_refuse("answer broken", &cause) {
                            return Err(Box::new((refusal, self.report)));
                        }
                    }
                }
            }
        }
    }

    /// Reads the whole of a response that is not a stream, and passes it on; returns the cause if it is broken or late.
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
        // The response is read whole before it is passed on, so that the request can be retried if it breaks off.
        let gateway = Arc::clone(&self.gateway);
        let collecting = gateway.response_memory.collect(body);
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
        self.record_response_time();
        if head.status.is_success() {
            self.record_progress();
            self.record_sound();
        }
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

    /// Sends the request to one server after another until a response can be passed on, within the limits of attempts,
    /// time and retry budget. `resume_after` is the id of the last event that the caller has received, for a stream
    /// that continues at another server.
    pub(super) async fn next_response(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Box<ServerResponse>, Refusal> {
        loop {
            self.check_parts().await?;
            let target = self.choose_server()?;
            match self.send_to(&target, resume_after).await {
                SendOutcome::Responded(response) => {
                    self.may_have_run = true;
                    self.report.record_rate_limit(response.rate_limit);
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
                    self.undelivered_sends += 1;
                    if self.undelivered_sends >= MAX_UNDELIVERED_SENDS {
                        return Err(self
                            .no_server_refusal("servers unreachable")
                            .with_detail(cause));
                    }
                }
                SendOutcome::Misdirected => {
                    self.count_send("misdirected");
                    self.sends -= 1;
                    self.undelivered_sends += 1;
                    // The retry budget bounds the arrivals at a service's servers beyond each request's first, rejected
                    // ones included: a misdirected request arrived at a server, one that was not sent arrived nowhere.
                    if self.undelivered_sends >= MAX_UNDELIVERED_SENDS || !self.take_from_budget() {
                        return Err(self.no_server_refusal("servers replaced"));
                    }
                }
                SendOutcome::NotRun(status) => {
                    self.count_send("not run");
                    // The request did not run, so it may be retried on any route, whatever its retry mode.
                    let is_last = self.sends >= self.route.max_attempts || !self.take_from_budget();
                    if is_last {
                        return Err(self
                            .overload_refusal("turned away by server")
                            .with_detail(status.as_str()));
                    }
                }
                SendOutcome::Unknown(cause) => {
                    self.may_have_run = true;
                    self.count_send("unknown");
                    if self.has_crashed_server().await {
                        return Err(server_crashed_refusal(&cause));
                    }
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

    /// Returns whether a request that may have run is retried; if so, the retry is taken from the budget.
    pub(super) fn take_retry(&mut self) -> bool {
        self.route.retry_mode.is_retryable()
            && self.sends < self.route.max_attempts
            && self.time_left() > MIN_TIME_LEFT
            && self.has_untried_server()
            && self.take_from_budget()
    }

    /// Takes one retry from the service's retry budget; returns whether the budget granted it.
    fn take_from_budget(&self) -> bool {
        let nodes = self.gateway.node_count();
        let now = BootInstant::now();
        let is_granted = self
            .gateway
            .with_retry_budget(&self.service_name, |budget| budget.try_acquire(now, nodes));
        self.gateway
            .metrics
            .record_retry(&self.service_name, is_granted);
        is_granted
    }

    /// Takes a retry if one is allowed, else returns a refusal with `cause`.
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

    /// Records the time from the last send until now; called when the response is complete.
    pub(super) fn record_response_time(&self) {
        let LastSend {
            sent_at,
            load_per_slot,
        } = self.last_send;
        self.gateway.admission_stats.record_response_time(
            &self.service_name,
            sent_at.elapsed(),
            load_per_slot,
        );
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Counts in the metrics a send whose response [`Exchange::next_response`] does not return, by its result.
    fn count_send(&self, result: &str) {
        self.gateway.metrics.record_send(&self.service_name, result);
    }

    /// Returns a refusal for the case that this node knows no server for the request or could not reach one, while
    /// another node may be able to.
    pub(super) fn no_server_refusal(&self, cause: &'static str) -> Refusal {
        self.unserved_refusal(cause, RetryAfter::OTHER_NODE)
    }

    /// Returns a refusal for the case that the servers are overloaded.
    pub(super) fn overload_refusal(&self, cause: &'static str) -> Refusal {
        self.unserved_refusal(cause, RetryAfter::SERVICE_FULL)
    }

    /// Returns a refusal with status 502 if the request may have run, else with 503, which promises the caller that it
    /// did not run.
    fn unserved_refusal(&self, cause: &'static str, retry_after: RetryAfter) -> Refusal {
        if self.may_have_run {
            return Refusal::new(StatusCode::BAD_GATEWAY, cause);
        }
        unavailable_refusal(cause, retry_after.delay(self.salt, self.time_left()))
    }

    /// Sends the request to `target` once; `resume_after` is the same as for [`Exchange::next_response`].
    async fn send_to(&mut self, target: &Target, resume_after: Option<u64>) -> SendOutcome {
        let Target { server, .. } = target;
        self.report.servers.push(server.id.clone());
        let software_version = server.entry.software_version.clone();
        self.report
            .software_versions
            .push(software_version.unwrap_or_default());
        self.sends += 1;
        self.last_send = LastSend {
            sent_at: Instant::now(),
            load_per_slot: target.load_per_slot,
        };
        self.crash_guard.record_send(target);
        self.gateway.rates.record_send(server);
        let guard = self.gateway.loads.start_request(server);
        // Since the request was prepared, the catalog state may have changed so that the server is no longer usable,
        // or the configuration may have become too old to accept callers' keys, especially if the machine slept in
        // between.
        let is_current = self
            .gateway
            .catalog
            .is_usable(&server.id, server.entry.start_time_ms)
            && (self.route.is_public || self.gateway.catalog.are_keys_verified(BootInstant::now()));
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
            rates: &self.gateway.rates,
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

    /// Returns the timeout for the response head: the failover timeout if the request may be sent to another server,
    /// else all the time left.
    fn head_timeout(&self) -> Duration {
        let time_left = self.time_left();
        if !self.route.retry_mode.is_retryable() || self.sends >= self.route.max_attempts {
            return time_left;
        }
        let failover_timeout =
            (self.route.latency_target * FAILOVER_TIMEOUT_FACTOR).max(MIN_FAILOVER_TIMEOUT);
        failover_timeout.min(time_left)
    }

    /// Returns the time without an event after which a resumable stream continues at another server, or `None` if it
    /// may not continue or there is no such server.
    pub(super) fn stall_limit(&self) -> Option<Duration> {
        let may_continue = self.route.retry_mode == RetryMode::ResumableStream
            && self.sends < self.route.max_attempts
            && self.has_untried_server();
        let limit = (self.route.gap_target * FAILOVER_TIMEOUT_FACTOR).max(MIN_FAILOVER_TIMEOUT);
        may_continue.then_some(limit)
    }
}

/// Returns a refusal of a request that may have crashed its server, so that it is not sent to another one.
fn server_crashed_refusal(cause: &str) -> Refusal {
    Refusal::new(StatusCode::BAD_GATEWAY, "server crashed").with_detail(cause)
}

fn unavailable_refusal(cause: &'static str, retry_after: Duration) -> Refusal {
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, cause).with_retry_after(retry_after)
}

/// Returns a refusal of a request that this node can't serve but another node may be able to.
fn other_node_refusal(cause: &'static str, salt: u64, time_left: Duration) -> Refusal {
    unavailable_refusal(cause, RetryAfter::OTHER_NODE.delay(salt, time_left))
}

impl Gateway {
    /// Reads the rest of a failed response that is not passed on, so that its connection can be reused.
    async fn drain_failed_response(&self, response: ServerResponse) {
        let ServerResponse {
            head, body, lease, ..
        } = response;
        let collecting = self.response_memory.collect(body);
        match tokio::time::timeout(MIN_FAILOVER_TIMEOUT, collecting).await {
            Ok(Ok(_)) => self.pool.put_idle(lease, &head.headers),
            Ok(Err(_)) | Err(_) => lease.close(),
        }
    }
}
