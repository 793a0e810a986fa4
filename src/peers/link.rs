//! Outgoing connection to another gateway, for sync requests.

use super::directory::NodeEntry;
use super::message::decode;
use super::message::encode;
use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

/// Timeout for opening a connection: over ten times the longest round trip of the reference workload.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a response, after which the other node counts as unreachable. A response that carries a large
/// configuration takes half of this time on a slow link.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

async fn connect(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// An open WebSocket connection to another gateway.
pub(super) struct Link {
    socket: WebSocketStream<TcpStream>,
}

impl Link {
    /// Opens a connection to `node`.
    pub(super) async fn open(node: &NodeEntry) -> Result<Self, String> {
        Self::open_from(None, node).await
    }

    /// Opens a connection to `node` from the address `source` of this host, if one is given.
    pub(super) async fn open_from(
        source: Option<IpAddr>,
        node: &NodeEntry,
    ) -> Result<Self, String> {
        let opening = async {
            let stream = connect(source, node.address).await;
            let stream = stream.map_err(|err| err.to_string())?;
            stream.set_nodelay(true).map_err(|err| err.to_string())?;
            let url = format!("ws://{}/peers", node.address);
            let opened = tokio_tungstenite::client_async(url, stream).await;
            let (socket, _) = opened.map_err(|err| err.to_string())?;
            Ok(Self { socket })
        };
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
        opened.unwrap_or_else(|_| Err("connecting timed out".to_owned()))
    }

    /// Returns the connection, for other messages than requests and responses.
    pub(super) fn into_socket(self) -> WebSocketStream<TcpStream> {
        self.socket
    }

    /// Sends one request and waits for its response.
    pub(super) async fn request<Q: Serialize, R: DeserializeOwned>(
        &mut self,
        request: &Q,
    ) -> Result<R, String> {
        let bytes = encode(request)?;
        let exchange = async {
            let sent = self.socket.send(Message::binary(bytes)).await;
            sent.map_err(|err| err.to_string())?;
            loop {
                let Some(message) = self.socket.next().await else {
                    return Err("closed".to_owned());
                };
                if let Message::Binary(bytes) = message.map_err(|err| err.to_string())? {
                    return decode(&bytes);
                }
            }
        };
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
        response.unwrap_or_else(|_| Err("no answer in time".to_owned()))
    }
}
