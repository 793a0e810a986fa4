//! The HTTP pages that a node serves on its operations address.

use super::Metrics;
use crate::config::StatusSource;
use crate::net::Body;
use crate::net::Handler;
use crate::net::full_body;
use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// The conditions that a node still has to meet before it is ready. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    unmet: Arc<Mutex<Vec<&'static str>>>,
}

impl Readiness {
    /// Creates the readiness of a node that meets none of `conditions` yet.
    pub fn with_unmet(conditions: &[&'static str]) -> Self {
        Self {
            unmet: Arc::new(Mutex::new(conditions.to_vec())),
        }
    }

    /// Records that `condition` is met.
    pub fn set_met(&self, condition: &'static str) {
        self.lock().retain(|unmet| *unmet != condition);
    }

    /// Records that `condition` is not met, or no longer.
    pub fn set_unmet(&self, condition: &'static str) {
        let mut unmet = self.lock();
        if !unmet.contains(&condition) {
            unmet.push(condition);
        }
    }

    /// Returns the conditions that are not met. The node is ready if there are none.
    pub fn unmet(&self) -> Vec<&'static str> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<&'static str>> {
        self.unmet.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handles requests to the operations address.
pub struct Pages {
    metrics: Arc<Metrics>,
    readiness: Readiness,
    status: Arc<dyn StatusSource>,
}

impl Pages {
    /// Creates the handler.
    pub fn new(metrics: Arc<Metrics>, readiness: Readiness, status: Arc<dyn StatusSource>) -> Self {
        Self {
            metrics,
            readiness,
            status,
        }
    }

    fn ready(&self) -> Response<Body> {
        let unmet = self.readiness.unmet();
        if unmet.is_empty() {
            return page(StatusCode::OK, "ready\n");
        }
        let text = format!("waiting for {}\n", unmet.join(", "));
        page(StatusCode::SERVICE_UNAVAILABLE, text)
    }
}

#[async_trait]
impl Handler for Pages {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        match req.uri().path() {
            "/live" => page(StatusCode::OK, "live\n"),
            "/ready" => self.ready(),
            "/status" => json(&self.status.status()),
            "/objects" => json(&self.status.objects()),
            "/metrics" => page(StatusCode::OK, self.metrics.render()),
            _ => page(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(json) => page(StatusCode::OK, json),
        Err(err) => page(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
    }
}

fn page(status: StatusCode, text: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
