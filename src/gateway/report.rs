//! Writes one log line and the metrics of a request when it has ended.

use super::dialect::RateLimitNotice;
use super::handler::Gateway;
use super::metrics::GatewayMetrics;
use super::stream_record::BodyEnd;
use super::stream_record::StreamRecord;
use crate::decide::PartId;
use crate::decide::PromptPart;
use crate::logs::Logs;
use crate::logs::RequestOutcome;
use hyper::StatusCode;
use hyper::Version;
use slog::info;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// The data for a request's log line and metrics, which are written when this is dropped.
pub(super) struct RequestReport {
    logs: Logs,
    metrics: Arc<GatewayMetrics>,
    request_id: String,
    pub(super) route: String,
    pub(super) service: String,
    pub(super) servers: Vec<String>,
    /// Name of the gateway that carries the request, for each of `servers` in the same order; unset where none does.
    pub(super) helpers: Vec<Arc<OnceLock<String>>>,
    /// Software versions of `servers`, in the same order; empty text where the version is unknown.
    pub(super) software_versions: Vec<String>,
    /// Parts of the prompt, in order; only the line of a request that failed names them.
    pub(super) parts: Vec<PromptPart>,
    /// What identifies the whole request; set where it broke off, so that its repeats can be found.
    pub(super) whole: Option<PartId>,
    /// Whether the request resumes the stream of an earlier attempt.
    pub(super) resumes_stream: bool,
    /// Id of the attempt whose stream the request resumes; empty if it resumes none or doesn't name it.
    pub(super) first_attempt: String,
    /// By what the software version of the resumed stream is known; empty if the request resumes none or it is not known.
    pub(super) version_proof: String,
    /// Software version that was recorded for the stream that the request began, empty where it is not known; `None` if
    /// nothing was recorded.
    pub(super) recorded_version: Option<String>,
    pub(super) is_caller_retry: bool,
    /// Version of HTTP in which the caller sent the request.
    caller_version: Version,
    /// What tells the caller that its answer is complete; `None` for a refusal.
    framing: Option<BodyEnd>,
    /// Load of the server that was chosen last.
    pub(super) load: u32,
    /// Number of homes of the prompt part that rank before the server that was chosen last.
    pub(super) passed_over: usize,
    /// Number of servers that were passed over at the last choice because of their limits.
    pub(super) over_limit: u32,
    pub(super) config_version: u64,
    pub(super) config_age_ms: u64,
    pub(super) list_version: u64,
    /// Requests a second that the server that answered last takes from all gateways; `None` if it names no limit.
    rate_limit: Option<f64>,
    pub(super) started_at: Instant,
    /// Time from the receipt of the request to its deadline; `None` if it was refused before it had one.
    pub(super) time_limit: Option<Duration>,
    /// Milliseconds until the response could be passed on: the whole response, or the first events of a stream.
    first_ms: Option<u64>,
    /// The events that were passed on, if the answer is a stream.
    pub(super) stream: StreamRecord,
    resumes: u32,
    status: u16,
    outcome: &'static str,
    cause: String,
    /// Whether the request has been read with its whole body.
    is_read: bool,
    /// Whether the gateway has stopped and drops its requests.
    has_gateway_stopped: Arc<AtomicBool>,
}

impl RequestReport {
    pub(super) fn new(gateway: &Gateway, request_id: &str, caller_version: Version) -> Self {
        gateway.metrics.record_start();
        Self {
            logs: gateway.logs.clone(),
            metrics: Arc::clone(&gateway.metrics),
            request_id: request_id.to_owned(),
            route: String::new(),
            service: String::new(),
            servers: Vec::new(),
            helpers: Vec::new(),
            software_versions: Vec::new(),
            parts: Vec::new(),
            whole: None,
            resumes_stream: false,
            first_attempt: String::new(),
            version_proof: String::new(),
            recorded_version: None,
            is_caller_retry: false,
            caller_version,
            framing: None,
            load: 0,
            passed_over: 0,
            over_limit: 0,
            config_version: 0,
            config_age_ms: 0,
            list_version: 0,
            rate_limit: None,
            started_at: Instant::now(),
            time_limit: None,
            first_ms: None,
            stream: StreamRecord::default(),
            resumes: 0,
            status: 0,
            outcome: "left",
            cause: "caller left".to_owned(),
            is_read: false,
            has_gateway_stopped: Arc::clone(&gateway.has_stopped),
        }
    }

    /// Records that the request has been read with its whole body, so that its caller is owed an answer or a refusal.
    pub(super) fn record_read(&mut self) {
        self.started_at = self.started_at.min(Instant::now());
        self.is_read = true;
        self.metrics.record_read();
    }

