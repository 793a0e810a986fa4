//! HTTP handler on the peer address that serves configuration to neighbours.

use super::neighbours::CONFIG_PATH;
use super::neighbours::MAC_HEADER;
use super::neighbours::mac_input;
use super::state::hex;
use super::state::unhex;
use super::store::Store;
use crate::border::generated::config::PeerConfig;
use crate::hop::mac;
use crate::net::Body;
use crate::net::Handler;
use crate::net::empty_body;
use crate::net::full_body;
use crate::operations::ControlKind;
use crate::operations::Metrics;
use crate::settings::DeploymentKey;
use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time that a request waits for a new record.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Handler that serves requests for configuration and passes all other requests to the next handler.
pub struct ConfigServer {
    store: Arc<Store>,
    key: DeploymentKey,
    metrics: Arc<Metrics>,
    next: Arc<dyn Handler>,
}

impl ConfigServer {
    pub(super) fn new(
        store: Arc<Store>,
        key: DeploymentKey,
        metrics: Arc<Metrics>,
        next: Arc<dyn Handler>,
    ) -> Self {
        Self {
            store,
            key,
            metrics,
            next,
        }
    }

    fn is_authentic(&self, req: &Request<Incoming>, request_target: &str) -> bool {
        let code = req.headers().get(MAC_HEADER);
        let code = code.and_then(|code| unhex(code.to_str().ok()?));
        code.is_some_and(|code| mac::is_valid(&self.key, request_target.as_bytes(), &code))
    }

    async fn wait_for_config(&self, query: &str) -> PeerConfig {
        let from = query_number(query, "from").unwrap_or(0);
        let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let mut rx = self.store.subscribe();
        let newer_state = rx.wait_for(|state| state.next_offset() > from);
        // If no new record arrives in time, the response contains no records.
        let _ = tokio::time::timeout(wait, newer_state).await;
        self.store.build_response(from)
    }
}

#[async_trait]
impl Handler for ConfigServer {
    async fn handle(&self, req: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        if req.uri().path() != CONFIG_PATH {
            return self.next.handle(req, peer).await;
        }
        let request_target = req.uri().path_and_query().map(ToString::to_string);
        let request_target = request_target.unwrap_or_default();
        if !self.is_authentic(&req, &request_target) {
            return empty_response(StatusCode::FORBIDDEN);
        }
        let config = self
            .wait_for_config(req.uri().query().unwrap_or_default())
            .await;
        let Ok(body) = serde_json::to_vec(&config) else {
            return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
        };
        self.metrics
            .add_control_bytes(ControlKind::Config, request_target.len() + body.len());
        let code = hex(&mac::code(&self.key, &mac_input(&request_target, &body)));
        let mut response = Response::new(full_body(body));
        if let Ok(code) = code.parse() {
            response.headers_mut().insert(MAC_HEADER, code);
        }
        response
    }
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
