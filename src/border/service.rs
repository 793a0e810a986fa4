//! A plain service's server.

use super::BackendAnswer;
use super::BackendError;
use super::BackendRequest;
use super::backend::send;
use super::engine::Engine;
use super::engine::HttpEngine;
use super::generated::backend::LoadReport;
use crate::net::Client;
use crate::operations::Metrics;
use async_trait::async_trait;
use std::net::SocketAddr;
use std::sync::Arc;

/// A server of a plain service, some of whose calls may not be repeated.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Sends one call; one with an idempotency key goes over a fresh connection, so that a silent pooled one can't
    /// turn it into an unknown outcome.
    ///
    /// # Errors
    ///
    /// Tells whether the call certainly was not run.
    async fn call(&self, req: &BackendRequest<'_>) -> Result<BackendAnswer, BackendError>;

    /// Asks for the server's own view of its load.
    ///
    /// # Errors
    ///
    /// Tells why the server did not answer.
    async fn load(&self) -> Result<LoadReport, BackendError>;
}

/// A plain service's server over HTTP.
pub struct HttpPlainService {
    pooled: Client,
    fresh: Client,
    address: SocketAddr,
    metrics: Arc<Metrics>,
}

impl HttpPlainService {
    /// Makes an adapter for the server at `address`; nothing is sent yet.
    pub fn new(pooled: Client, fresh: Client, address: SocketAddr, metrics: Arc<Metrics>) -> Self {
        Self {
            pooled,
            fresh,
            address,
            metrics,
        }
    }
}

#[async_trait]
impl PlainService for HttpPlainService {
    async fn call(&self, req: &BackendRequest<'_>) -> Result<BackendAnswer, BackendError> {
        let client = match req.idempotency_key {
            Some(_) => &self.fresh,
            None => &self.pooled,
        };
        send(client, self.address, req).await
    }

    async fn load(&self) -> Result<LoadReport, BackendError> {
        // The load report is the same question at both kinds of backend server.
        let metrics = Arc::clone(&self.metrics);
        HttpEngine::new(self.pooled.clone(), self.address, metrics)
            .load()
            .await
    }
}
