//! A caller's request from its head to its answer.

use super::answer::Refusal;
use super::attempt;
use super::attempt::Answered;
use super::attempt::Outbound;
use super::attempt::Sending;
use super::attempt::Sent;
use super::dialect::Ask;
use super::dialect::Dialect;
use super::headers::strip_connection;
use super::loads::Loads;
use super::meters::Meters;
use super::pool::Pool;
use super::relay;
use crate::catalog::BackendServer;
use crate::catalog::Beliefs;
use crate::catalog::Limits;
use crate::catalog::Repeat;
use crate::catalog::Route;
use crate::catalog::Service;
use crate::clock::Moment;
use crate::decide::Admission;
use crate::decide::EnginePlacement;
use crate::decide::Leave;
use crate::decide::Placement;
use crate::decide::PlainPlacement;
use crate::decide::RetryBudget;
use crate::decide::RetryTerms;
use crate::decide::Returns;
use crate::decide::RunResult;
use crate::decide::ServerView;
use crate::decide::Work;
use crate::logs::Logs;
use crate::logs::Weight;
use crate::net::Body;
use crate::net::CollectError;
use crate::net::Handler;
use crate::net::collect;
use crate::net::full_body;
use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HOST;
use siphasher::sip::SipHasher13;
use slog::info;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes of a body before a configuration tells the limit.
const BODY_BYTES_UNCONFIGURED: usize = 4 * 1024 * 1024;
/// Bytes of a plain answer that is read whole before it goes on, so that a broken one can be replaced.
const ANSWER_BYTES_MOST: usize = 8 * 1024 * 1024;
/// Time below which a send is of no use to the caller.
const LEAST_TIME: Duration = Duration::from_millis(20);
/// Servers that may be found unreachable for one request; nothing is sent to them.
const UNREACHABLE_MOST: u32 = 4;
/// Time for the head of an answer, in multiples of the latency target, after which a request that may be repeated is
/// sent elsewhere: later than any sound server of the sheets needs at twice its usual work.
const PATIENCE_FACTOR: u32 = 3;
/// Least time for the head of an answer before a request is sent elsewhere.
const PATIENCE_LEAST: Duration = Duration::from_millis(600);

/// Nodes that are assumed before their number is known: the users' next size.
const NODES_UNKNOWN: u32 = 100;

/// Everything that the tasks of a gateway share.
pub(super) struct Gateway {
    pub(super) data_centre: String,
    pub(super) beliefs: Arc<Beliefs>,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) logs: Logs,
    pub(super) meters: Arc<Meters>,
    pub(super) pool: Pool,
    pub(super) loads: Loads,
    pub(super) budgets: Mutex<Vec<(String, RetryBudget)>>,
    pub(super) retry_terms: RetryTerms,
    /// Nodes that share the fixed part of the budget of repeats.
    pub(super) nodes: OnceLock<Arc<dyn Fn() -> u32 + Send + Sync>>,
    pub(super) engines: EnginePlacement,
    pub(super) plain: PlainPlacement,
    pub(super) admission: Admission,
    pub(super) leave: Leave,
    /// Set once the node has been asked to stop.
    pub(super) leaving_since: OnceLock<Moment>,
    /// Returns of callers while this node can't serve them.
    pub(super) returns: Returns,
}

/// One request of a caller, on its way to an answer.
pub(super) struct Exchange {
    pub(super) gateway: Arc<Gateway>,
    pub(super) route: Route,
    service: Option<Service>,
    service_name: String,
    outbound: Outbound,
    ask: Ask,
    team: Option<String>,
    salt: u64,
    pub(super) deadline: Instant,
    tried: Vec<String>,
    sends: u32,
    unreachable: u32,
    /// A server may have begun to work on the request.
    may_have_run: bool,
    pub(super) report: Report,
}

/// Where a request is sent.
struct Target {
    server: BackendServer,
    copy_from: Option<SocketAddr>,
}

/// What the log line on a request tells; written when it is dropped.
pub(super) struct Report {
    logs: Logs,
    meters: Arc<Meters>,
    request_id: String,
    route: String,
    service: String,
    servers: Vec<String>,
    load: u32,
    passed_over: usize,
    config_version: u64,
    config_age_ms: u64,
    list_version: u64,
    began: Instant,
    first_ms: Option<u64>,
    events: Option<u64>,
    resumed: u32,
    status: u16,
    outcome: &'static str,
    cause: String,
}

