//! Answers of the gateway's own.

use crate::net::Body;
use crate::net::full_body;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use std::time::Duration;

/// Why a request gets no answer of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Refusal {
    /// Status that the caller sees; 503 and 429 promise that the request did not run and won't.
    pub(super) status: StatusCode,
    /// Cause, for logs, metrics and the caller.
    pub(super) cause: &'static str,
    /// More on the cause, for logs alone.
    pub(super) detail: String,
    /// When the caller may come back.
    pub(super) retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal without a time of return.
    pub(super) fn new(status: StatusCode, cause: &'static str) -> Self {
        Self {
            status,
            cause,
            detail: String::new(),
            retry_after: None,
        }
    }

    /// Adds more on the cause.
    pub(super) fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Adds a time of return.
    pub(super) fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Makes the answer; `mark` puts the request's own marks on its head.
    pub(super) fn to_response(&self, mark_headers: impl FnOnce(&mut HeaderMap)) -> Response<Body> {
        let mut response = Response::new(full_body(format!("{{\"error\":\"{}\"}}", self.cause)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        mark_headers(headers);
        response
    }
}
