//! HTTP client towards the platform, backend servers and other nodes.

use super::Body;
use super::HTTP2_CONNECTION_WINDOW_BYTES;
use super::HTTP2_STREAM_WINDOW_BYTES;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use std::net::IpAddr;
use std::time::Duration;

/// How a client treats its connections.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Local address of the connections.
    pub source_ip: Option<IpAddr>,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Longest idle time of a kept connection; none kept where it is zero.
    pub idle_timeout: Duration,
    /// Whether HTTP/2 with keep-alive pings is spoken.
    pub http2: bool,
    /// Time between pings, and time after which an unanswered one ends the connection.
    pub ping: Duration,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            source_ip: None,
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(10),
            http2: false,
            ping: Duration::from_secs(1),
        }
    }
}

/// Why a request got no answer head.
#[derive(Debug)]
pub enum SendError {
    /// No connection was made, so nothing was sent.
    NotSent(String),
    /// The connection was lost after the request may have been sent.
    Lost(String),
    /// No answer head came in time; the request may have been sent.
    Timeout,
}

/// An HTTP client with a pool of connections.
#[derive(Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Body>,
}

impl Client {
    /// Makes a client; it connects when it is first asked to send.
    pub fn new(options: &ClientOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(options.source_ip);
        connector.set_connect_timeout(Some(options.connect_timeout));
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new());
        builder.timer(TokioTimer::new());
        builder.pool_idle_timeout(options.idle_timeout);
        if options.idle_timeout.is_zero() {
            builder.pool_max_idle_per_host(0);
        }
        if options.http2 {
            builder.http2_only(true);
            builder.http2_keep_alive_interval(options.ping);
            builder.http2_keep_alive_timeout(options.ping);
            builder.http2_keep_alive_while_idle(true);
            builder.http2_initial_stream_window_size(HTTP2_STREAM_WINDOW_BYTES);
            builder.http2_initial_connection_window_size(HTTP2_CONNECTION_WINDOW_BYTES);
        }
        Self {
            inner: builder.build(connector),
        }
    }

    /// Sends a request and waits at most `timeout` for the head of the answer.
    ///
    /// # Errors
    ///
    /// Tells whether the request certainly was not sent.
    pub async fn send(
        &self,
        req: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        match tokio::time::timeout(timeout, self.inner.request(req)).await {
            Err(_) => Err(SendError::Timeout),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(err)) if err.is_connect() => Err(SendError::NotSent(describe(&err))),
            Ok(Err(err)) => Err(SendError::Lost(describe(&err))),
        }
    }
}

/// Names an error with its causes, since hyper's own text names only the outermost one.
fn describe(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
