//! The pages on the operations address.

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

/// What a node still waits for before it is ready.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    waiting: Arc<Mutex<Vec<&'static str>>>,
}

impl Readiness {
    /// Starts with everything in `waiting` still missing.
    pub fn waiting_for(waiting: &[&'static str]) -> Self {
        Self {
            waiting: Arc::new(Mutex::new(waiting.to_vec())),
        }
    }

    /// Notes that `what` is there.
    pub fn reached(&self, what: &'static str) {
        self.lock().retain(|missing| *missing != what);
    }

    /// Notes that `what` is missing again.
    pub fn lost(&self, what: &'static str) {
        let mut waiting = self.lock();
        if !waiting.contains(&what) {
            waiting.push(what);
        }
    }

    /// Lists what is missing; empty where the node is ready.
    pub fn missing(&self) -> Vec<&'static str> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<&'static str>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves the operations address.
pub struct Pages {
    metrics: Arc<Metrics>,
    readiness: Readiness,
    status: Arc<dyn StatusSource>,
}

impl Pages {
    /// Makes the pages.
    pub fn new(metrics: Arc<Metrics>, readiness: Readiness, status: Arc<dyn StatusSource>) -> Self {
        Self {
            metrics,
            readiness,
            status,
        }
    }

    fn ready(&self) -> Response<Body> {
        let missing = self.readiness.missing();
        if missing.is_empty() {
            return page(StatusCode::OK, "ready\n");
        }
        let text = format!("waiting for {}\n", missing.join(", "));
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
