//! A small HTTP/1.1 server and client for the stand-ins, the load generator and the test cases.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream;
use futures_util::stream::Stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::truth::lock;

/// Maximum number of headers of a request, more than callers of the cases send.
const MAX_HEADERS: usize = 1_024;

/// Aborts the connection, without a response or in the middle of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Abort;

impl fmt::Display for Abort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was aborted")
    }
}

impl Error for Abort {}

/// Body of a response; an error in it aborts the connection.
pub type ResponseBody = UnsyncBoxBody<Bytes, Abort>;

/// Result of a [`Handler`]: a response, or the abort of the connection.
pub type HandlerResult = Result<Response<ResponseBody>, Abort>;

/// Handles one request; its future is dropped when the client disconnects.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, HandlerResult> + Send + Sync>;

/// A listening HTTP/1.1 server with one task for each connection.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    closing: watch::Sender<bool>,
    refusing: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `listen` and passes each request to `handler`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(listen: SocketAddr, handler: Handler) -> io::Result<Server> {
        Server::start_on(TcpListener::bind(listen).await?, handler)
    }

    /// Accepts connections on `listener` and passes each request to `handler`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no address.
    pub fn start_on(listener: TcpListener, handler: Handler) -> io::Result<Server> {
        let address = listener.local_addr()?;
        let (closing, rx) = watch::channel(false);
        let (refusing, refusing_rx) = watch::channel(false);
        let task = tokio::spawn(accept(listener, handler, rx, refusing_rx));
        Ok(Server {
            address,
            closing,
            refusing,
            task,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle with which a handler can crash the server.
    pub fn crash_handle(&self) -> CrashHandle {
        CrashHandle(self.task.abort_handle())
    }

    /// Sets whether new connections are refused; open ones are not affected.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.refusing.send_replace(is_refusing);
    }

    /// Stops listening and waits until the requests in flight are finished.
    pub async fn close_gracefully(self) {
        self.closing.send_replace(true);
        // The accept task never panics, and a cancelled one has closed its connections too.
        let _ = self.task.await;
    }

    /// Stops listening and aborts all connections, like a crash.
    pub async fn abort(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Stops a server at once, without waiting for that.
#[derive(Clone, Debug)]
pub struct CrashHandle(AbortHandle);

impl CrashHandle {
    /// Stops listening and aborts all connections.
    pub fn crash(&self) {
        self.0.abort();
    }
}

async fn accept(
    listener: TcpListener,
    handler: Handler,
    mut closing: watch::Receiver<bool>,
    mut refusing: watch::Receiver<bool>,
) {
    let address = listener.local_addr();
    // A crash drops these in reverse order, as the end of a process does: first the listening socket.
    let mut connections = JoinSet::new();
    let mut listener = Some(listener);
    loop {
        tokio::select! {
            accepted = accept_on(listener.as_ref()) => {
                // An accept error concerns a single connection or is temporary.
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve(stream, handler.clone(), closing.clone()));
            }
            _ = connections.join_next(), if !connections.is_empty() => {}
            _ = closing.changed() => break,
            Ok(()) = refusing.changed() => {
                listener = None;
                if !*refusing.borrow_and_update() && let Ok(address) = address {
                    listener = TcpListener::bind(address).await.ok();
                }
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Accepts a connection; waits forever while there is no listener.
async fn accept_on(listener: Option<&TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

async fn serve(stream: TcpStream, handler: Handler, mut closing: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let is_unframed = Arc::new(AtomicBool::new(false));
    let service = service_fn(|req| {
        let (res, is_unframed) = (handler(req), Arc::clone(&is_unframed));
        Box::pin(async move {
            let res = res.await?;
            is_unframed.store(res.version() == Version::HTTP_10, Relaxed);
            Ok::<_, Abort>(res)
        })
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.max_headers(MAX_HEADERS);
    let mut connection = builder.serve_connection(TokioIo::new(stream), service);
    let result = tokio::select! {
        result = &mut connection => result,
        _ = closing.changed() => {
            std::pin::Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    // An error here concerns only the client, which sees it on its side of the connection. An orderly close would end a
    // response without length or chunks as if it were complete.
    if result.is_err() && is_unframed.load(Relaxed) {
        let _ = connection.into_parts().io.inner().set_zero_linger();
    }
}

/// Creates a body of known content.
pub fn full(body: impl Into<Bytes>) -> ResponseBody {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a response with a status and an empty body.
pub fn empty(status: StatusCode) -> Response<ResponseBody> {
    let mut res = Response::new(full(Bytes::new()));
    *res.status_mut() = status;
    res
}

/// Creates a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    let text = serde_json::to_vec(value).expect("the types serialized here have string keys only");
    let mut res = Response::new(full(text));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}

/// Creates a body from a stream of chunks.
pub fn streamed(chunks: impl Stream<Item = Result<Bytes, Abort>> + Send + 'static) -> ResponseBody {
    use futures_util::StreamExt;
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Creates a body that is sent through a channel; an [`Abort`] in the channel aborts the connection.
pub fn channel(buffer: usize) -> (mpsc::Sender<Result<Bytes, Abort>>, ResponseBody) {
    let (tx, mut rx) = mpsc::channel(buffer);
    (tx, streamed(stream::poll_fn(move |cx| rx.poll_recv(cx))))
}

/// Reads a request or response body to its end.
///
/// # Errors
///
/// Returns an error if the connection ends before the body does.
pub async fn read_body(body: Incoming) -> Result<Bytes, hyper::Error> {
    Ok(body.collect().await?.to_bytes())
}

/// Reads and parses a JSON body.
///
/// # Errors
///
/// Returns an error if the body is incomplete or doesn't parse as `T`.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, ClientError> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).map_err(|e| ClientError::Json(e.to_string()))
}

/// Returns the text of a header, or an empty string if it is missing or is not ASCII text.
pub fn header<'a>(headers: &'a hyper::HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Sets a header; skips it if `value` is not a valid header value.
pub fn set_header(res: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
}

/// Returns the number that parameter `name` of a query string has, or `None` if it is missing or no number.
pub fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Error of a client request.
#[derive(Debug)]
pub enum ClientError {
    /// The connection couldn't be opened, so that nothing was sent.
    Connect(io::Error),
    /// The connection failed; the request may have been sent.
    Http(hyper::Error),
    /// The body could not be converted from or to JSON.
    Json(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::Connect(e) => write!(f, "cannot connect: {e}"),
            ClientError::Http(e) => write!(f, "the connection failed: {e}"),
            ClientError::Json(e) => write!(f, "the body is not as expected: {e}"),
        }
    }
}

impl Error for ClientError {}

impl From<hyper::Error> for ClientError {
    fn from(e: hyper::Error) -> ClientError {
        ClientError::Http(e)
    }
}

/// A client of one server that keeps idle connections for reuse.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl Client {
    /// Creates a client of the server at `address`; it connects when it sends.
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request on an idle connection, or on a new one if none is idle.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't connect, or if the connection fails before the response head arrives.
    pub async fn send(
        &self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ClientError> {
        if !req.headers().contains_key(HOST) {
            let host = HeaderValue::from_str(&self.address.to_string());
            req.headers_mut()
                .insert(HOST, host.expect("an address is a header value"));
        }
        let idle = self.take_idle();
        let mut sender = match idle {
            Some(sender) => sender,
            None => connect(self.address).await?,
        };
        let res = sender.send_request(req).await?;
        // `take_idle` doesn't reuse the connection before the response body is read: only then is the sender ready.
        lock(&self.idle).push(sender);
        Ok(res)
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn get(&self, path: &str) -> Result<Response<Incoming>, ClientError> {
        self.send(request("GET", path, Bytes::new())).await
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn post(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Response<Incoming>, ClientError> {
        let text = serde_json::to_vec(body).map_err(|e| ClientError::Json(e.to_string()))?;
        self.send(request("POST", path, text)).await
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = lock(&self.idle);
        idle.retain(|sender| !sender.is_closed());
        let i = idle.iter().position(SendRequest::is_ready)?;
        Some(idle.swap_remove(i))
    }
}

/// Creates a request with the content type of JSON and no other headers.
pub fn request(method: &str, path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))
        .expect("method and path are well-formed")
}

/// Opens a connection and starts the task that drives it, which ends with the connection.
///
/// # Errors
///
/// Returns an error if the server can't be reached.
pub async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, ClientError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(ClientError::Connect)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}
