//! The platform's host list.

use super::generated::platform::HostList;
use crate::net::Client;
use crate::net::collect;
use crate::net::empty_body;
use crate::operations::ControlKind;
use crate::operations::Metrics;
use async_trait::async_trait;
use hyper::Request;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest host list that is read, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

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
    /// Asks for the whole list.
    ///
    /// # Errors
    ///
    /// Tells whether the platform or its answer is at fault.
    async fn hosts(&self) -> Result<HostList, HostListError>;
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

    async fn fetch(&self) -> Result<HostList, HostListError> {
        let req = Request::get(format!("http://{}/hosts", self.address))
            .body(empty_body())
            .map_err(|err| HostListError::Unavailable(err.to_string()))?;
        let response = self
            .client
            .send(req, self.timeout)
            .await
            .map_err(|err| HostListError::Unavailable(format!("{err:?}")))?;
        if !response.status().is_success() {
            return Err(HostListError::Unavailable(response.status().to_string()));
        }
        let body = collect(response.into_body(), MAX_LIST_BYTES)
            .await
            .map_err(|err| HostListError::Unavailable(format!("{err:?}")))?;
        self.metrics
            .control_bytes(ControlKind::HostList, body.len());
        serde_json::from_slice(&body).map_err(|err| HostListError::Malformed(err.to_string()))
    }
}

#[async_trait]
impl HostListSource for HttpHostList {
    async fn hosts(&self) -> Result<HostList, HostListError> {
        tokio::time::timeout(self.timeout, self.fetch())
            .await
            .unwrap_or_else(|_| Err(HostListError::Unavailable("timeout".to_owned())))
    }
}
