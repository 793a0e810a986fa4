//! Builds callers' responses and records how their requests end.

use super::caller::HINT_HEADER;
use super::tracked_body::CacheUse;
use super::tracked_body::TrackedBody;
use crate::border::REQUEST_ID_HEADER;
use crate::net::Body;
use crate::operations::Metrics;
use crate::outcome::OUTCOME_HEADER;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::outcome::problem_response;
use crate::owner::Answer;
use crate::timeline::Event;
use crate::timeline::EventKind;
use crate::timeline::Timeline;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use std::sync::Arc;
use std::time::Instant;

/// Records one request in metrics and timeline, from its arrival until its answer is sent or the caller disconnects.
pub(super) struct RequestTracker {
    metrics: Arc<Metrics>,
    timeline: Arc<Timeline>,
    request: String,
    received_at: Instant,
    /// Outcome recorded on drop. Unless it is set before, the caller disconnected before the end of the answer.
    outcome: &'static str,
    /// Reason recorded with the outcome; empty for a complete answer.
    reason: &'static str,
}

impl RequestTracker {
    /// Starts tracking a request.
    pub(super) fn begin(metrics: Arc<Metrics>, timeline: Arc<Timeline>, request: &str) -> Self {
        metrics.record_request_start();
        timeline.event(Event::new(EventKind::RequestReceived).request(request));
        Self {
            metrics,
            timeline,
            request: request.to_owned(),
            received_at: Instant::now(),
            outcome: "unknown",
            reason: "caller-gone",
        }
    }

    /// Builds the caller's response; tracking goes on until its body is sent.
    pub(super) fn respond(mut self, answer: Result<Answer, Refusal>) -> Response<Body> {
        let request = self.request.clone();
        let mut response = match answer {
            Ok(answer) => answer_response(answer, self),
            Err(refusal) => {
                self.outcome = refusal.outcome();
                self.reason = refusal.reason();
                problem_response(&refusal, &request)
            }
        };
        if let Ok(value) = HeaderValue::from_str(&request) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }

    /// Records that the first byte of the body is sent.
    pub(super) fn record_first_byte(&self) {
        self.metrics.record_first_byte(self.received_at.elapsed());
    }

    /// Records that the complete answer was sent.
    pub(super) fn record_answered(&mut self, cache_use: Option<CacheUse>) {
        self.outcome = "answered";
        self.reason = "";
        if let Some(cache_use) = cache_use {
            self.metrics
                .record_prompt_tokens(cache_use.prompt, cache_use.cached);
        }
    }

    /// Records that the answer ended early.
    pub(super) fn record_broken(&mut self) {
        self.outcome = "unknown";
        self.reason = Unknown::Truncated.as_str();
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        self.metrics.record_request_end(self.outcome, self.reason);
        let ended = Event::new(EventKind::RequestEnded)
            .request(&self.request)
            .detail(if self.reason.is_empty() {
                self.outcome
            } else {
                self.reason
            })
            .took(self.received_at.elapsed());
        self.timeline.event(ended);
    }
}

fn answer_response(answer: Answer, tracker: RequestTracker) -> Response<Body> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(TrackedBody::wrap(answer.body, tracker));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static("answered"));
    let texts = [
        (CONTENT_TYPE.as_str(), answer.content_type),
        (HINT_HEADER, answer.hint),
    ];
    for (name, text) in texts {
        let value = text.and_then(|text| HeaderValue::from_str(&text).ok());
        if let Some(value) = value {
            headers.insert(name, value);
        }
    }
    response
}
