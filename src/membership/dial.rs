//! Keeps a connection open to one peer; each peer has its own task.

use super::Node;
use super::link;
use super::link::HANDSHAKE_BYTES;
use super::link::Link;
use super::link::LinkInfo;
use super::seal;
use super::seal::Seal;
use super::seal::Side;
use super::shared::Shared;
use crate::operations::ControlKind;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hyper::header::HeaderValue;
use rand::RngExt;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;

/// Path on the peer address at which nodes open gossip connections.
pub const GOSSIP_PATH: &str = "/gossip";
/// Header with the name of the node that opens the connection.
pub(super) const FROM_HEADER: &str = "cb-from";
/// Header with the name of the node that the connection is addressed to.
pub(super) const TO_HEADER: &str = "cb-to";
/// Header with the sender's nonce: the dialer's in the request, the acceptor's in the response.
pub(super) const NONCE_HEADER: &str = "cb-nonce";
/// Header with the MAC of the handshake.
pub(super) const MAC_HEADER: &str = "cb-mac";

/// Timeout for TCP connect and handshake.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the first reconnect, doubled after each one up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay before a reconnect. A connection that lasted longer resets the delay.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// Keeps a connection to `peer` open, reconnecting after each end, until the task is aborted.
pub(super) async fn maintain(shared: Arc<Shared>, peer: Node, connect_permits: Arc<Semaphore>) {
    let mut delay = INITIAL_RETRY_DELAY;
    loop {
        let opened = {
            // The permit covers only the opening. When a partition heals, many peers become reachable at once, and the
            // limit spreads the handshakes.
            let Ok(_permit) = connect_permits.acquire().await else {
                return;
            };
            open(&shared, &peer).await
        };
        match opened {
            Some(link) => {
                let opened_at = Instant::now();
                let reason = link.run().await;
                slog::info!(shared.timeline.log(), "connection to peer closed";
                    "peer" => &peer.name, "cause" => ?reason);
                if opened_at.elapsed() > MAX_RETRY_DELAY {
                    delay = INITIAL_RETRY_DELAY;
                }
            }
            None => shared
                .state()
                .reachability
                .record_disconnected(&peer.name, Instant::now()),
        }
        let jittered = delay.mul_f64(rand::rng().random_range(0.5..1.0));
        tokio::time::sleep(jittered).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Opens a connection to `peer`; returns `None` if that fails or takes longer than [`OPEN_TIMEOUT`].
async fn open(shared: &Arc<Shared>, peer: &Node) -> Option<Link<TcpStream>> {
    let handshake = handshake(shared, peer);
    let (socket, nonces) = tokio::time::timeout(OPEN_TIMEOUT, handshake).await.ok()??;
    shared
        .metrics
        .add_control_bytes(ControlKind::Gossip, HANDSHAKE_BYTES);
    let info = LinkInfo {
        peer: peer.name.clone(),
        is_near: peer.data_centre == shared.node.data_centre,
        side: Side::Dialer,
    };
    let seal = Seal::new(&shared.node.key, Side::Dialer, &nonces.0, &nonces.1);
    Some(Link::new(shared, info, seal, socket))
}

/// Connects to `peer` and opens a WebSocket. Returns the socket with the nonces of this node and of the peer.
pub(super) async fn handshake(
    shared: &Shared,
    peer: &Node,
) -> Option<(WebSocketStream<TcpStream>, (String, String))> {
    let stream = connect(peer.address, shared.node.source_ip).await.ok()?;
    let from = &shared.node.name;
    let own_nonce = seal::nonce();
    let mac = seal::handshake_mac(&shared.node.key, from, &peer.name, &own_nonce);
    let url = format!("ws://{}{GOSSIP_PATH}", peer.address);
    let mut request = url.into_client_request().ok()?;
    let mac = URL_SAFE_NO_PAD.encode(mac);
    let headers = [
        (FROM_HEADER, from),
        (TO_HEADER, &peer.name),
        (NONCE_HEADER, &own_nonce),
        (MAC_HEADER, &mac),
    ];
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).ok()?;
        request.headers_mut().insert(name, value);
    }
    let opened =
        tokio_tungstenite::client_async_with_config(request, stream, Some(link::limits())).await;
    let (socket, response) = opened.ok()?;
    let peer_nonce = response.headers().get(NONCE_HEADER)?.to_str().ok()?;
    let peer_nonce = peer_nonce.to_owned();
    Some((socket, (own_nonce, peer_nonce)))
}

async fn connect(address: SocketAddr, source_ip: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(ip) = source_ip {
        socket.bind(SocketAddr::new(ip, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
