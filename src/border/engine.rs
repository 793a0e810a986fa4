//! Client for model engines.

use super::BackendError;
use super::BackendRequest;
use super::BackendResponse;
use super::REQUEST_ID_HEADER;
use super::backend::decode;
use super::backend::send;
use super::generated::backend::CacheEvents;
use super::generated::backend::EngineState;
use super::generated::backend::KvBlob;
use super::generated::backend::KvExport;
use super::generated::backend::LoadReport;
use super::generated::backend::LoadedModel;
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
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Maximum size of the response to a control request in bytes. KV cache exports are the largest responses.
const MAX_CONTROL_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Timeout for the response head of a control request, and again for its body.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// A model engine. It batches requests, caches prompt prefixes, and can resume and cancel streams.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Sends a chat request.
    ///
    /// # Errors
    ///
    /// Returns [`BackendError::NotSent`] or [`BackendError::NotRun`] if the request certainly was not run.
    async fn chat(&self, req: &BackendRequest<'_>) -> Result<BackendResponse, BackendError>;

    /// Requests the rest of the response stream of request `id`, from byte `from` on.
    ///
    /// # Errors
    ///
    /// Returns [`BackendError::NotRun`] if the engine no longer has the stream.
    async fn resume(&self, id: &str, from: u64) -> Result<BackendResponse, BackendError>;

    /// Cancels request `id`. If the engine does not know it, nothing happens.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no valid response.
    async fn cancel(&self, id: &str) -> Result<(), BackendError>;

    /// Requests the load as the engine itself measures it.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no valid response.
    async fn load(&self) -> Result<LoadReport, BackendError>;

    /// Requests cache events from sequence number `from` on. If sequence numbers are skipped, events were lost.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no valid response.
    async fn cache_events(&self, from: u64) -> Result<CacheEvents, BackendError>;

    /// Exports the KV cache of `chat`.
    ///
    /// # Errors
    ///
    /// Returns [`BackendError::NotRun`] if the engine does not have it.
    async fn kv_export(&self, chat: &str) -> Result<KvBlob, BackendError>;

    /// Imports the KV cache of a chat.
    ///
    /// # Errors
    ///
    /// Returns the reason why the engine did not import it.
    async fn kv_import(&self, blob: &KvBlob) -> Result<(), BackendError>;

    /// Requests the engine's models, adapters and role.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no valid response.
    async fn state(&self) -> Result<EngineState, BackendError>;

    /// Sends an order and returns the state of the engine after it.
    ///
    /// # Errors
    ///
    /// Returns [`BackendError::NotRun`] if the fencing number of the order is outdated, or another error if the engine
    /// did not confirm the order.
    async fn order(&self, order: &Order) -> Result<EngineState, BackendError>;
}

/// An engine, reached over HTTP.
pub struct HttpEngine {
    client: Client,
    address: SocketAddr,
    metrics: Arc<Metrics>,
}

impl HttpEngine {
    /// Creates an adapter for the engine at `address`. Nothing is sent until the first request.
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

    /// Sends a control request and returns the response body. The statuses 404 and 409 mean that the engine did
    /// nothing.
    async fn send_control(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Bytes, BackendError> {
        let req = self.request(method, path, full_body(body))?;
        let response = self
            .client
            .send(req, CONTROL_TIMEOUT)
            .await
            .map_err(to_backend_error)?;
        match response.status() {
            status if status.is_success() => {}
            StatusCode::NOT_FOUND | StatusCode::CONFLICT => return Err(BackendError::NotRun),
            status => return Err(BackendError::Lost(status.to_string())),
        }
        let body = tokio::time::timeout(
            CONTROL_TIMEOUT,
            collect(response.into_body(), MAX_CONTROL_RESPONSE_BYTES),
        )
        .await
        .map_err(|_| BackendError::Timeout)?
        .map_err(|err| BackendError::Lost(format!("{err:?}")))?;
        Ok(body)
    }

    /// Sends a control request and counts its bytes and those of the response as control traffic.
    async fn send_counted_control(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Bytes, BackendError> {
        let sent = path.len() + body.len();
        let response = self.send_control(method, path, body).await?;
        let bytes = sent + response.len();
        self.metrics.add_control_bytes(ControlKind::Engine, bytes);
        Ok(response)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, BackendError> {
        let response = self
            .send_counted_control(Method::GET, path, Vec::new())
            .await?;
        parse_json(&response)
    }

    /// Posts a message to export or import a KV cache. Its bytes are payload and don't count as control traffic.
    async fn post<T: Serialize + Sync>(
        &self,
        path: &str,
        message: &T,
    ) -> Result<Bytes, BackendError> {
        let body =
            serde_json::to_vec(message).map_err(|err| BackendError::NotSent(err.to_string()))?;
        self.send_control(Method::POST, path, body).await
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, BackendError> {
    serde_json::from_slice(body).map_err(|err| BackendError::Lost(err.to_string()))
}

/// Decodes the state of an engine. A model that can't be decoded is left out: it must not cost the others.
fn decode_state(body: &[u8]) -> Result<EngineState, BackendError> {
    let mut state: serde_json::Value = parse_json(body)?;
    if let Some(models) = state.get_mut("models").and_then(|it| it.as_array_mut()) {
        models.retain(|model| LoadedModel::deserialize(model).is_ok());
    }
    serde_json::from_value(state).map_err(|err| BackendError::Lost(err.to_string()))
}

fn to_backend_error(err: SendError) -> BackendError {
    match err {
        SendError::NotSent(cause) => BackendError::NotSent(cause),
        SendError::Lost(cause) => BackendError::Lost(cause),
        SendError::Timeout => BackendError::Timeout,
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn chat(&self, req: &BackendRequest<'_>) -> Result<BackendResponse, BackendError> {
        send(&self.client, self.address, req).await
    }

    async fn resume(&self, id: &str, from: u64) -> Result<BackendResponse, BackendError> {
        let path = format!("/v1/streams/{id}?from={from}");
        let mut req = self.request(Method::GET, &path, empty_body())?;
        if let Ok(id) = id.parse() {
            req.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        let response = self
            .client
            .send(req, CONTROL_TIMEOUT)
            .await
            .map_err(to_backend_error)?;
        if response.status() == StatusCode::NOT_FOUND {
            return Err(BackendError::NotRun);
        }
        decode(id, response)
    }

    async fn cancel(&self, id: &str) -> Result<(), BackendError> {
        let path = format!("/v1/streams/{id}");
        match self.send_control(Method::DELETE, &path, Vec::new()).await {
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
        let response = self.post("/v1/kv/export", &export).await?;
        parse_json(&response)
    }

    async fn kv_import(&self, blob: &KvBlob) -> Result<(), BackendError> {
        self.post("/v1/kv/import", blob).await.map(|_| ())
    }

    async fn state(&self) -> Result<EngineState, BackendError> {
        let response = self
            .send_counted_control(Method::GET, "/state", Vec::new())
            .await?;
        decode_state(&response)
    }

    async fn order(&self, order: &Order) -> Result<EngineState, BackendError> {
        let body =
            serde_json::to_vec(order).map_err(|err| BackendError::NotSent(err.to_string()))?;
        let response = self
            .send_counted_control(Method::POST, "/orders", body)
            .await?;
        decode_state(&response)
    }
}