impl Report {
    fn new(gateway: &Gateway, request_id: &str) -> Self {
        gateway.meters.began();
        Self {
            logs: gateway.logs.clone(),
            meters: Arc::clone(&gateway.meters),
            request_id: request_id.to_owned(),
            route: String::new(),
            service: String::new(),
            servers: Vec::new(),
            load: 0,
            passed_over: 0,
            config_version: 0,
            config_age_ms: 0,
            list_version: 0,
            began: Instant::now(),
            first_ms: None,
            events: None,
            resumed: 0,
            status: 0,
            outcome: "left",
            cause: "caller left".to_owned(),
        }
    }

    /// Notes how the request ended.
    pub(super) fn end(&mut self, status: StatusCode, outcome: &'static str, cause: &str) {
        self.status = status.as_u16();
        self.outcome = outcome;
        cause.clone_into(&mut self.cause);
    }

    /// Notes the head of the answer, or the first event of a stream.
    pub(super) fn first(&mut self) {
        let time = self.began.elapsed();
        self.first_ms = Some(time.as_millis() as u64);
        self.meters.latency(&self.route, time);
    }

    /// Notes the number of the last event that went to the caller.
    pub(super) fn event(&mut self, last: Option<u64>) {
        self.events = last.or(self.events);
    }

    /// Notes that a stream went on at another server.
    pub(super) fn resumed(&mut self) {
        self.resumed += 1;
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        let label = if self.outcome == "answered" {
            ""
        } else {
            cause_label(&self.cause)
        };
        self.meters.ended(&self.route, self.outcome, label);
        let weight = if self.outcome == "answered" {
            Weight::Success
        } else {
            Weight::Failure
        };
        let Some(log) = self.logs.for_request(weight) else {
            return;
        };
        info!(log, "request"; "request" => &self.request_id, "route" => &self.route,
            "service" => &self.service, "servers" => self.servers.join(","), "load" => self.load, "passed_over" => self.passed_over,
            "config" => self.config_version, "config_age_ms" => self.config_age_ms,
            "list" => self.list_version, "first_ms" => self.first_ms, "last_event" => self.events,
            "resumed" => self.resumed, "ms" => self.began.elapsed().as_millis() as u64,
            "status" => self.status, "outcome" => self.outcome, "cause" => &self.cause);
    }
}

/// The part of a cause before its details, which has few values.
fn cause_label(cause: &str) -> &str {
    cause.split_once(':').map_or(cause, |(label, _)| label)
}

#[async_trait]
impl Handler for Caller {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        Arc::clone(&self.0).answer(req).await
    }
}

/// Serves the callers' address.
pub(super) struct Caller(pub(super) Arc<Gateway>);

impl Gateway {
    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let ask = self.dialect.read_ask(req.headers());
        let request_id = ask.request_id.clone().unwrap_or_default();
        let mut report = Report::new(&self, &request_id);
        let result = match self.receive(req, ask, &request_id, &mut report).await {
            Ok((outbound, ask)) => Exchange::admit(&self, outbound, ask, report),
            Err(refusal) => Err(Box::new((refusal, report))),
        };
        let (refusal, mut report) = match result {
            Ok(exchange) => match exchange.run().await {
                Ok(response) => return response,
                Err(failed) => *failed,
            },
            Err(failed) => *failed,
        };
        let outcome = match refusal.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => "refused",
            status if status.is_client_error() => "denied",
            _ => "failed",
        };
        let cause = if refusal.detail.is_empty() {
            refusal.cause.to_owned()
        } else {
            format!("{}: {}", refusal.cause, refusal.detail)
        };
        report.end(refusal.status, outcome, &cause);
        refusal.answer(|headers| self.dialect.mark_own(headers, &request_id))
    }

    /// Reads the whole request, so that whatever is answered, the connection can go on.
    async fn receive(
        &self,
        req: Request<Incoming>,
        ask: Ask,
        request_id: &str,
        report: &mut Report,
    ) -> Result<(Outbound, Ask), Refusal> {
        let limits = self.beliefs.catalog().map(|catalog| catalog.limits());
        let most = limits.map_or(BODY_BYTES_UNCONFIGURED, |limits: Limits| limits.body_bytes);
        let (head, body) = req.into_parts();
        let body = match collect(body, most).await {
            Ok(body) => body,
            Err(CollectError::TooLarge) => {
                return Err(Refusal::new(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "body too large",
                ));
            }
            Err(CollectError::Lost(err)) => {
                return Err(Refusal::new(StatusCode::BAD_REQUEST, "body incomplete")
                    .detail(err.to_string()));
            }
        };
        report.began = report.began.min(Instant::now());
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let target = target.to_owned();
        let mut headers = head.headers;
        strip_connection(&mut headers);
        let outbound = Outbound {
            method: head.method,
            target,
            headers,
            body,
            request_id: request_id.to_owned(),
        };
        Ok((outbound, ask))
    }

    pub(super) fn unavailable(&self, cause: &'static str, salt: u64, left: Duration) -> Refusal {
        Refusal::new(StatusCode::SERVICE_UNAVAILABLE, cause)
            .retry_after(self.returns.after(salt, left))
    }

    /// Tells whether a request can be served before this node is gone.
    fn takes(&self, route: &Route, now: Moment) -> bool {
        self.leaving_since.get().is_none_or(|since| {
            self.leave
                .takes(now.since(*since), route.repeat.is_stream(), route.timeout)
        })
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let at = match budgets.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let budget = RetryBudget::new(self.retry_terms);
                budgets.insert(at, (service.to_owned(), budget));
                at
            }
        };
        act(&mut budgets[at].1)
    }
}

