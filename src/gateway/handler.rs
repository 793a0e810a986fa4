//! Receives callers' requests, processes each in an [`Exchange`], and turns refusals into responses.

use super::admission_stats::AdmissionStats;
use super::attempt::OutboundRequest;
use super::dialect::Dialect;
use super::dialect::RequestMetadata;
use super::exchange::Exchange;
use super::headers::remove_hop_by_hop;
use super::loads::ServerLoads;
use super::metrics::GatewayMetrics;
use super::pool::Pool;
use super::refusal::Refusal;
use super::report::RequestReport;
use super::response_memory::ResponseMemory;
use super::send_gate::SendGate;
use super::server_paths::ServerPaths;
use super::server_rates::ServerRates;
use super::team_demand::TeamDemand;
use crate::catalog::BackendServer;
use crate::catalog::Catalog;
use crate::catalog::Limits;
use crate::catalog::RetryMode;
use crate::catalog::Route;
use crate::clock::BootInstant;
use crate::decide::Admission;
use crate::decide::DrainPolicy;
use crate::decide::EnginePlacement;
use crate::decide::PlainPlacement;
use crate::decide::Regions;
use crate::decide::RetryBudget;
use crate::decide::RetryPolicy;
use crate::logs::Logs;
use crate::net::Body;
use crate::net::CollectError;
use crate::net::DEFAULT_HEAD_TIMEOUT;
use crate::net::Handler;
use crate::net::collect;
use crate::peers::StreamDirectory;
use crate::quarantine::Quarantine;
use crate::quarantine::TrialClaims;
use async_trait::async_trait;
use futures_util::FutureExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::sync::watch;

/// Maximum size of a request body until a configuration sets the limit.
const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Maximum time for which a caller's connection may be idle, whatever the configuration says.
const MAX_HEAD_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Number of nodes assumed to share a limit of the fleet before [`Gateway::node_count`] is set: the next planned size of
/// the fleet.
const ASSUMED_NODES: u32 = 100;

/// Settings that the operator may change while the gateway runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct RuntimeSettings {
    /// Limits on retries, for each service.
    pub(super) retry: RetryPolicy,
    /// The requests that are accepted while the node stops.
    pub(super) drain: DrainPolicy,
}

/// State shared by all tasks of a gateway.
pub(super) struct Gateway {
    /// Data centre of this node; servers in it count as near.
    pub(super) data_centre: String,
    /// Regions of the data centres, to which routes and teams may be bound.
    pub(super) regions: Regions,
    pub(super) catalog: Arc<Catalog>,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) logs: Logs,
    pub(super) metrics: Arc<GatewayMetrics>,
    pub(super) pool: Pool,
    /// Connects to servers.
    pub(super) paths: Arc<ServerPaths>,
    pub(super) loads: ServerLoads,
    /// Memory for responses that are read whole.
    pub(super) response_memory: ResponseMemory,
    /// Limits that servers name on their requests.
    pub(super) rates: ServerRates,
    /// Keeps requests from servers that may not get them.
    pub(super) gate: SendGate,
    /// What teams ask of services.
    pub(super) team_demand: TeamDemand,
    /// By service name, sorted.
    pub(super) retry_budgets: Mutex<Vec<(String, RetryBudget)>>,
    pub(super) runtime_settings: Mutex<RuntimeSettings>,
    pub(super) admission_stats: AdmissionStats,
    /// Returns the number of nodes that share the fixed part of the retry budget; unset until the peers have started.
    pub(super) node_count: OnceLock<Arc<dyn Fn() -> u32 + Send + Sync>>,
    /// Knows the software versions at which streams began; unset until the peers have started.
    pub(super) streams: OnceLock<Arc<dyn StreamDirectory>>,
    /// Knows the parts of prompts that crash servers.
    pub(super) quarantine: Arc<Quarantine>,
    /// Claims the requests that find out whether a held part still crashes servers.
    pub(super) trial_claims: TrialClaims,
    /// Chooses among the servers of an engine service.
    pub(super) engines: EnginePlacement,
    /// Chooses among the servers of a plain service.
    pub(super) plain: PlainPlacement,
    pub(super) admission: Admission,
    /// When the node was asked to stop.
    pub(super) stopping_since: OnceLock<BootInstant>,
    /// Whether the time for which the node serves after that is over, so that requests without an answer get a refusal.
    pub(super) has_ended_service: watch::Sender<bool>,
    /// Whether the node drops what is still open after that, which is streams that have begun.
    pub(super) has_stopped: Arc<AtomicBool>,
}

#[async_trait]
impl Handler for CallerHandler {
    fn head_timeout(&self) -> Duration {
        let configuration = self.0.catalog.configuration();
        let limits = configuration.map(|configuration| configuration.limits());
        // A value that can't be read is zero.
        let limits = limits.filter(|limits| !limits.idle_timeout.is_zero());
        limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| {
            let timeout = limits.idle_timeout.saturating_add(limits.header_timeout);
            timeout.min(MAX_HEAD_TIMEOUT)
        })
    }

    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let gateway = &self.0;
        let metadata = gateway.dialect.read_request(req.headers());
        let request_id = metadata.request_id.clone().unwrap_or_default();
        let responding = Arc::clone(gateway).respond(req, metadata, &request_id);
        // What a panic leaves behind is dropped; the state that requests share is consistent after each of its locks.
        match AssertUnwindSafe(responding).catch_unwind().await {
            Ok(response) => response,
            Err(_) => gateway.internal_error(&request_id),
        }
    }

    fn incomplete_response(&self, head: &Parts) -> Response<Body> {
        let gateway = &self.0;
        let metadata = gateway.dialect.read_response(head.status, &head.headers);
        let refusal = Refusal::new(StatusCode::BAD_GATEWAY, "answer incomplete");
        gateway.refuse(&refusal, metadata.request_id.as_deref().unwrap_or_default())
    }
}

