//! HTTP server with one task per connection and graceful shutdown.

use super::Body;
use super::HTTP2_CONNECTION_WINDOW_BYTES;
use super::HTTP2_STREAM_WINDOW_BYTES;
use super::caller_socket::CallerSocket;
use super::caller_socket::LatestResponse;
use super::caller_socket::RequestTraits;
use super::collected;
use super::empty_body;
use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

/// Delay after a failed accept, so that the loop does not spin while file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval between keep-alive pings on HTTP/2 connections, and timeout after which an unanswered ping closes the
/// connection.
const HTTP2_PING_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of headers of a request; the configuration limits their size.
const MAX_HEADERS: usize = 1_024;

/// Default of [`Handler::head_timeout`].
pub const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Handles the requests of a listener.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Returns the time from the opening of a connection, or from a response on it, until the head of its next request must
    /// have arrived; the connection is closed then. The value at the opening of an HTTP/1.1 connection holds for it.
    fn head_timeout(&self) -> Duration {
        DEFAULT_HEAD_TIMEOUT
    }

    /// Returns the response to `req`; `peer` is the remote address of the connection.
    async fn handle(&self, req: Request<Incoming>, peer: SocketAddr) -> Response<Body>;

    /// Returns the response in place of one with this `head` whose body broke off, or is too large, before any of it was sent.
    fn incomplete_response(&self, _head: &Parts) -> Response<Body> {
        let mut response = Response::new(empty_body());
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    }
}

/// HTTP versions that a listener supports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protocol {
    /// Only HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge, and HTTP/1.1 with upgrades.
    Http1And2,
}

/// A listening socket and the connections accepted from it.
pub struct Listener {
    address: SocketAddr,
    is_draining: Arc<AtomicBool>,
    open_connections: Arc<AtomicUsize>,
    stop: oneshot::Sender<Duration>,
    task: JoinHandle<OpenConnections>,
}

/// The connections that were still open when their listener stopped. They are served until this is dropped.
#[derive(Default)]
pub struct OpenConnections(JoinSet<()>);

impl Listener {
    /// Binds `address` and starts to serve requests with `handler`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        protocol: Protocol,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stop_requested) = oneshot::channel();
        let is_draining = Arc::new(AtomicBool::new(false));
        let open_connections = Arc::new(AtomicUsize::new(0));
        let state = ListenerState {
            protocol,
            handler,
            is_draining: Arc::clone(&is_draining),
            open_connections: Arc::clone(&open_connections),
        };
        let task = tokio::spawn(accept(listener, state, stop_requested));
        Ok(Self {
            address,
            is_draining,
            open_connections,
            stop,
            task,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds `Connection: close` to HTTP/1.1 responses from now on, so that the connections close after their next
    /// response. New connections and requests are still served.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Returns whether a connection is open.
    pub fn has_connections(&self) -> bool {
        self.open_connections.load(Ordering::Relaxed) > 0
    }

    /// Stops accepting connections and waits at most `timeout` for requests in flight to end. Returns the connections
    /// that are open after that.
    pub async fn stop(self, timeout: Duration) -> OpenConnections {
        if self.stop.send(timeout).is_err() {
            return OpenConnections::default();
        }
        // The task ends by itself after the timeout at the latest; a panic in it has already been reported.
        self.task.await.unwrap_or_default()
    }

    /// Stops like [`Listener::stop`]. Connections that are open after that are served until the runtime ends.
    pub async fn close(self, timeout: Duration) {
        self.stop(timeout).await.0.detach_all();
    }
}

impl OpenConnections {
    /// Closes the connections and drops the requests on them.
    pub async fn close(mut self) {
        self.0.shutdown().await;
    }
}

/// State that the connections of a listener share.
struct ListenerState {
    protocol: Protocol,
    handler: Arc<dyn Handler>,
    is_draining: Arc<AtomicBool>,
    open_connections: Arc<AtomicUsize>,
}

/// Guard that counts a connection as open until it is dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections until a stop is requested, and then shuts down with the timeout that was sent with the request.
/// Returns the connections that are still open after it.
async fn accept(
    listener: TcpListener,
    state: ListenerState,
    mut stop_requested: oneshot::Receiver<Duration>,
) -> OpenConnections {
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    let timeout = loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    connections.spawn(serve(stream, peer, &state, &graceful));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            // Only removes the finished task from the set.
            Some(_) = connections.join_next() => {}
            timeout = &mut stop_requested => break timeout.unwrap_or_default(),
        }
    };
    drop(listener);
    // Whether connections are still open shows in the set.
    let _ = tokio::time::timeout(timeout, graceful.shutdown()).await;
    OpenConnections(connections)
}

/// Returns the task that serves the connection.
fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    state: &ListenerState,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + Send + 'static {
    // Nagle's algorithm would delay the small frames of a stream. If the option can't be set, the connection is still
    // usable.
    let _ = stream.set_nodelay(true);
    let protocol = state.protocol;
    let handler = Arc::clone(&state.handler);
    let is_draining = Arc::clone(&state.is_draining);
    let latest = Arc::new(LatestResponse::default());
    let socket = CallerSocket::new(stream, Arc::clone(&latest), Arc::clone(&is_draining));
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        let is_draining = Arc::clone(&is_draining);
        let latest = Arc::clone(&latest);
        async move {
            let traits = RequestTraits::of(&req);
            let mut response = handler.handle(req, peer).await;
            // A response of an older version would not get chunks.
            *response.version_mut() = Version::HTTP_11;
            if traits.leaves_unframed(&response) {
                let collecting = collected::with_length(response);
                response = collecting
                    .await
                    .unwrap_or_else(|head| handler.incomplete_response(&head));
            }
            if traits.version() == Version::HTTP_11 && is_draining.load(Ordering::Relaxed) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            latest.begin(&response, &traits);
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_headers(MAX_HEADERS)
        .header_read_timeout(state.handler.head_timeout());
    if protocol == Protocol::Http1 {
        builder = builder.http1_only();
    } else {
        builder
            .http2()
            .timer(TokioTimer::new())
            .keep_alive_interval(HTTP2_PING_INTERVAL)
            .keep_alive_timeout(HTTP2_PING_INTERVAL)
            .initial_stream_window_size(HTTP2_STREAM_WINDOW_BYTES)
            .initial_connection_window_size(HTTP2_CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(u32::MAX);
    }
    let watcher = graceful.watcher();
    let guard = ConnectionGuard::new(&state.open_connections);
    async move {
        let _guard = guard;
        let conn = builder.serve_connection_with_upgrades(TokioIo::new(socket), service);
        // A connection error comes from the client and needs no handling: its requests already have their outcomes.
        let _ = watcher.watch(conn.into_owned()).await;
    }
}
