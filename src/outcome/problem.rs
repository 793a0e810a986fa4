//! Builds the HTTP response for a refusal.

use super::OUTCOME_HEADER;
use super::Refusal;
use crate::net::Body;
use crate::net::full_body;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde::Serialize;
use std::time::Duration;

const PROBLEM_JSON: &str = "application/problem+json";

/// JSON body of a refusal, a problem detail as defined by RFC 9457.
#[derive(Serialize)]
struct Problem<'a> {
    r#type: &'static str,
    title: &'a str,
    status: u16,
    outcome: &'a str,
    reason: &'a str,
    request_id: &'a str,
}

/// Builds the response for a request that was not answered; `request` is the request's id.
pub fn problem_response(refusal: &Refusal, request: &str) -> Response<Body> {
    let status = refusal.status();
    let problem = Problem {
        r#type: "about:blank",
        title: status.canonical_reason().unwrap_or("refused"),
        status: status.as_u16(),
        outcome: refusal.outcome(),
        reason: refusal.reason(),
        request_id: request,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(refusal.outcome()));
    if let Some(wait) = refusal.retry_after() {
        headers.insert(RETRY_AFTER, HeaderValue::from(ceil_seconds(wait)));
    }
    response
}

/// Rounds up to whole seconds, at least one, because a caller that retries too early is rejected again.
fn ceil_seconds(wait: Duration) -> u64 {
    wait.as_millis().div_ceil(1_000).max(1) as u64
}