/// Handles requests on the callers' address.
pub(super) struct CallerHandler(pub(super) Arc<Gateway>);

impl Gateway {
    /// Processes one request and returns its response. A refused request is reported here, any other by its exchange.
    async fn respond(
        self: Arc<Self>,
        req: Request<Incoming>,
        metadata: RequestMetadata,
        request_id: &str,
    ) -> Response<Body> {
        let mut report = RequestReport::new(&self, request_id, req.version());
        let result = match self.receive(req, metadata, request_id, &mut report).await {
            Ok((outbound, metadata)) => Exchange::prepare(&self, outbound, metadata, report),
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
        report.record_end(refusal.status, outcome, &cause);
        self.refuse(&refusal, request_id)
    }

    /// Returns the response to a request whose task panicked: it may have run.
    fn internal_error(&self, request_id: &str) -> Response<Body> {
        let refusal = Refusal::new(StatusCode::INTERNAL_SERVER_ERROR, "internal error");
        self.refuse(&refusal, request_id)
    }

    fn refuse(&self, refusal: &Refusal, request_id: &str) -> Response<Body> {
        refusal.to_response(|headers| self.dialect.set_own_response_headers(headers, request_id))
    }

    /// Reads a request with its whole body, so that the caller's connection can be reused even if the request is
    /// refused later.
    async fn receive(
        &self,
        req: Request<Incoming>,
        metadata: RequestMetadata,
        request_id: &str,
        report: &mut RequestReport,
    ) -> Result<(OutboundRequest, RequestMetadata), Refusal> {
        let limits = self
            .catalog
            .configuration()
            .map(|configuration| configuration.limits());
        let max_bytes = limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits: Limits| limits.body_bytes);
        let (head, body) = req.into_parts();
        let body = match collect(body, max_bytes).await {
            Ok(body) => body,
            Err(CollectError::TooLarge) => {
                return Err(Refusal::new(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "body too large",
                ));
            }
            Err(CollectError::Lost(err)) => {
                return Err(Refusal::new(StatusCode::BAD_REQUEST, "body incomplete")
                    .with_detail(err.to_string()));
            }
        };
        report.record_read();
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let target = target.to_owned();
        let mut headers = head.headers;
        remove_hop_by_hop(&mut headers);
        let outbound = OutboundRequest {
            method: head.method,
            target,
            headers,
            body,
            request_id: request_id.to_owned(),
        };
        Ok((outbound, metadata))
    }

    /// Returns whether a request of `route` that has `time_left` can be served before this node stops; `true` while it is not
    /// stopping.
    pub(super) fn accepts(&self, route: &Route, time_left: Duration, now: BootInstant) -> bool {
        self.stopping_since.get().is_none_or(|since| {
            let is_resumable = route.retry_mode == RetryMode::ResumableStream;
            let drain = self.runtime_settings().drain;
            drain.accepts(now.since(*since), is_resumable, time_left)
        })
    }

    /// Waits until the time for which the node serves is over.
    pub(super) async fn service_end(&self) {
        let mut has_ended = self.has_ended_service.subscribe();
        // Can't fail: the sender lives as long as `self`.
        let _ = has_ended.wait_for(|has_ended| *has_ended).await;
    }

    /// Returns whether `server` is expected to end, so that its end is no crash.
    pub(super) fn is_leaving(&self, server: &BackendServer, now: BootInstant) -> bool {
        let (listed, _) = self.catalog.listed();
        let index = listed.binary_search_by(|known| known.id.cmp(&server.id));
        // Some servers leave the list without having drained before, and end after that.
        let is_draining = index.map_or(true, |index| listed[index].entry.is_draining);
        is_draining || self.loads.is_closed(server, now)
    }

    /// Returns the number of gateways.
    pub(super) fn node_count(&self) -> u32 {
        self.node_count.get().map_or(ASSUMED_NODES, |count| count())
    }

    pub(super) fn runtime_settings(&self) -> RuntimeSettings {
        *self
            .runtime_settings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies new settings; retries already counted still count against the budgets.
    pub(super) fn set_runtime_settings(&self, settings: RuntimeSettings) {
        *self
            .runtime_settings
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = settings;
        let mut budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (_, budget) in budgets.iter_mut() {
            budget.set_policy(settings.retry);
        }
    }

    /// Calls `operation` with the retry budget of `service`, which is created if there is none yet.
    pub(super) fn with_retry_budget<T>(
        &self,
        service: &str,
        operation: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let index = match budgets.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let budget = RetryBudget::new(self.runtime_settings().retry);
                budgets.insert(index, (service.to_owned(), budget));
                index
            }
        };
        operation(&mut budgets[index].1)
    }
}
