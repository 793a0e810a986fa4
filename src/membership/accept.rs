//! Accepts connections of other nodes on the peer address.

use super::dial::CODE_HEADER;
use super::dial::FROM_HEADER;
use super::dial::NONCE_HEADER;
use super::dial::TO_HEADER;
use super::link;
use super::link::Ends;
use super::link::Link;
use super::link::OPEN_BYTES;
use super::record::Standing;
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

/// Most accepted connections; a node of the largest fleet has about a fifth of it.
const MAX_ACCEPTED: usize = 512;

/// Accepts connections of other nodes.
#[derive(Clone)]
pub struct Acceptor {
    shared: Arc<Shared>,
    open: Arc<AtomicUsize>,
}

/// What a node that asks for a connection says of itself.
struct Opening {
    from: String,
    to: String,
    nonce: String,
    code: Vec<u8>,
    key: String,
}

/// One place of the bounded number of accepted connections, given back when dropped.
struct Place(Arc<AtomicUsize>);

impl Place {
    fn take(open: &Arc<AtomicUsize>) -> Option<Self> {
        let place = Self(Arc::clone(open));
        (open.fetch_add(1, Ordering::Relaxed) < MAX_ACCEPTED).then_some(place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Acceptor {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            open: Arc::default(),
        }
    }

    /// Gives the name of this node.
    pub fn node(&self) -> &str {
        &self.shared.node.name
    }

    /// Gives the incarnation of this process.
    pub fn incarnation(&self) -> u64 {
        self.shared.state().table.me().incarnation
    }

    /// Counts an attempt whose sender does not know the deployment's key.
    pub fn note_stranger(&self) {
        self.shared.refusals.stranger.inc();
    }

    /// Counts an attempt that was meant for another node or a former process.
    pub fn note_misdirected(&self) {
        self.shared.refusals.misdirected.inc();
    }

    /// Counts an attempt that had come before.
    pub fn note_replayed(&self) {
        self.shared.refusals.replayed.inc();
    }

    /// Tells whether this node has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.shared.state().table.me().standing == Standing::Leaving
    }

    /// Answers a request for a connection, and carries the connection in a task of its own.
    pub fn accept(&self, req: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let node = &self.shared.node;
        let Some(opening) = opening(req.headers()).filter(|opening| {
            let Opening {
                from, to, nonce, ..
            } = opening;
            seal::is_open_code(&node.key, from, to, nonce, &opening.code)
        }) else {
            self.shared.refusals.stranger.inc();
            slog::warn!(self.shared.timeline.log(), "gossip of a stranger refused"; "peer" => %peer);
            return answer(StatusCode::FORBIDDEN);
        };
        if opening.to != node.name || opening.from == node.name {
            self.shared.refusals.misdirected.inc();
            return answer(StatusCode::MISDIRECTED_REQUEST);
        }
        let Some(place) = Place::take(&self.open) else {
            return answer(StatusCode::SERVICE_UNAVAILABLE);
        };
        let own = seal::nonce();
        let Ok(nonce) = HeaderValue::from_str(&own) else {
            return answer(StatusCode::INTERNAL_SERVER_ERROR);
        };
        let accept = derive_accept_key(opening.key.as_bytes());
        let Ok(accept) = HeaderValue::from_str(&accept) else {
            return answer(StatusCode::BAD_REQUEST);
        };
        tokio::spawn(carry(Arc::clone(&self.shared), req, opening, own, place));
        let mut response = answer(StatusCode::SWITCHING_PROTOCOLS);
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
        headers.insert(UPGRADE, HeaderValue::from_static("websocket"));
        headers.insert(SEC_WEBSOCKET_ACCEPT, accept);
        headers.insert(NONCE_HEADER, nonce);
        response
    }
}

async fn carry(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    opening: Opening,
    own: String,
    _place: Place,
) {
    let Ok(upgraded) = hyper::upgrade::on(req).await else {
        return;
    };
    shared
        .metrics
        .add_control_bytes(ControlKind::Gossip, OPEN_BYTES);
    let stream = TokioIo::new(upgraded);
    let socket = WebSocketStream::from_raw_socket(stream, Role::Server, Some(link::limits())).await;
    let seal = Seal::new(&shared.node.key, Side::Acceptor, &opening.nonce, &own);
    let is_near = shared.state().near.binary_search(&opening.from).is_ok();
    let ends = Ends {
        peer: opening.from,
        is_near,
        side: Side::Acceptor,
    };
    // Why it ended has been counted; the other end opens the next one.
    let _ = Link::new(&shared, ends, seal, socket).run().await;
}

fn opening(headers: &HeaderMap) -> Option<Opening> {
    let text = |name: &str| Some(headers.get(name)?.to_str().ok()?.to_owned());
    Some(Opening {
        from: text(FROM_HEADER)?,
        to: text(TO_HEADER)?,
        nonce: text(NONCE_HEADER)?,
        code: URL_SAFE_NO_PAD.decode(text(CODE_HEADER)?).ok()?,
        key: text(SEC_WEBSOCKET_KEY.as_str())?,
    })
}

fn answer(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
