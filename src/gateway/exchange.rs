//! Processes one caller's request: finds its route, has it answered by a server ([`super::failover`]), and passes the
//! answer on.

use super::attempt::OutboundRequest;
use super::choice::hash_request_id;
use super::choice::pick_service;
use super::crash_guard::CrashGuard;
use super::delivery::Delivery;
use super::delivery::WholeResponse;
use super::dialect::RequestMetadata;
use super::handler::Gateway;
use super::headers::remove_hop_by_hop;
use super::race::Race;
use super::refusal::Refusal;
use super::report::RequestReport;
use super::stream;
use super::stream::StreamKind;
use super::stream_record::BodyEnd;
use super::stream_version::StreamVersion;
use crate::catalog::Route;
use crate::catalog::Service;
use crate::clock::BootInstant;
use crate::decide::RetryAfter;
use crate::net::Body;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HOST;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time until the request's deadline for a send; with less, the response would come too late.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// A caller's request while it is being processed.
pub(super) struct Exchange {
    pub(super) gateway: Arc<Gateway>,
    pub(super) route: Route,
    /// `None` if the configuration has no service of that name.
    pub(super) service: Option<Service>,
    pub(super) service_name: String,
    pub(super) outbound: Arc<OutboundRequest>,
    pub(super) metadata: RequestMetadata,
    pub(super) team: Option<String>,
    /// Regions to which the team is bound; none if it may be served everywhere.
    pub(super) team_regions: Vec<String>,
    /// Hash of the request id, the same on every node; used for choices that must be spread evenly over requests.
    pub(super) salt: u64,
    /// Software version that servers of the stream must have.
    pub(super) stream_version: StreamVersion,
    /// Whether a record tells the version of the stream that the caller resumes.
    pub(super) has_stream_record: bool,
    /// What answers must be to go on with the stream that the caller gets; `None` before it has begun.
    pub(super) stream_kind: Option<StreamKind>,
    /// End of the time that the caller announced or of the route's timeout, whichever is earlier.
    pub(super) deadline: Instant,
    /// Rank of the team, or of the route if the team has none; 0 is the most urgent.
    pub(super) rank: u8,
    /// Servers that the request was sent to, which count against the route's maximum number of attempts; those that it
    /// did not reach don't.
    pub(super) sends: u32,
    /// Servers whose sends were closed because another was answered. The request may be sent to them again.
    pub(super) released: Vec<String>,
    /// Sends that did not reach the chosen server.
    pub(super) undelivered_sends: u32,
    /// When the retry was taken from the budget for which a server is being chosen.
    pub(super) unused_retry: Option<BootInstant>,
    /// Whether a server may have started to run the request.
    pub(super) may_have_run: bool,
    pub(super) crash_guard: CrashGuard,
    pub(super) report: RequestReport,
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
            report.stream.after = resumed_stream.last_event_id;
            report.first_attempt = resumed_stream.first_attempt.clone().unwrap_or_default();
        }
        let mut team = None;
        let mut team_regions = Vec::new();
        let mut rank = route.priority;
        // Also without keys: a newer version may ask for them.
        if !route.is_public && !is_verified {
            return refuse_temporarily("configuration unproven", report);
        }
        if configuration.needs_key(&route) {
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
            team_regions.clone_from(&found.allowed_regions);
        }
        if outbound.request_id.is_empty() {
            return refuse_with_status(StatusCode::BAD_REQUEST, "no request id", report);
        }
        let timeout = metadata
            .time_left
            .map_or(route.timeout, |announced| announced.min(route.timeout));
        let deadline = report.started_at + timeout;
        let left = deadline.saturating_duration_since(Instant::now());
        if !gateway.accepts(&route, left, now) {
            return refuse_temporarily("node is stopping", report);
        }
        report.is_caller_retry = gateway
            .admission_stats
            .detect_retry(&route.name, metadata.time_left);
        // A stream goes on at the service that began it.
        let resumed_stream = metadata.resumed_stream.as_ref();
        let first_attempt = resumed_stream.and_then(|resumed| resumed.first_attempt.as_deref());
        let drawn_by = first_attempt.map_or(salt, hash_request_id);
        let Some(service_name) = pick_service(&route, drawn_by) else {
            return refuse_temporarily("route without service", report);
        };
        report.service.clone_from(&service_name);
        gateway.with_retry_budget(&service_name, |budget| budget.record_request(now));
        gateway
            .team_demand
            .record(&service_name, team.as_deref(), now);
        report.time_limit = Some(timeout);
        Ok(Self {
            gateway: Arc::clone(gateway),
            service: configuration.service(&service_name).cloned(),
            deadline,
            route,
            service_name,
            outbound: Arc::new(outbound),
            team,
            team_regions,
            salt,
            stream_version: StreamVersion::Any,
            has_stream_record: false,
            stream_kind: None,
            rank,
            sends: 0,
            released: Vec::new(),
            undelivered_sends: 0,
            unused_retry: None,
            may_have_run: false,
            crash_guard: CrashGuard::new(&metadata.parts),
            metadata,
            report,
        })
    }

    pub(super) async fn run(mut self) -> Result<Response<Body>, FailedExchange> {
        let gateway = Arc::clone(&self.gateway);
        let delivery = tokio::select! {
            biased;
            delivery = self.first_delivery() => delivery,
            () = gateway.service_end() => {
                self.may_have_run |= self.sends > 0;
                Err(self.no_server_refusal("gateway stopped"))
            }
        };
        match delivery {
            Ok(Delivery::Stream(server_stream, events)) => {
                Ok(stream::pass_on(self, server_stream, events))
            }
            Ok(Delivery::Whole(response)) => Ok(self.pass_on(*response)),
            Err(refusal) => Err(Box::new((refusal, self.report))),
        }
    }

    /// Returns the whole response, or the first events of a stream.
    async fn first_delivery(&mut self) -> Result<Delivery, Refusal> {
        self.resolve_stream_version().await?;
        self.next_delivery(None, Race::default()).await
    }

    /// Passes on a whole response.
    fn pass_on(mut self, response: WholeResponse) -> Response<Body> {
        let WholeResponse { mut head, body } = response;
        self.record_response_time();
        self.record_whole_answer();
        if head.status.is_success() {
            self.record_progress();
            self.record_sound();
        }
        remove_hop_by_hop(&mut head.headers);
        self.report.record_first_byte();
        let outcome = if head.status.is_server_error() {
            "server failed"
        } else {
            "answered"
        };
        self.report.record_end(head.status, outcome, "");
        let body = body.map_err(|never| match never {});
        self.report.record_framing(BodyEnd::Length);
        Response::from_parts(head, body.boxed_unsync())
    }

    /// Records the time from the send whose answer is passed on until now; called when the response is complete.
    pub(super) fn record_response_time(&self) {
        if let Some(sent) = self.crash_guard.sent() {
            self.gateway.admission_stats.record_response_time(
                &self.service_name,
                BootInstant::now().since(sent.at),
                sent.load_per_slot,
            );
        }
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
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
    pub(super) fn unserved_refusal(&self, cause: &'static str, retry_after: RetryAfter) -> Refusal {
        if self.may_have_run {
            return Refusal::new(StatusCode::BAD_GATEWAY, cause);
        }
        unavailable_refusal(cause, retry_after.delay(self.salt, self.time_left()))
    }
}

fn unavailable_refusal(cause: &'static str, retry_after: Duration) -> Refusal {
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, cause).with_retry_after(retry_after)
}

/// Returns a refusal of a request that this node can't serve but another node may be able to.
fn other_node_refusal(cause: &'static str, salt: u64, time_left: Duration) -> Refusal {
    unavailable_refusal(cause, RetryAfter::OTHER_NODE.delay(salt, time_left))
}
