//! Accepts connections from other nodes on the peer address.

use super::dial::FROM_HEADER;
use super::dial::MAC_HEADER;
use super::dial::NONCE_HEADER;
use super::dial::TO_HEADER;
use super::link;
use super::link::HANDSHAKE_BYTES;
use super::link::Link;
use super::link::LinkInfo;
use super::record::NodeStatus;
use super::seal;
use super::seal::Seal;
use super::seal::Side;
use super::shared::Shared;
use crate::net::Body;
use crate::net::empty_body;
use crate::operations::ControlKind;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::SEC_WEBSOCKET_ACCEPT;
use hyper::header::SEC_WEBSOCKET_KEY;
use hyper::header::UPGRADE;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::handshake::derive_accept_key;
use tokio_tungstenite::tungstenite::protocol::Role;

/// Maximum number of accepted connections, about five times what a node of the largest fleet has.
const MAX_ACCEPTED_CONNECTIONS: usize = 512;

/// Accepts connections from other nodes.
#[derive(Clone)]
pub struct Acceptor {
    shared: Arc<Shared>,
    connections: Arc<AtomicUsize>,
}

/// The headers of a request to open a connection.
struct HandshakeRequest {
    /// Name of the node that opens the connection.
    from: String,
    /// Name of the node that the connection is addressed to.
    to: String,
    /// Nonce of the node that opens the connection.
    nonce: String,
    /// MAC over both names and the nonce.
    mac: Vec<u8>,
    websocket_key: String,
}

/// Permit for one accepted connection, out of [`MAX_ACCEPTED_CONNECTIONS`]; released on drop.
struct ConnectionSlot(Arc<AtomicUsize>);

impl ConnectionSlot {
    fn try_acquire(connections: &Arc<AtomicUsize>) -> Option<Self> {
        let slot = Self(Arc::clone(connections));
        (connections.fetch_add(1, Ordering::Relaxed) < MAX_ACCEPTED_CONNECTIONS).then_some(slot)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Acceptor {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            connections: Arc::default(),
        }
    }

    /// Returns the name of this node.
    pub fn node(&self) -> &str {
        &self.shared.node.name
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> u64 {
        self.shared.state().table.own_record().incarnation
    }

    /// Counts an attempt that is not authenticated by the deployment's key.
    pub fn record_unauthenticated(&self) {
        self.shared.refusals.unauthenticated.inc();
    }

    /// Counts an attempt that was addressed to another node or to a previous process of this node.
    pub fn record_misdirected(&self) {
        self.shared.refusals.misdirected.inc();
    }

    /// Counts an attempt that was received before.
    pub fn record_replayed(&self) {
        self.shared.refusals.replayed.inc();
    }

    /// Returns whether this node has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.shared.state().table.own_record().status == NodeStatus::Leaving
    }

    /// Answers a request to open a connection, and runs an accepted connection in a new task.
    pub fn accept(&self, req: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let node = &self.shared.node;
        let Some(handshake) = parse_handshake(req.headers()).filter(|handshake| {
            let HandshakeRequest {
                from, to, nonce, ..
            } = handshake;
            seal::is_handshake_mac_valid(&node.key, from, to, nonce, &handshake.mac)
        }) else {
            self.shared.refusals.unauthenticated.inc();
            slog::warn!(self.shared.timeline.log(), "connection from an unauthenticated peer refused"; "peer" => %peer);
            return respond(StatusCode::FORBIDDEN);
        };
        if handshake.to != node.name || handshake.from == node.name {
            self.shared.refusals.misdirected.inc();
            return respond(StatusCode::MISDIRECTED_REQUEST);
        }
        let Some(slot) = ConnectionSlot::try_acquire(&self.connections) else {
            return respond(StatusCode::SERVICE_UNAVAILABLE);
        };
        let own_nonce = seal::nonce();
        let Ok(nonce) = HeaderValue::from_str(&own_nonce) else {
            return respond(StatusCode::INTERNAL_SERVER_ERROR);
        };
        let accept = derive_accept_key(handshake.websocket_key.as_bytes());
        let Ok(accept) = HeaderValue::from_str(&accept) else {
            return respond(StatusCode::BAD_REQUEST);
        };
        tokio::spawn(run_link(
            Arc::clone(&self.shared),
            req,
            handshake,
            own_nonce,
            slot,
        ));
        let mut response = respond(StatusCode::SWITCHING_PROTOCOLS);
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
        headers.insert(UPGRADE, HeaderValue::from_static("websocket"));
        headers.insert(SEC_WEBSOCKET_ACCEPT, accept);
        headers.insert(NONCE_HEADER, nonce);
        response
    }
}

async fn run_link(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    handshake: HandshakeRequest,
    own_nonce: String,
    _slot: ConnectionSlot,
) {
    let Ok(upgraded) = hyper::upgrade::on(req).await else {
        return;
    };
    shared
        .metrics
        .add_control_bytes(ControlKind::Gossip, HANDSHAKE_BYTES);
    let stream = TokioIo::new(upgraded);
    let socket = WebSocketStream::from_raw_socket(stream, Role::Server, Some(link::limits())).await;
    let seal = Seal::new(
        &shared.node.key,
        Side::Acceptor,
        &handshake.nonce,
        &own_nonce,
    );
    let is_near = shared.state().near.binary_search(&handshake.from).is_ok();
    let info = LinkInfo {
        peer: handshake.from,
        is_near,
        side: Side::Acceptor,
    };
    // `run` has counted the reason, and the dialer is the end that reconnects.
    let _ = Link::new(&shared, info, seal, socket).run().await;
}

fn parse_handshake(headers: &HeaderMap) -> Option<HandshakeRequest> {
    let text = |name: &str| Some(headers.get(name)?.to_str().ok()?.to_owned());
    Some(HandshakeRequest {
        from: text(FROM_HEADER)?,
        to: text(TO_HEADER)?,
        nonce: text(NONCE_HEADER)?,
        mac: URL_SAFE_NO_PAD.decode(text(MAC_HEADER)?).ok()?,
        websocket_key: text(SEC_WEBSOCKET_KEY.as_str())?,
    })
}

fn respond(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
