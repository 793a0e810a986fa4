//! Asks other nodes for configuration, authenticated both ways by the deployment's key.

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

/// Path of the question on the peer address.
pub(super) const CONFIG_PATH: &str = "/config";
/// Header that carries the code that authenticates a question or an answer.
pub(super) const MAC_HEADER: &str = "cb-mac";
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a neighbour gave no configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum NeighbourError {
    /// It did not answer in time, or refused.
    Unavailable(String),
    /// Its answer is not that of a node of this deployment, or can't be read.
    Malformed,
}

/// Where a node asks its neighbours for configuration.
#[async_trait]
pub(super) trait Neighbours: Send + Sync {
    /// Asks `node` for everything from offset `from` on; the answer may wait up to `wait` for something new.
    async fn ask(
        &self,
        node: &Node,
        from: u64,
        wait: Duration,
    ) -> Result<PeerConfig, NeighbourError>;
}

/// Neighbours over HTTP/2 on the peer address.
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

    async fn read(
        &self,
        question: &str,
        response: Response<Incoming>,
    ) -> Result<PeerConfig, NeighbourError> {
        if !response.status().is_success() {
            let status = response.status().to_string();
            return Err(NeighbourError::Unavailable(status));
        }
        let code = response.headers().get(MAC_HEADER).cloned();
        let code = code.and_then(|code| unhex(code.to_str().ok()?));
        let body = collect(response.into_body(), MAX_ANSWER_BYTES)
            .await
            .map_err(|err| NeighbourError::Unavailable(format!("{err:?}")))?;
        self.metrics
            .add_control_bytes(ControlKind::Config, question.len() + body.len());
        let signed = answer_text(question, &body);
        if !code.is_some_and(|code| mac::is_valid(&self.key, &signed, &code)) {
            return Err(NeighbourError::Malformed);
        }
        serde_json::from_slice(&body).map_err(|_| NeighbourError::Malformed)
    }

    async fn fetch(
        &self,
        node: &Node,
        from: u64,
        wait: Duration,
    ) -> Result<PeerConfig, NeighbourError> {
        // The id makes every question another one, so that no old answer passes for a new one.
        let id = Uuid::new_v4();
        let wait_ms = wait.as_millis();
        let question = format!("{CONFIG_PATH}?from={from}&wait_ms={wait_ms}&id={id}");
        let code = hex(&mac::code(&self.key, question.as_bytes()));
        let req = Request::get(format!("http://{}{question}", node.address))
            .header(MAC_HEADER, code)
            .body(empty_body())
            .map_err(|err| NeighbourError::Unavailable(err.to_string()))?;
        let response = self.client.send(req, wait + self.timeout).await;
        let response = response.map_err(|err| NeighbourError::Unavailable(format!("{err:?}")))?;
        self.read(&question, response).await
    }
}

#[async_trait]
impl Neighbours for HttpNeighbours {
    async fn ask(
        &self,
        node: &Node,
        from: u64,
        wait: Duration,
    ) -> Result<PeerConfig, NeighbourError> {
        tokio::time::timeout(wait + self.timeout, self.fetch(node, from, wait))
            .await
            .unwrap_or_else(|_| Err(NeighbourError::Unavailable("timeout".to_owned())))
    }
}

/// Gives what the code of an answer is made over: the answer with its question.
pub(super) fn answer_text(question: &str, body: &[u8]) -> Vec<u8> {
    let mut text = question.as_bytes().to_vec();
    text.push(0);
    text.extend_from_slice(body);
    text
}