    /// Records how the request ended. If this is not called, the report says that the caller disconnected or, if it is
    /// dropped by a panic or after the gateway has stopped, that the answer was cut off.
    pub(super) fn record_end(&mut self, status: StatusCode, outcome: &'static str, cause: &str) {
        self.status = status.as_u16();
        self.outcome = outcome;
        cause.clone_into(&mut self.cause);
    }

    /// Records the time until the response could be passed on: the whole response, or the first events of a stream.
    pub(super) fn record_first_byte(&mut self) {
        let time = self.started_at.elapsed();
        self.first_ms = Some(time.as_millis() as u64);
        self.metrics.record_latency(&self.route, time);
    }

    /// Returns whether the caller gets its answer only when that is complete, because its version of HTTP has no chunks.
    pub(super) fn is_collected(&self) -> bool {
        self.caller_version < Version::HTTP_11
    }

    /// Records what tells the caller that its answer is complete: `framing`, unless the answer is collected.
    pub(super) fn record_framing(&mut self, framing: BodyEnd) {
        self.framing = Some(if self.is_collected() {
            BodyEnd::Length
        } else {
            framing
        });
    }

    /// Records the limit that a server's answer names.
    pub(super) fn record_rate_limit(&mut self, notice: RateLimitNotice) {
        self.rate_limit = match notice {
            RateLimitNotice::PerSecond(limit) => Some(limit),
            RateLimitNotice::Unlimited | RateLimitNotice::Unreadable => None,
        };
    }

    /// Records that a stream was resumed at another server.
    pub(super) fn record_resume(&mut self) {
        self.resumes += 1;
    }
}

impl Drop for RequestReport {
    fn drop(&mut self) {
        if self.outcome == "left" && std::thread::panicking() {
            self.outcome = "cut off";
            self.cause = "panic".to_owned();
        } else if self.outcome == "left" && self.has_gateway_stopped.load(Ordering::Relaxed) {
            self.outcome = "cut off";
            self.cause = "gateway stopped".to_owned();
        }
        let metric_cause = if self.outcome == "answered" {
            ""
        } else {
            cause_label(&self.cause)
        };
        self.metrics
            .record_end(&self.route, self.outcome, metric_cause);
        let outcome = if self.outcome == "answered" {
            RequestOutcome::Success
        } else {
            RequestOutcome::Failure
        };
        let parts = if self.outcome == "answered" {
            String::new()
        } else {
            format_parts(&self.parts)
        };
        let helpers = self.helpers.iter();
        let helpers: Vec<&str> = helpers
            .map(|helper| helper.get().map_or("", String::as_str))
            .collect();
        let whole = self.whole.map(|id| format!("{id:x}"));
        let framing = self.framing.map_or("", BodyEnd::as_str);
        let Some(log) = self.logs.request_logger(outcome) else {
            return;
        };
        info!(log, "request"; "request" => &self.request_id, "route" => &self.route,
            "service" => &self.service, "servers" => self.servers.join(","),
            "helpers" => helpers.join(","), "versions" => self.software_versions.join(","), "parts" => parts, "whole" => whole, "resumes" => self.resumes_stream,
            "first_attempt" => &self.first_attempt, "version_by" => &self.version_proof, "recorded" => self.recorded_version.as_deref(),
            "return" => self.is_caller_retry,
            "load" => self.load, "passed_over" => self.passed_over,
            "limit" => self.rate_limit, "over_limit" => self.over_limit,
            "config" => self.config_version, "config_age_ms" => self.config_age_ms,
            "list" => self.list_version, "first_ms" => self.first_ms, "after" => self.stream.after, "pieces" => self.stream.pieces(),
            "unnumbered" => self.stream.unnumbered(), "gaps" => self.stream.gaps(), "ended_by" => self.stream.end(),
            "http" => ?self.caller_version, "framing" => framing, "last_event" => self.stream.last_id(), "resumed" => self.resumes, "read" => self.is_read,
            "limit_ms" => self.time_limit.map(|limit| limit.as_millis() as u64),
            "ms" => self.started_at.elapsed().as_millis() as u64,
            "status" => self.status, "outcome" => self.outcome, "cause" => &self.cause);
    }
}

/// Returns the ids of prompt parts in hexadecimal, separated by commas.
fn format_parts(parts: &[PromptPart]) -> String {
    let ids: Vec<String> = parts.iter().map(|part| format!("{:x}", part.id)).collect();
    ids.join(",")
}

/// Returns the part of a cause before its details, which has few distinct values and so can be a metric label.
fn cause_label(cause: &str) -> &str {
    cause.split_once(':').map_or(cause, |(label, _)| label)
}
