//! Types and functions shared by the clients of engines and plain services: requests, responses and errors.

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
use crate::net::ends_with_connection;
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

/// One attempt of a request, as it is sent to a backend server.
#[derive(Clone, Debug)]
pub struct BackendRequest<'a> {
    /// Id of this attempt; the response must have the same id.
    pub id: &'a str,
    /// Id of the chat, if the request belongs to one.
    pub chat: Option<&'a str>,
    /// Priority of the request.
    pub priority: Priority,
    /// HTTP method.
    pub method: &'a str,
    /// Path with query string.
    pub path: &'a str,
    /// Content type of the body, if known.
    pub content_type: Option<&'a str>,
    /// Idempotency key of a non-idempotent call, which is sent over a new connection.
    pub idempotency_key: Option<&'a str>,
    /// Body of the request.
    pub body: Bytes,
    /// Timeout for receiving the response head.
    pub timeout: Duration,
}

/// Head of a backend server's response, with a body that is still to be read.
#[derive(Debug)]
pub struct BackendResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body, if the backend server sent it.
    pub content_type: Option<String>,
    /// Load of the backend server in requests, if it reported it.
    pub load: Option<u32>,
    /// Whether only the end of the connection ends the body, so that its end doesn't tell that it is complete.
    pub ends_with_connection: bool,
    /// Body of the response; an error while it is read means that the response is incomplete.
    pub body: Body,
}

/// Reason why an attempt has no response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BackendError {
    /// Nothing was sent.
    NotSent(String),
    /// The backend server reported that it did not run the request.
    NotRun,
    /// The connection failed after the request may have been sent, or the response was invalid. The request may have
    /// been run.
    Lost(String),
    /// No response was received in time. The request may have been run.
    Timeout,
    /// The response belongs to another request. The connection was closed, and this request may have been run.
    Crossed,
}

/// Creates adapters for backend servers. Tests replace it with fakes.
pub trait Backends: Send + Sync {
    /// Returns an adapter for the engine at `address`.
    fn engine(&self, address: SocketAddr) -> Arc<dyn Engine>;
    /// Returns an adapter for the plain service's server at `address`.
    fn service(&self, address: SocketAddr) -> Arc<dyn PlainService>;
}

/// Creates adapters that use HTTP and share their connection pools.
pub struct HttpBackends {
    pooled: Client,
    unpooled: Client,
    metrics: Arc<Metrics>,
}

impl HttpBackends {
    /// Creates the HTTP clients that the adapters share. Connections are bound to `source_ip`, if any.
    pub fn new(source_ip: Option<IpAddr>, metrics: Arc<Metrics>) -> Self {
        let options = ClientOptions {
            source_ip,
            ..ClientOptions::default()
        };
        let pooled = Client::new(&options);
        let unpooled = ClientOptions {
            idle_timeout: Duration::ZERO,
            ..options
        };
        Self {
            pooled,
            unpooled: Client::new(&unpooled),
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
        let unpooled = self.unpooled.clone();
        Arc::new(HttpPlainService::new(pooled, unpooled, address, metrics))
    }
}

/// Sends an attempt and checks that the response belongs to it.
pub(super) async fn send(
    client: &Client,
    address: SocketAddr,
    req: &BackendRequest<'_>,
) -> Result<BackendResponse, BackendError> {
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

/// Parses the response head of request `id`. A response with another request's id is dropped, which closes its
/// connection.
pub(super) fn decode(
    id: &str,
    response: Response<Incoming>,
) -> Result<BackendResponse, BackendError> {
    let header = |name: &str| response.headers().get(name)?.to_str().ok();
    if header(REQUEST_ID_HEADER) != Some(id) {
        return Err(BackendError::Crossed);
    }
    if header(NOT_RUN_HEADER).is_some() {
        return Err(BackendError::NotRun);
    }
    let content_type = header(CONTENT_TYPE.as_str()).map(str::to_owned);
    let load = header(LOAD_HEADER).and_then(|load| load.parse().ok());
    Ok(BackendResponse {
        status: response.status().as_u16(),
        content_type,
        load,
        ends_with_connection: ends_with_connection(response.headers(), response.body()),
        body: response.into_body().map_err(Into::into).boxed_unsync(),
    })
}
