//! A model engine.

use super::BackendAnswer;
use super::BackendError;
use super::BackendRequest;
use super::REQUEST_ID_HEADER;
use super::backend::decode;
use super::backend::send;
use super::generated::backend::CacheEvents;
use super::generated::backend::EngineState;
use super::generated::backend::KvBlob;
use super::generated::backend::KvExport;
use super::generated::backend::LoadReport;
use super::generated::backend::Order;
use crate::net::Body;
use crate::net::Client;
use crate::net::SendError;
use crate::net::collect;
use crate::net::empty_body;
use crate::net::full_body;
use crate::operations::ControlKind;
use crate::operations::Metrics;
use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest answer to a control question that is read, in bytes; KV blobs are the largest.
const MAX_CONTROL_BYTES: usize = 64 * 1024 * 1024;
/// Longest wait for an answer to a control question.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// A model engine, which batches, caches prompt prefixes, and resumes and cancels streams.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Sends one chat request.
    ///
    /// # Errors
    ///
    /// Tells whether the request certainly was not run.
    async fn chat(&self, req: &BackendRequest<'_>) -> Result<BackendAnswer, BackendError>;

    /// Asks for the rest of the stream of request `id` from byte `from` on.
    ///
    /// # Errors
    ///
    /// `NotRun` where the engine no longer holds the stream.
    async fn resume(&self, id: &str, from: u64) -> Result<BackendAnswer, BackendError>;

    /// Cancels request `id`; an unknown one is left alone.
    ///
    /// # Errors
    ///
    /// Tells why the engine did not answer.
    async fn cancel(&self, id: &str) -> Result<(), BackendError>;

    /// Asks for the engine's own view of its load.
    ///
    /// # Errors
    ///
    /// Tells why the engine did not answer.
    async fn load(&self) -> Result<LoadReport, BackendError>;

    /// Asks for cache events from sequence number `from` on; a jump in the numbers is a gap.
    ///
    /// # Errors
    ///
    /// Tells why the engine did not answer.
    async fn cache_events(&self, from: u64) -> Result<CacheEvents, BackendError>;

    /// Exports the KV cache of `chat`.
    ///
    /// # Errors
    ///
    /// `NotRun` where the engine does not hold it.
    async fn kv_export(&self, chat: &str) -> Result<KvBlob, BackendError>;

    /// Imports a chat's KV cache.
    ///
    /// # Errors
    ///
    /// Tells why the engine did not take it.
    async fn kv_import(&self, blob: &KvBlob) -> Result<(), BackendError>;

    /// Asks for models, adapters and role.
    ///
    /// # Errors
    ///
    /// Tells why the engine did not answer.
    async fn state(&self) -> Result<EngineState, BackendError>;

    /// Gives an order; `NotRun` where its fencing number is old.
    ///
    /// # Errors
    ///
    /// Tells why the engine did not follow the order.
    async fn order(&self, order: &Order) -> Result<EngineState, BackendError>;
}

/// An engine over HTTP.
pub struct HttpEngine {
    client: Client,
    address: SocketAddr,
    metrics: Arc<Metrics>,
}

impl HttpEngine {
    /// Makes an adapter for the engine at `address`; nothing is sent yet.
    pub fn new(client: Client, address: SocketAddr, metrics: Arc<Metrics>) -> Self {
        Self {
            client,
            address,
            metrics,
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Body,
    ) -> Result<Request<Body>, BackendError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(body)
            .map_err(|err| BackendError::NotSent(err.to_string()))
    }

    /// Asks one control question; 404 and 409 mean that the engine did nothing.
    async fn ask(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Bytes, BackendError> {
        let req = self.request(method, path, full_body(body))?;
        let response = self.client.send(req, CONTROL_TIMEOUT).await.map_err(lost)?;
        match response.status() {
            status if status.is_success() => {}
            StatusCode::NOT_FOUND | StatusCode::CONFLICT => return Err(BackendError::NotRun),
            status => return Err(BackendError::Lost(status.to_string())),
        }
        let answer = tokio::time::timeout(
            CONTROL_TIMEOUT,
            collect(response.into_body(), MAX_CONTROL_BYTES),
        )
        .await
        .map_err(|_| BackendError::Timeout)?
        .map_err(|err| BackendError::Lost(format!("{err:?}")))?;
        Ok(answer)
    }

    /// Asks a question whose bytes count as control traffic.
    async fn ask_counted(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Bytes, BackendError> {
        let sent = path.len() + body.len();
        let answer = self.ask(method, path, body).await?;
        let bytes = sent + answer.len();
        self.metrics.control_bytes(ControlKind::Engine, bytes);
        Ok(answer)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, BackendError> {
        let answer = self.ask_counted(Method::GET, path, Vec::new()).await?;
        read(&answer)
    }

    /// Posts a message with a chat's cache, which is payload and no control traffic.
    async fn post<T: Serialize + Sync>(
        &self,
        path: &str,
        message: &T,
    ) -> Result<Bytes, BackendError> {
        let body =
            serde_json::to_vec(message).map_err(|err| BackendError::NotSent(err.to_string()))?;
        self.ask(Method::POST, path, body).await
    }
}

fn read<T: DeserializeOwned>(answer: &[u8]) -> Result<T, BackendError> {
    serde_json::from_slice(answer).map_err(|err| BackendError::Lost(err.to_string()))
}

fn lost(err: SendError) -> BackendError {
    match err {
        SendError::NotSent(cause) => BackendError::NotSent(cause),
        SendError::Lost(cause) => BackendError::Lost(cause),
        SendError::Timeout => BackendError::Timeout,
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn chat(&self, req: &BackendRequest<'_>) -> Result<BackendAnswer, BackendError> {
        send(&self.client, self.address, req).await
    }

    async fn resume(&self, id: &str, from: u64) -> Result<BackendAnswer, BackendError> {
        let path = format!("/v1/streams/{id}?from={from}");
        let mut req = self.request(Method::GET, &path, empty_body())?;
        if let Ok(id) = id.parse() {
            req.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        let response = self.client.send(req, CONTROL_TIMEOUT).await.map_err(lost)?;
        if response.status() == StatusCode::NOT_FOUND {
            return Err(BackendError::NotRun);
        }
        decode(id, response)
    }

    async fn cancel(&self, id: &str) -> Result<(), BackendError> {
        let path = format!("/v1/streams/{id}");
        match self.ask(Method::DELETE, &path, Vec::new()).await {
            Ok(_) | Err(BackendError::NotRun) => Ok(()),
            Err(err) => Err(err),
        }
    }

    async fn load(&self) -> Result<LoadReport, BackendError> {
        self.get("/load").await
    }

    async fn cache_events(&self, from: u64) -> Result<CacheEvents, BackendError> {
        self.get(&format!("/cache-events?from={from}")).await
    }

    async fn kv_export(&self, chat: &str) -> Result<KvBlob, BackendError> {
        let export = KvExport {
            chat: chat.to_owned(),
        };
        let answer = self.post("/v1/kv/export", &export).await?;
        read(&answer)
    }

    async fn kv_import(&self, blob: &KvBlob) -> Result<(), BackendError> {
        self.post("/v1/kv/import", blob).await.map(|_| ())
    }

    async fn state(&self) -> Result<EngineState, BackendError> {
        self.get("/state").await
    }

    async fn order(&self, order: &Order) -> Result<EngineState, BackendError> {
        let body =
            serde_json::to_vec(order).map_err(|err| BackendError::NotSent(err.to_string()))?;
        let answer = self.ask_counted(Method::POST, "/orders", body).await?;
        read(&answer)
    }
}
