//! Client that requests configuration from other nodes, called neighbours here. Requests and responses are
//! authenticated with the deployment's key.

use super::state::hex;
use super::state::unhex;
use crate::border::generated::config::PeerConfig;
use crate::hop::mac;
use crate::membership::Node;
use crate::net::Client;
use crate::net::collect;
use crate::net::empty_body;
use crate::operations::ControlKind;
use crate::operations::Metrics;
use crate::settings::DeploymentKey;
use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use uuid::Uuid;

/// Path of the request on the peer address.
pub(super) const CONFIG_PATH: &str = "/config";
/// Header with the message authentication code of a request or response, in hex.
pub(super) const MAC_HEADER: &str = "cb-mac";
/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Reason why configuration could not be fetched from a neighbour.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum NeighbourError {
    /// The neighbour did not respond in time, could not be reached, or refused the request.
    Unavailable(String),
    /// The response was not authenticated by a node of this deployment, or could not be parsed.
    Malformed,
}

/// Fetches configuration from neighbours; tests replace it with a fake.
#[async_trait]
pub(super) trait Neighbours: Send + Sync {
    /// Requests from `node` all records from offset `from` on. If there are none yet, the node may wait up to `wait`
    /// for a new record before it responds.
    async fn fetch_config(
        &self,
        node: &Node,
        from: u64,
        wait: Duration,
    ) -> Result<PeerConfig, NeighbourError>;
}

/// Client for neighbours over HTTP/2 on their peer address.
pub(super) struct HttpNeighbours {
    client: Client,
    key: DeploymentKey,
    timeout: Duration,
    metrics: Arc<Metrics>,
}

impl HttpNeighbours {
    pub(super) fn new(
        client: Client,
        key: DeploymentKey,
        timeout: Duration,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            client,
            key,
            timeout,
            metrics,
        }
    }

    async fn read_response(
        &self,
        request_target: &str,
        response: Response<Incoming>,
    ) -> Result<PeerConfig, NeighbourError> {
        if !response.status().is_success() {
            let status = response.status().to_string();
            return Err(NeighbourError::Unavailable(status));
        }
        let code = response.headers().get(MAC_HEADER).cloned();
        let code = code.and_then(|code| unhex(code.to_str().ok()?));
        let body = collect(response.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(|err| NeighbourError::Unavailable(format!("{err:?}")))?;
        self.metrics
            .add_control_bytes(ControlKind::Config, request_target.len() + body.len());
        let signed = mac_input(request_target, &body);
        if !code.is_some_and(|code| mac::is_valid(&self.key, &signed, &code)) {
            return Err(NeighbourError::Malformed);
        }
        serde_json::from_slice(&body).map_err(|_| NeighbourError::Malformed)
    }

    async fn send_request(
        &self,
        node: &Node,
        from: u64,
        wait: Duration,
    ) -> Result<PeerConfig, NeighbourError> {
        // The code of a response covers the request, so a random id in each request keeps an old response from being
        // replayed as the response to a new request.
        let id = Uuid::new_v4();
        let wait_ms = wait.as_millis();
        let request_target = format!("{CONFIG_PATH}?from={from}&wait_ms={wait_ms}&id={id}");
        let code = hex(&mac::code(&self.key, request_target.as_bytes()));
        let req = Request::get(format!("http://{}{request_target}", node.address))
            .header(MAC_HEADER, code)
            .body(empty_body())
            .map_err(|err| NeighbourError::Unavailable(err.to_string()))?;
        let response = self.client.send(req, wait + self.timeout).await;
        let response = response.map_err(|err| NeighbourError::Unavailable(format!("{err:?}")))?;
        self.read_response(&request_target, response).await
    }
}

#[async_trait]
impl Neighbours for HttpNeighbours {
    async fn fetch_config(
        &self,
        node: &Node,
        from: u64,
        wait: Duration,
    ) -> Result<PeerConfig, NeighbourError> {
        tokio::time::timeout(wait + self.timeout, self.send_request(node, from, wait))
            .await
            .unwrap_or_else(|_| Err(NeighbourError::Unavailable("timeout".to_owned())))
    }
}

/// Returns the bytes that the authentication code of a response covers: the request target, a zero byte and the body.
pub(super) fn mac_input(request_target: &str, body: &[u8]) -> Vec<u8> {
    let mut text = request_target.as_bytes().to_vec();
    text.push(0);
    text.extend_from_slice(body);
    text
}
