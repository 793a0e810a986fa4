//! HTTP server: one task for each connection, graceful end.

use super::Body;
use super::HTTP2_CONNECTION_WINDOW_BYTES;
use super::HTTP2_STREAM_WINDOW_BYTES;
use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
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

/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time between two looks at whether connections are still open.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// Time between pings on HTTP/2 connections, and the time that one may stay unanswered.
const HTTP2_PING: Duration = Duration::from_secs(2);

/// Answers the requests of one listener.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; `peer` is the address of the other end.
    async fn handle(&self, req: Request<Incoming>, peer: SocketAddr) -> Response<Body>;
}

/// What a listener speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protocol {
    /// HTTP/1.1 alone.
    Http1,
    /// HTTP/2 with prior knowledge, and HTTP/1.1 with upgrades.
    Http1And2,
}

/// A listener with its open connections.
pub struct Listener {
    address: SocketAddr,
    is_leaving: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    stop: oneshot::Sender<Duration>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Binds `address` and serves it with `handler`.
    ///
    /// # Errors
    ///
    /// Passes on why the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        protocol: Protocol,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let is_leaving = Arc::new(AtomicBool::new(false));
        let open = Arc::new(AtomicUsize::new(0));
        let serving = Serving {
            protocol,
            handler,
            is_leaving: Arc::clone(&is_leaving),
            open: Arc::clone(&open),
        };
        let task = tokio::spawn(accept(listener, serving, stopped));
        Ok(Self {
            address,
            is_leaving,
            open,
            stop,
            task,
        })
    }

    /// Gives the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Goes on serving, but asks the other ends of HTTP/1.1 connections to close them after their next answer.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Goes on serving until no connection is open, for at most `limit`.
    pub async fn drain(&self, limit: Duration) {
        let end = tokio::time::Instant::now() + limit;
        while self.open.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(DRAIN_LOOK).await;
        }
    }

    /// Accepts no more connections, lets requests in flight end for at most `limit`, then closes what is left.
    pub async fn close(self, limit: Duration) {
        if self.stop.send(limit).is_ok() {
            // The task ends by itself; a panic in it has been reported already.
            let _ = self.task.await;
        }
    }
}

/// How the connections of one listener are served.
struct Serving {
    protocol: Protocol,
    handler: Arc<dyn Handler>,
    is_leaving: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
}

/// Counts a connection while it is open.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn accept(listener: TcpListener, serving: Serving, mut stopped: oneshot::Receiver<Duration>) {
    let graceful = GracefulShutdown::new();
    let limit = loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => serve(stream, peer, &serving, &graceful),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            limit = &mut stopped => break limit.unwrap_or_default(),
        }
    };
    drop(listener);
    // Connections that are still open after the limit end with their tasks.
    let _ = tokio::time::timeout(limit, graceful.shutdown()).await;
}

fn serve(stream: TcpStream, peer: SocketAddr, serving: &Serving, graceful: &GracefulShutdown) {
    // Without it small frames of a stream would wait; a socket that refuses it works all the same.
    let _ = stream.set_nodelay(true);
    let protocol = serving.protocol;
    let handler = Arc::clone(&serving.handler);
    let is_leaving = Arc::clone(&serving.is_leaving);
    let service = service_fn(move |req| {
        let handler = Arc::clone(&handler);
        let is_leaving = Arc::clone(&is_leaving);
        async move {
            let version = req.version();
            let mut response = handler.handle(req, peer).await;
            if version == Version::HTTP_11 && is_leaving.load(Ordering::Relaxed) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    if protocol == Protocol::Http1 {
        builder = builder.http1_only();
    } else {
        builder
            .http2()
            .timer(TokioTimer::new())
            .keep_alive_interval(HTTP2_PING)
            .keep_alive_timeout(HTTP2_PING)
            .initial_stream_window_size(HTTP2_STREAM_WINDOW_BYTES)
            .initial_connection_window_size(HTTP2_CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(u32::MAX);
    }
    let watcher = graceful.watcher();
    let open = OpenConnection::new(&serving.open);
    tokio::spawn(async move {
        let _open = open;
        let conn = builder.serve_connection_with_upgrades(TokioIo::new(stream), service);
        // An error of one connection is the other end's; its requests have got their outcome.
        let _ = watcher.watch(conn.into_owned()).await;
    });
}
