//! Client for the servers of plain services.

use super::BackendError;
use super::BackendRequest;
use super::BackendResponse;
use super::backend::send;
use super::engine::Engine;
use super::engine::HttpEngine;
use super::generated::backend::LoadReport;
use crate::net::Client;
use crate::operations::Metrics;
use async_trait::async_trait;
use std::net::SocketAddr;
use std::sync::Arc;

/// A server of a plain service. Some calls to it are not idempotent and may not be sent twice.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Sends a call.
    ///
    /// A call with an idempotency key is sent over a new connection: a pooled connection may have died unnoticed, and a
    /// call that is lost on it has an unknown outcome.
    ///
    /// # Errors
    ///
    /// Returns [`BackendError::NotSent`] or [`BackendError::NotRun`] if the call certainly was not run.
    async fn call(&self, req: &BackendRequest<'_>) -> Result<BackendResponse, BackendError>;

    /// Requests the load as the server itself measures it.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no valid response.
    async fn load(&self) -> Result<LoadReport, BackendError>;
}

/// A server of a plain service, reached over HTTP.
pub struct HttpPlainService {
    pooled: Client,
    unpooled: Client,
    address: SocketAddr,
    metrics: Arc<Metrics>,
}

impl HttpPlainService {
    /// Creates an adapter for the server at `address`. Nothing is sent until the first call. `unpooled` opens a new
    /// connection for each call.
    pub fn new(
        pooled: Client,
        unpooled: Client,
        address: SocketAddr,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            pooled,
            unpooled,
            address,
            metrics,
        }
    }
}

#[async_trait]
impl PlainService for HttpPlainService {
    async fn call(&self, req: &BackendRequest<'_>) -> Result<BackendResponse, BackendError> {
        let client = match req.idempotency_key {
            Some(_) => &self.unpooled,
            None => &self.pooled,
        };
        send(client, self.address, req).await
    }

    async fn load(&self) -> Result<LoadReport, BackendError> {
        // Engines and plain services report their load at the same path and in the same format.
        let metrics = Arc::clone(&self.metrics);
        HttpEngine::new(self.pooled.clone(), self.address, metrics)
            .load()
            .await
    }
}
