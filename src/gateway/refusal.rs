//! Responses that the gateway itself sends when a request is not served.

use crate::net::Body;
use crate::net::full_body;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use std::time::Duration;

/// The reason why a request gets no response from a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Refusal {
    /// Status of the response to the caller; 503 and 429 promise that the request did not run and will not run.
    pub(super) status: StatusCode,
    /// Cause for the log, the metrics and the response body; has few distinct values.
    pub(super) cause: &'static str,
    /// Details of the cause, for the log only.
    pub(super) detail: String,
    /// Delay after which the caller may retry.
    pub(super) retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry-after delay.
    pub(super) fn new(status: StatusCode, cause: &'static str) -> Self {
        Self {
            status,
            cause,
            detail: String::new(),
            retry_after: None,
        }
    }

    /// Sets the details for the log.
    pub(super) fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Sets the retry-after delay.
    pub(super) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Builds the response; `add_headers` adds the headers that identify the request.
    pub(super) fn to_response(&self, add_headers: impl FnOnce(&mut HeaderMap)) -> Response<Body> {
        let mut response = Response::new(full_body(format!("{{\"error\":\"{}\"}}", self.cause)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(retry_after) = self.retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        add_headers(headers);
        response
    }
}
