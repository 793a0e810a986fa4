//! What the balancer and operators see of a gateway: readiness and metrics.

use super::handler::Gateway;
use crate::clock::Moment;
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

/// Serves the ready address and the metrics address.
pub(super) struct Pages {
    pub(super) gateway: Arc<Gateway>,
}

impl Pages {
    /// What keeps the node from serving, if anything.
    fn missing(&self) -> Option<&'static str> {
        let catalog = &self.gateway.catalog;
        if self.gateway.leaving_since.get().is_some() {
            return Some("leaving");
        }
        if catalog.configuration().is_none() {
            return Some("no configuration yet");
        }
        if catalog.servers().0.is_empty() {
            return Some("no servers yet");
        }
        if !catalog.are_keys_verified(Moment::now()) {
            return Some("configuration unproven");
        }
        None
    }

    fn metrics(&self) -> Vec<u8> {
        let now = Moment::now();
        let catalog = &self.gateway.catalog;
        let version = catalog
            .configuration()
            .map_or(0, |configuration| configuration.version());
        let meters = &self.gateway.meters;
        let servers = catalog.servers().0.len();
        meters.beliefs(
            version,
            catalog.config_age(now),
            catalog.list_age(now),
            servers,
        );
        meters.render()
    }
}

#[async_trait]
impl Handler for Pages {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let path = req.uri().path();
        let (status, text) = if path == self.gateway.dialect.ready_path() {
            match self.missing() {
                None => (StatusCode::OK, b"ready\n".to_vec()),
                Some(missing) => (StatusCode::SERVICE_UNAVAILABLE, missing.as_bytes().to_vec()),
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
