//! HTTP client for requests to the platform, backend servers and other nodes.

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

/// Options of the connections of a client.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Local address to which connections are bound, if any.
    pub source_ip: Option<IpAddr>,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Time after which an idle connection in the pool is closed. If it is zero, connections are not pooled.
    pub idle_timeout: Duration,
    /// Whether to use HTTP/2 with keep-alive pings, instead of HTTP/1.1.
    pub http2: bool,
    /// Interval between keep-alive pings, and timeout after which an unanswered ping closes the connection.
    pub ping_interval: Duration,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            source_ip: None,
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(10),
            http2: false,
            ping_interval: Duration::from_secs(1),
        }
    }
}

/// Reason why no response head was received.
#[derive(Debug)]
pub enum SendError {
    /// No connection could be established, so nothing was sent.
    NotSent(String),
    /// The connection was lost after the request may have been sent.
    Lost(String),
    /// No response head was received in time; the request may have been sent.
    Timeout,
}

/// An HTTP client with a pool of connections.
#[derive(Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Body>,
}

impl Client {
    /// Creates a client. It opens connections when requests are sent.
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
            builder.http2_keep_alive_interval(options.ping_interval);
            builder.http2_keep_alive_timeout(options.ping_interval);
            builder.http2_keep_alive_while_idle(true);
            builder.http2_initial_stream_window_size(HTTP2_STREAM_WINDOW_BYTES);
            builder.http2_initial_connection_window_size(HTTP2_CONNECTION_WINDOW_BYTES);
        }
        Self {
            inner: builder.build(connector),
        }
    }

    /// Sends a request and waits at most `timeout` for the response head.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if the request certainly was not sent; after other errors it may have been sent.
    pub async fn send(
        &self,
        req: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        match tokio::time::timeout(timeout, self.inner.request(req)).await {
            Err(_) => Err(SendError::Timeout),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(err)) if err.is_connect() => Err(SendError::NotSent(format_with_causes(&err))),
            Ok(Err(err)) => Err(SendError::Lost(format_with_causes(&err))),
        }
    }
}

/// Formats an error with its chain of causes, as hyper's own text has only the outermost error.
fn format_with_causes(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
