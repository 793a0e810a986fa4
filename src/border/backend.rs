//! What engines and plain services have in common: a request, its answer, and how it can fail.

use super::CHAT_ID_HEADER;
use super::Engine;
use super::HttpEngine;
use super::HttpPlainService;
use super::IDEMPOTENCY_KEY_HEADER;
use super::LOAD_HEADER;
use super::NOT_RUN_HEADER;
use super::PRIORITY_HEADER;
use super::PlainService;
use super::REQUEST_ID_HEADER;
use super::generated::peer::Priority;
use crate::net::Body;
use crate::net::Client;
use crate::net::ClientOptions;
use crate::net::SendError;
use crate::net::full_body;
use crate::operations::Metrics;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One attempt of a request, as a backend server gets it.
#[derive(Clone, Debug)]
pub struct BackendRequest<'a> {
    /// Id of this attempt; the answer must carry it too.
    pub id: &'a str,
    /// The chat, where there is one.
    pub chat: Option<&'a str>,
    /// The request's priority.
    pub priority: Priority,
    /// HTTP method.
    pub method: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Content type of the body.
    pub content_type: Option<&'a str>,
    /// Key of a non-idempotent call, which gets a fresh connection.
    pub idempotency_key: Option<&'a str>,
    /// The body.
    pub body: Bytes,
    /// Longest wait for the head of the answer.
    pub timeout: Duration,
}

/// Head of a backend server's answer with its body still to come.
#[derive(Debug)]
pub struct BackendAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// The backend server's load in requests, where it tells it.
    pub load: Option<u32>,
    /// The body; its error means that the answer was cut short.
    pub body: Body,
}

/// Why an attempt has no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BackendError {
    /// Nothing was sent.
    NotSent(String),
    /// The backend server says that it did not run the request.
    NotRun,
    /// The connection was lost after the hand-over.
    Lost(String),
    /// No answer head came in time after the hand-over.
    Timeout,
    /// The answer belongs to another request; its connection was closed.
    Crossed,
}

/// Makes adapters for backend servers; the border at which tests put fakes.
pub trait Backends: Send + Sync {
    /// Gives the engine at `address`.
    fn engine(&self, address: SocketAddr) -> Arc<dyn Engine>;
    /// Gives the plain service's server at `address`.
    fn service(&self, address: SocketAddr) -> Arc<dyn PlainService>;
}

/// Backend servers over HTTP.
pub struct HttpBackends {
    pooled: Client,
    fresh: Client,
    metrics: Arc<Metrics>,
}

impl HttpBackends {
    /// Makes the adapters' shared clients.
    pub fn new(source_ip: Option<IpAddr>, metrics: Arc<Metrics>) -> Self {
        let options = ClientOptions {
            source_ip,
            ..ClientOptions::default()
        };
        let pooled = Client::new(&options);
        let fresh = ClientOptions {
            idle_timeout: Duration::ZERO,
            ..options
        };
        Self {
            pooled,
            fresh: Client::new(&fresh),
            metrics,
        }
    }
}

impl Backends for HttpBackends {
    fn engine(&self, address: SocketAddr) -> Arc<dyn Engine> {
        let metrics = Arc::clone(&self.metrics);
        Arc::new(HttpEngine::new(self.pooled.clone(), address, metrics))
    }

    fn service(&self, address: SocketAddr) -> Arc<dyn PlainService> {
        let metrics = Arc::clone(&self.metrics);
        let pooled = self.pooled.clone();
        let fresh = self.fresh.clone();
        Arc::new(HttpPlainService::new(pooled, fresh, address, metrics))
    }
}

/// Sends one attempt and checks that the answer is its own.
pub(super) async fn send(
    client: &Client,
    address: SocketAddr,
    req: &BackendRequest<'_>,
) -> Result<BackendAnswer, BackendError> {
    let message = encode(address, req).map_err(|err| BackendError::NotSent(err.to_string()))?;
    match client.send(message, req.timeout).await {
        Ok(response) => decode(req.id, response),
        Err(SendError::NotSent(cause)) => Err(BackendError::NotSent(cause)),
        Err(SendError::Lost(cause)) => Err(BackendError::Lost(cause)),
        Err(SendError::Timeout) => Err(BackendError::Timeout),
    }
}

fn encode(
    address: SocketAddr,
    req: &BackendRequest<'_>,
) -> Result<Request<Body>, hyper::http::Error> {
    let mut builder = Request::builder()
        .method(req.method)
        .uri(format!("http://{address}{}", req.path))
        .header(REQUEST_ID_HEADER, req.id)
        .header(PRIORITY_HEADER, req.priority.to_string());
    if let Some(chat) = req.chat {
        builder = builder.header(CHAT_ID_HEADER, chat);
    }
    if let Some(content_type) = req.content_type {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    if let Some(key) = req.idempotency_key {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    builder.body(full_body(req.body.clone()))
}

/// Reads the head of an answer; an answer with another request's id is dropped, which closes its connection.
pub(super) fn decode(
    id: &str,
    response: Response<Incoming>,
) -> Result<BackendAnswer, BackendError> {
    let text = |name: &str| response.headers().get(name)?.to_str().ok();
    if text(REQUEST_ID_HEADER) != Some(id) {
        return Err(BackendError::Crossed);
    }
    if text(NOT_RUN_HEADER).is_some() {
        return Err(BackendError::NotRun);
    }
    let content_type = text(CONTENT_TYPE.as_str()).map(str::to_owned);
    let load = text(LOAD_HEADER).and_then(|load| load.parse().ok());
    Ok(BackendAnswer {
        status: response.status().as_u16(),
        content_type,
        load,
        body: response.into_body().map_err(Into::into).boxed_unsync(),
    })
}
