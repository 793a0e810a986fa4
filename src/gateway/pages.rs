//! HTTP endpoints for readiness probes and metrics.

use super::handler::Gateway;
use crate::clock::BootInstant;
use crate::net::Body;
use crate::net::Handler;
use crate::net::full_body;
use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;

/// Handles requests on the readiness address and the metrics address.
pub(super) struct Pages {
    pub(super) gateway: Arc<Gateway>,
}

impl Pages {
    /// Returns the reason why the node is not ready, or `None` if it is ready.
    fn not_ready_reason(&self) -> Option<&'static str> {
        let catalog = &self.gateway.catalog;
        if self.gateway.stopping_since.get().is_some() {
            return Some("leaving");
        }
        if catalog.configuration().is_none() {
            return Some("no configuration yet");
        }
        if catalog.servers().0.is_empty() {
            return Some("no servers yet");
        }
        if !catalog.are_keys_verified(BootInstant::now()) {
            return Some("configuration unproven");
        }
        None
    }

    fn metrics(&self) -> Vec<u8> {
        let now = BootInstant::now();
        let catalog = &self.gateway.catalog;
        let version = catalog
            .configuration()
            .map_or(0, |configuration| configuration.version());
        let metrics = &self.gateway.metrics;
        let servers = catalog.servers().0.len();
        metrics.record_catalog(
            version,
            catalog.config_age(now),
            catalog.list_age(now),
            servers,
        );
        metrics.render()
    }
}

#[async_trait]
impl Handler for Pages {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let path = req.uri().path();
        let (status, text) = if path == self.gateway.dialect.ready_path() {
            match self.not_ready_reason() {
                None => (StatusCode::OK, b"ready\n".to_vec()),
                Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason.as_bytes().to_vec()),
            }
        } else if path == "/metrics" {
            (StatusCode::OK, self.metrics())
        } else {
            (StatusCode::NOT_FOUND, b"no such page\n".to_vec())
        };
        let mut response = Response::new(full_body(text));
        *response.status_mut() = status;
        response
    }
}
