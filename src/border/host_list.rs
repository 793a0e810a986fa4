//! Client for the platform's host list.

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

/// Maximum size of a host list in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Approximate size of the headers of a request and its response in bytes, for the metrics.
const APPROX_HEADERS_BYTES: usize = 250;

/// Reason why the host list could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostListError {
    /// The platform can't be reached, does not respond in time, or responds with an error status.
    Unavailable(String),
    /// The response can't be parsed.
    Malformed(String),
}

/// Source of the platform's list of live and leaving hosts. The list lags behind the actual state of the hosts.
#[async_trait]
pub trait HostListSource: Send + Sync {
    /// Returns the complete list, or `None` if its version is still `known_version`.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the list is unavailable or the response is malformed.
    async fn hosts(&self, known_version: Option<u64>) -> Result<Option<HostList>, HostListError>;
}

/// The platform's host list, read over HTTP.
pub struct HttpHostList {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
    metrics: Arc<Metrics>,
}

impl HttpHostList {
    /// Creates an adapter for the list at `address`. Nothing is sent until the list is read.
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

    async fn fetch(&self, known_version: Option<u64>) -> Result<Option<HostList>, HostListError> {
        let mut req = Request::get(format!("http://{}/hosts", self.address));
        if let Some(version) = known_version {
            // A platform that does not support this header responds with the complete list, which is correct too.
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
            .add_control_bytes(ControlKind::HostList, APPROX_HEADERS_BYTES);
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
            .add_control_bytes(ControlKind::HostList, body.len());
        serde_json::from_slice(&body)
            .map(Some)
            .map_err(|err| HostListError::Malformed(err.to_string()))
    }
}

#[async_trait]
impl HostListSource for HttpHostList {
    async fn hosts(&self, known_version: Option<u64>) -> Result<Option<HostList>, HostListError> {
        tokio::time::timeout(self.timeout, self.fetch(known_version))
            .await
            .unwrap_or_else(|_| Err(HostListError::Unavailable("timeout".to_owned())))
    }
}
