//! The HTTP client of the callers.
//!
//! Its errors distinguish a request that was certainly not sent from one that may have been sent and run, because only
//! the former may be sent to another node.

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

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why a request got no response.
#[derive(Clone, Debug)]
pub enum SendError {
    /// No part of the request was sent.
    NotSent(String),
    /// The request may have been sent, and may have taken effect.
    MaybeSent(String),
}

/// An HTTP client that keeps at most one open connection to each address.
#[derive(Default)]
pub struct Client {
    open: Vec<(SocketAddr, SendRequest<Full<Bytes>>)>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new() -> Client {
        Client::default()
    }

    /// Sends a GET request for `path`.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` if the request was certainly not sent, otherwise `MaybeSent`.
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

    /// Sends a request over the open connection to the address, or over a new connection.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` if the request was certainly not sent, otherwise `MaybeSent`.
    pub async fn send(
        &mut self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let mut request = request;
        if let Some(mut sender) = self.take_connection(address).await {
            match sender.try_send_request(request).await {
                Ok(response) => {
                    self.open.push((address, sender));
                    return Ok(response);
                }
                Err(mut err) => match err.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::MaybeSent(err.error().to_string())),
                },
            }
        }
        let mut sender = connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => {
                self.open.push((address, sender));
                Ok(response)
            }
            Err(mut err) => match err.take_message() {
                Some(_) => Err(SendError::NotSent(err.error().to_string())),
                None => Err(SendError::MaybeSent(err.error().to_string())),
            },
        }
    }

    /// Drops the connection to an address, so that the next request opens a new one.
    pub fn close_connection(&mut self, address: SocketAddr) {
        self.open.retain(|(open, _)| *open != address);
    }

    /// Removes the open connection to an address from the client and returns it if it is still usable.
    async fn take_connection(&mut self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
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
    // An error of the connection is also returned by the request that uses it, so it can be ignored here.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}