fn salt_of(request_id: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(request_id.as_bytes());
    hasher.finish()
}

/// A refusal with the report that is still to be written.
type Failed = Box<(Refusal, Report)>;

impl Exchange {
    /// Finds route, team and service, all by one version of the configuration.
    fn admit(
        gateway: &Arc<Gateway>,
        outbound: Outbound,
        ask: Ask,
        mut report: Report,
    ) -> Result<Self, Failed> {
        let now = Moment::now();
        let salt = salt_of(&outbound.request_id);
        let left = ask.time_left.unwrap_or(Duration::from_secs(1));
        let refuse =
            |cause, report| Err(Box::new((gateway.unavailable(cause, salt, left), report)));
        let fail = |status, cause, report| Err(Box::new((Refusal::new(status, cause), report)));
        let Some(catalog) = gateway.beliefs.catalog() else {
            return refuse("no configuration yet", report);
        };
        report.config_version = catalog.version();
        let age = gateway.beliefs.config_age(now).unwrap_or(Duration::MAX);
        report.config_age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let is_proven = gateway.beliefs.are_keys_proven(now);
        let host = outbound
            .headers
            .get(HOST)
            .and_then(|host| host.to_str().ok());
        let host = host.map_or("", |host| {
            host.rsplit_once(':').map_or(host, |(name, _)| name)
        });
        let path = outbound.target.split('?').next().unwrap_or("/");
        let Some(route) = catalog.route(host, path).cloned() else {
            if !is_proven {
                return refuse("configuration unproven", report);
            }
            return fail(StatusCode::NOT_FOUND, "no such route", report);
        };
        report.route.clone_from(&route.name);
        let mut team = None;
        if !route.is_public {
            if !is_proven {
                return refuse("configuration unproven", report);
            }
            let found = ask.key.as_deref().and_then(|key| catalog.team_of_key(key));
            let Some(found) = found else {
                return fail(StatusCode::UNAUTHORIZED, "unknown key", report);
            };
            team = Some(found.name.clone());
        }
        if outbound.request_id.is_empty() {
            return fail(StatusCode::BAD_REQUEST, "no request id", report);
        }
        if !gateway.takes(&route, now) {
            return refuse("node is stopping", report);
        }
        let Some(service_name) = pick_share(&route, salt) else {
            return refuse("route without service", report);
        };
        report.service.clone_from(&service_name);
        gateway.with_budget(&service_name, |budget| budget.request(now));
        let waits = ask
            .time_left
            .map_or(route.timeout, |left| left.min(route.timeout));
        Ok(Self {
            gateway: Arc::clone(gateway),
            service: catalog.service(&service_name).cloned(),
            deadline: report.began + waits,
            route,
            service_name,
            outbound,
            ask,
            team,
            salt,
            tried: Vec::new(),
            sends: 0,
            unreachable: 0,
            may_have_run: false,
            report,
        })
    }

