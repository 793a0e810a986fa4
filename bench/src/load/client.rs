//! The callers' HTTP client. It tells a request that was never sent from one that may have run, because only the first
//! may be sent again to another node.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request brought no answer.
#[derive(Clone, Debug)]
pub enum SendError {
    /// Nothing of the request was sent.
    NotSent(String),
    /// The request may have been sent and have taken effect.
    MaybeSent(String),
}

/// A client with at most one open connection to each address.
#[derive(Default)]
pub struct Client {
    open: Vec<(SocketAddr, SendRequest<Full<Bytes>>)>,
}

impl Client {
    /// Makes a client without connections.
    pub fn new() -> Client {
        Client::default()
    }

    /// Gets `path`.
    ///
    /// # Errors
    ///
    /// Says whether the request may have been sent.
    pub async fn get(
        &mut self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Response<Incoming>, SendError> {
        let request = Request::get(path)
            .header("host", address.to_string())
            .body(Full::default());
        let request = request.map_err(|err| SendError::NotSent(err.to_string()))?;
        self.send(address, request).await
    }

    /// Sends a request over the open connection, or over a new one.
    ///
    /// # Errors
    ///
    /// Says whether the request may have been sent.
    pub async fn send(
        &mut self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let mut request = request;
        if let Some(mut sender) = self.take(address).await {
            match sender.try_send_request(request).await {
                Ok(answer) => {
                    self.open.push((address, sender));
                    return Ok(answer);
                }
                Err(mut err) => match err.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::MaybeSent(err.error().to_string())),
                },
            }
        }
        let mut sender = connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(answer) => {
                self.open.push((address, sender));
                Ok(answer)
            }
            Err(mut err) => match err.take_message() {
                Some(_) => Err(SendError::NotSent(err.error().to_string())),
                None => Err(SendError::MaybeSent(err.error().to_string())),
            },
        }
    }

    /// Forgets the connection to an address, so that the next request opens another.
    pub fn close_connection(&mut self, address: SocketAddr) {
        self.open.retain(|(open, _)| *open != address);
    }

    /// Takes out the open connection, if it can still be used.
    async fn take(&mut self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let index = self.open.iter().position(|(open, _)| *open == address)?;
        let (_, mut sender) = self.open.swap_remove(index);
        sender.ready().await.ok()?;
        Some(sender)
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, SendError> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let socket = match connected {
        Ok(Ok(socket)) => socket,
        Ok(Err(err)) => return Err(SendError::NotSent(err.to_string())),
        Err(_) => return Err(SendError::NotSent(String::from("no connection in time"))),
    };
    let _ = socket.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(socket)).await;
    let (sender, connection) = handshake.map_err(|err| SendError::NotSent(err.to_string()))?;
    // The connection's own error reaches the request that uses it.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}
