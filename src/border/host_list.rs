//! The platform's host list.

use super::generated::platform::HostList;
use crate::net::Client;
use crate::net::collect;
use crate::net::empty_body;
use crate::operations::ControlKind;
use crate::operations::Metrics;
use async_trait::async_trait;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::IF_NONE_MATCH;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest host list that is read, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Bytes that the heads of a question and its answer take, about.
const HEADS_BYTES: usize = 250;

/// Why there is no host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostListError {
    /// The platform can't be reached or refuses.
    Unavailable(String),
    /// Its answer can't be understood.
    Malformed(String),
}

/// The platform's list of live and leaving hosts, which lags behind reality.
#[async_trait]
pub trait HostListSource: Send + Sync {
    /// Asks for the whole list, or for nothing where it is still that of the version `known`.
    ///
    /// # Errors
    ///
    /// Tells whether the platform or its answer is at fault.
    async fn hosts(&self, known: Option<u64>) -> Result<Option<HostList>, HostListError>;
}

/// The host list over HTTP.
pub struct HttpHostList {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
    metrics: Arc<Metrics>,
}

impl HttpHostList {
    /// Makes an adapter for the list at `address`; nothing is sent yet.
    pub fn new(
        client: Client,
        address: SocketAddr,
        timeout: Duration,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            client,
            address,
            timeout,
            metrics,
        }
    }

    async fn fetch(&self, known: Option<u64>) -> Result<Option<HostList>, HostListError> {
        let mut req = Request::get(format!("http://{}/hosts", self.address));
        if let Some(version) = known {
            // A platform that does not know this header answers with the whole list, which is right too.
            req = req.header(IF_NONE_MATCH, format!("\"{version}\""));
        }
        let req = req
            .body(empty_body())
            .map_err(|err| HostListError::Unavailable(err.to_string()))?;
        let response = self
            .client
            .send(req, self.timeout)
            .await
            .map_err(|err| HostListError::Unavailable(format!("{err:?}")))?;
        self.metrics
            .control_bytes(ControlKind::HostList, HEADS_BYTES);
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(HostListError::Unavailable(response.status().to_string()));
        }
        let body = collect(response.into_body(), MAX_LIST_BYTES)
            .await
            .map_err(|err| HostListError::Unavailable(format!("{err:?}")))?;
        self.metrics
            .control_bytes(ControlKind::HostList, body.len());
        serde_json::from_slice(&body)
            .map(Some)
            .map_err(|err| HostListError::Malformed(err.to_string()))
    }
}

#[async_trait]
impl HostListSource for HttpHostList {
    async fn hosts(&self, known: Option<u64>) -> Result<Option<HostList>, HostListError> {
        tokio::time::timeout(self.timeout, self.fetch(known))
            .await
            .unwrap_or_else(|_| Err(HostListError::Unavailable("timeout".to_owned())))
    }
}