    async fn run(mut self) -> Result<Response<Body>, Failed> {
        loop {
            let answered = match self.next_answer(None).await {
                Ok(answered) => answered,
                Err(refusal) => return Err(Box::new((refusal, self.report))),
            };
            let is_stream = self.route.repeat.is_stream() && answered.head.status.is_success();
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
                    let is_last = self.sends >= self.route.attempts || !self.take_budget();
                    if is_last {
                        return Err(self
                            .no_server("turned away by server")
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
        self.route.repeat.is_repeatable()
            && self.sends < self.route.attempts
            && self.time_left() > LEAST_TIME
            && self.take_budget()
    }

    fn take_budget(&self) -> bool {
        let nodes = self
            .gateway
            .nodes
            .get()
            .map_or(NODES_UNKNOWN, |count| count());
        let now = Moment::now();
        self.gateway
            .with_budget(&self.service_name, |budget| budget.take(now, nodes))
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

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn note(&self, result: &str) {
        self.gateway.meters.sent(&self.service_name, result);
    }

    /// A refusal for want of a server; it promises that nothing ran, so it holds only while that is certain.
    fn no_server(&self, cause: &'static str) -> Refusal {
        if self.may_have_run {
            return Refusal::new(StatusCode::BAD_GATEWAY, cause);
        }
        self.gateway.unavailable(cause, self.salt, self.time_left())
    }

    fn next_server(&mut self) -> Result<Target, Refusal> {
        if self.time_left() <= LEAST_TIME {
            let status = if self.may_have_run {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return Err(Refusal::new(status, "time is over"));
        }
        let (servers, list_version) = self.gateway.beliefs.servers();
        self.report.list_version = list_version;
        let now = Moment::now();
        let offered: Vec<&BackendServer> = servers
            .iter()
            .filter(|server| server.entry.service == self.service_name)
            .collect();
        let views: Vec<ServerView<'_>> = offered
            .iter()
            .map(|server| self.view(server, now))
            .collect();
        let work = Work {
            parts: &self.ask.parts,
            salt: self.salt,
        };
        let is_engine = self
            .service
            .as_ref()
            .is_some_and(|service| service.engine.is_some());
        if !is_engine && self.sends == 0 && !self.is_admitted(&views) {
            return Err(self.no_server("service full"));
        }
        let placement: &dyn Placement = if is_engine {
            &self.gateway.engines
        } else {
            &self.gateway.plain
        };
        let Some(choice) = placement.choose(&work, &views) else {
            return Err(self.no_server("no server"));
        };
        self.report.load = views[choice.at].load;
        self.report.passed_over = choice.passed_over;
        Ok(Target {
            server: offered[choice.at].clone(),
            copy_from: choice.copy_from.map(|at| offered[at].entry.address),
        })
    }

    /// Tells whether a plain call can still be answered in time, by how full its service usually is.
    fn is_admitted(&self, views: &[ServerView<'_>]) -> bool {
        let sound = || views.iter().filter(|view| !view.is_suspended);
        let load: f64 = sound().map(|view| view.usual_load).sum();
        let slots: u32 = sound().map(|view| view.slots).sum();
        let chance = f64::from(self.salt as u32) / f64::from(u32::MAX);
        slots == 0
            || self
                .gateway
                .admission
                .takes(load / f64::from(slots), chance)
    }

    fn view<'a>(&self, server: &'a BackendServer, now: Moment) -> ServerView<'a> {
        let standing = self.gateway.loads.standing(server, now);
        ServerView {
            id: &server.id,
            is_near: server.entry.data_centre == self.gateway.data_centre,
            slots: server.entry.slots,
            load: standing.load,
            usual_load: standing.usual,
            is_suspended: standing.is_aside,
            is_tried: self.tried.contains(&server.id),
            is_young: standing.is_young,
        }
    }

    async fn send_to(&mut self, target: &Target, resume_after: Option<u64>) -> Sent {
        let server = &target.server;
        self.tried.push(server.id.clone());
        self.report.servers.push(server.id.clone());
        self.sends += 1;
        let place = self.gateway.loads.begin(server);
        // Beliefs may have grown old since the request was admitted, above all on a machine that was suspended.
        let is_current = self
            .gateway
            .beliefs
            .is_usable(&server.id, server.entry.born_ms)
            && (self.route.is_public || self.gateway.beliefs.are_keys_proven(Moment::now()));
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
        if !self.route.repeat.is_repeatable() || self.sends >= self.route.attempts {
            return left;
        }
        let patience = (self.route.latency_target * PATIENCE_FACTOR).max(PATIENCE_LEAST);
        patience.min(left)
    }

    /// Time without an event after which a resumable stream goes on elsewhere.
    pub(super) fn stall_limit(&self) -> Option<Duration> {
        let is_resumable = self.route.repeat == Repeat::ResumableStream;
        let limit = (self.route.gap_target * PATIENCE_FACTOR).max(PATIENCE_LEAST);
        (is_resumable && self.sends < self.route.attempts).then_some(limit)
    }
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

fn pick_share(route: &Route, salt: u64) -> Option<String> {
    let total: u64 = route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    if total == 0 {
        return None;
    }
    let mut at = salt % total;
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if at < weight {
            return Some(share.service.clone());
        }
        at -= weight;
    }
    None
}
