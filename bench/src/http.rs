//! A small HTTP/1.1 server and client, used by all of bench.

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
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::truth::lock;

/// Ends a connection without (the rest of) an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Abort;

impl fmt::Display for Abort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was aborted")
    }
}

impl Error for Abort {}

/// Body of an answer; an error in it aborts the connection.
pub type ResponseBody = UnsyncBoxBody<Bytes, Abort>;

/// What a handler gives back.
pub type HandlerResult = Result<Response<ResponseBody>, Abort>;

/// Handles one request; it is dropped when the client goes away.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, HandlerResult> + Send + Sync>;

/// A listening HTTP/1.1 server, one task per connection.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    closing: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `listen` and serves each request by `handler`.
    ///
    /// # Errors
    ///
    /// Where the address can't be bound.
    pub async fn start(listen: SocketAddr, handler: Handler) -> io::Result<Server> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (closing, rx) = watch::channel(false);
        let task = tokio::spawn(accept(listener, handler, rx));
        Ok(Server {
            address,
            closing,
            task,
        })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and waits until the open requests are answered.
    pub async fn close_gracefully(self) {
        self.closing.send_replace(true);
        // The accept task never panics; a cancelled one is closed too.
        let _ = self.task.await;
    }

    /// Stops listening and aborts all connections, as a crash does.
    pub async fn abort(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn accept(listener: TcpListener, handler: Handler, mut closing: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                // An accept error is one of a single connection, or passes.
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve(stream, handler.clone(), closing.clone()));
            }
            _ = connections.join_next(), if !connections.is_empty() => {}
            _ = closing.changed() => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(stream: TcpStream, handler: Handler, mut closing: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| handler(req));
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = closing.changed() => connection.as_mut().graceful_shutdown(),
    }
    // How a connection ends is the client's affair.
    let _ = connection.await;
}

/// A whole body.
pub fn full(body: impl Into<Bytes>) -> ResponseBody {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer with a status and no body.
pub fn empty(status: StatusCode) -> Response<ResponseBody> {
    let mut res = Response::new(full(Bytes::new()));
    *res.status_mut() = status;
    res
}

/// An answer with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    let text = serde_json::to_vec(value).expect("the border types have string keys only");
    let mut res = Response::new(full(text));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}

/// A body made from a stream of chunks.
pub fn streamed(chunks: impl Stream<Item = Result<Bytes, Abort>> + Send + 'static) -> ResponseBody {
    use futures_util::StreamExt;
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// A body that is fed through a channel; an [`Abort`] in it aborts the connection.
pub fn channel(buffer: usize) -> (mpsc::Sender<Result<Bytes, Abort>>, ResponseBody) {
    let (tx, mut rx) = mpsc::channel(buffer);
    (tx, streamed(stream::poll_fn(move |cx| rx.poll_recv(cx))))
}

/// Reads a whole request or response body.
///
/// # Errors
///
/// Where the connection ends before the body does.
pub async fn read_body(body: Incoming) -> Result<Bytes, hyper::Error> {
    Ok(body.collect().await?.to_bytes())
}

/// Reads a JSON body.
///
/// # Errors
///
/// Where the body breaks off or isn't of the type.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, ClientError> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).map_err(|e| ClientError::Json(e.to_string()))
}

/// The text of a header, empty where it is missing.
pub fn header<'a>(headers: &'a hyper::HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Sets a header whose value may hold anything; one that isn't a header value is left out.
pub fn set_header(res: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
}

/// A number from a query string.
pub fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// What can go wrong for a client.
#[derive(Debug)]
pub enum ClientError {
    /// The connection couldn't be opened, so nothing was sent.
    Connect(io::Error),
    /// The connection failed, with the request perhaps sent.
    Http(hyper::Error),
    /// The body wasn't the JSON that was expected.
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

/// A client of one server that keeps its idle connections.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl Client {
    /// A client of the server at `address`; connects on use.
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one request on an idle or a new connection.
    ///
    /// # Errors
    ///
    /// Where it can't connect, or the connection fails before the answer's head.
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
        // It counts as idle only once the answer's body is read; see `take_idle`.
        lock(&self.idle).push(sender);
        Ok(res)
    }

    /// Sends a GET.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn get(&self, path: &str) -> Result<Response<Incoming>, ClientError> {
        self.send(request("GET", path, Bytes::new())).await
    }

    /// Sends a POST with a JSON body.
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

/// A request with a JSON body, without headers of its own.
pub fn request(method: &str, path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))
        .expect("method and path are well-formed")
}

/// Opens one connection; its task ends with the connection.
///
/// # Errors
///
/// Where the server can't be reached.
pub async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, ClientError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(ClientError::Connect)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}
