//! Keeps one connection open to one peer, one task.

use super::Node;
use super::link;
use super::link::Ends;
use super::link::Link;
use super::link::OPEN_BYTES;
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

/// Path of gossip on the peer address.
pub const GOSSIP_PATH: &str = "/gossip";
/// Header that names the node that opens a connection.
pub(super) const FROM_HEADER: &str = "cb-from";
/// Header that names the node that it is meant for.
pub(super) const TO_HEADER: &str = "cb-to";
/// Header with the nonce of either end.
pub(super) const NONCE_HEADER: &str = "cb-nonce";
/// Header with the code of the opening.
pub(super) const CODE_HEADER: &str = "cb-mac";

/// Longest wait for an open connection.
const OPEN_WITHIN: Duration = Duration::from_millis(500);
/// Pause before the second try.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);

/// Keeps a connection to `peer` open until the task is ended.
pub(super) async fn keep(shared: Arc<Shared>, peer: Node, connects: Arc<Semaphore>) {
    let mut pause = FIRST_PAUSE;
    loop {
        let opened = {
            // The limit is on connections that are being opened, so that many that heal at once come one by one.
            let Ok(_permit) = connects.acquire().await else {
                return;
            };
            open(&shared, &peer).await
        };
        match opened {
            Some(link) => {
                let began = Instant::now();
                let ended = link.run().await;
                slog::info!(shared.timeline.log(), "connection to a node ended";
                    "peer" => &peer.name, "cause" => ?ended);
                if began.elapsed() > LONGEST_PAUSE {
                    pause = FIRST_PAUSE;
                }
            }
            None => shared.state().reach.down(&peer.name, Instant::now()),
        }
        let jittered = pause.mul_f64(rand::rng().random_range(0.5..1.0));
        tokio::time::sleep(jittered).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

async fn open(shared: &Arc<Shared>, peer: &Node) -> Option<Link<TcpStream>> {
    let opening = handshake(shared, peer);
    let (socket, nonces) = tokio::time::timeout(OPEN_WITHIN, opening).await.ok()??;
    shared
        .metrics
        .add_control_bytes(ControlKind::Gossip, OPEN_BYTES);
    let ends = Ends {
        peer: peer.name.clone(),
        is_near: peer.data_centre == shared.node.data_centre,
        side: Side::Dialer,
    };
    let seal = Seal::new(&shared.node.key, Side::Dialer, &nonces.0, &nonces.1);
    Some(Link::new(shared, ends, seal, socket))
}

pub(super) async fn handshake(
    shared: &Shared,
    peer: &Node,
) -> Option<(WebSocketStream<TcpStream>, (String, String))> {
    let stream = connect(peer.address, shared.node.source_ip).await.ok()?;
    let from = &shared.node.name;
    let own = seal::nonce();
    let code = seal::open_code(&shared.node.key, from, &peer.name, &own);
    let url = format!("ws://{}{GOSSIP_PATH}", peer.address);
    let mut request = url.into_client_request().ok()?;
    let code = URL_SAFE_NO_PAD.encode(code);
    let headers = [
        (FROM_HEADER, from),
        (TO_HEADER, &peer.name),
        (NONCE_HEADER, &own),
        (CODE_HEADER, &code),
    ];
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).ok()?;
        request.headers_mut().insert(name, value);
    }
    let opened =
        tokio_tungstenite::client_async_with_config(request, stream, Some(link::limits())).await;
    let (socket, response) = opened.ok()?;
    let theirs = response.headers().get(NONCE_HEADER)?.to_str().ok()?;
    let theirs = theirs.to_owned();
    Some((socket, (own, theirs)))
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
