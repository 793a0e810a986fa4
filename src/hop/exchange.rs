//! Exchanges the loads of backend servers between the nodes that own them. The load bound of a backend server is a
//! multiple of the mean load, so each owner needs the loads of other owners.
//!
//! A request contains the loads of its sender and the response those of the receiver, so one exchange informs both
//! nodes. In each round a node contacts a few random peers, so that its traffic does not grow with the number of nodes.

use super::LOADS_PATH;
use super::MAC_HEADER;
use super::PROTOCOL_VERSION;
use super::codec;
use super::mac;
use super::serve::empty_response;
use crate::border::generated::peer::LoadSummary;
use crate::membership::Membership;
use crate::membership::Node;
use crate::net::Body;
use crate::net::Client;
use crate::net::collect;
use crate::net::full_body;
use crate::operations::ControlKind;
use crate::operations::Metrics;
use crate::owner::Owner;
use crate::settings::DeploymentKey;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use rand::seq::IteratorRandom;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Number of peers that a node contacts in each round.
const PEERS_PER_ROUND: usize = 2;
/// Maximum time to wait for a response. The next round sends newer loads anyway.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a received load summary.
const MAX_SUMMARY_BYTES: usize = 1 << 20;

/// Dependencies of [`LoadExchange`].
pub struct LoadExchangeParts {
    /// Name of this node.
    pub node: String,
    /// Time between two rounds.
    pub interval: Duration,
    /// Owner whose loads are sent, and which records the received loads.
    pub owner: Arc<Owner>,
    /// Source of the view of nodes.
    pub membership: Arc<dyn Membership>,
    /// HTTP client for requests to peers.
    pub client: Client,
    /// Key shared by all nodes of the deployment.
    pub key: DeploymentKey,
    /// Metrics that count the traffic.
    pub metrics: Arc<Metrics>,
}

/// Handle of the task that exchanges loads.
pub struct LoadExchange(JoinHandle<()>);

impl LoadExchange {
    /// Starts the task.
    pub fn start(parts: LoadExchangeParts) -> Self {
        Self(tokio::spawn(run_rounds(Arc::new(parts))))
    }

    /// Stops the task.
    pub fn close(self) {
        self.0.abort();
    }
}

async fn run_rounds(parts: Arc<LoadExchangeParts>) {
    loop {
        tokio::time::sleep(parts.interval).await;
        let view = parts.membership.view();
        let others = view.nodes().iter().filter(|node| node.name != parts.node);
        for peer in others.sample(&mut rand::rng(), PEERS_PER_ROUND) {
            // Each exchange runs in a task of its own, so that a peer that does not respond can't delay the others.
            tokio::spawn(exchange_with(Arc::clone(&parts), peer.clone()));
        }
    }
}

/// Exchanges loads with one peer. Returns `None` if that fails; there is no retry before the next round.
async fn exchange_with(parts: Arc<LoadExchangeParts>, peer: Node) -> Option<()> {
    let sent = encode_summary(&parts.owner)?;
    let code = codec::encode_base64(&mac::code(&parts.key, &sent));
    let len = sent.len();
    let req = Request::post(format!("http://{}{LOADS_PATH}", peer.address))
        .header(MAC_HEADER, code)
        .body(full_body(sent))
        .ok()?;
    let response = parts.client.send(req, EXCHANGE_TIMEOUT).await.ok()?;
    let code = decode_mac(response.headers())?;
    let body = collect(response.into_body(), MAX_SUMMARY_BYTES)
        .await
        .ok()?;
    parts
        .metrics
        .add_control_bytes(ControlKind::Gossip, LOADS_PATH.len() + len + body.len());
    apply_summary(&parts.owner, &parts.key, &body, &code)
}

/// Responds to the exchange request of a peer.
pub(super) async fn answer(
    owner: &Owner,
    key: &DeploymentKey,
    req: Request<Incoming>,
) -> Response<Body> {
    let Some(code) = decode_mac(req.headers()) else {
        return empty_response(StatusCode::FORBIDDEN);
    };
    let Ok(body) = collect(req.into_body(), MAX_SUMMARY_BYTES).await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    if apply_summary(owner, key, &body, &code).is_none() {
        return empty_response(StatusCode::FORBIDDEN);
    }
    let Some(own) = encode_summary(owner) else {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let code = codec::encode_base64(&mac::code(key, &own));
    let mut response = Response::new(full_body(own));
    if let Ok(code) = code.parse() {
        response.headers_mut().insert(MAC_HEADER, code);
    }
    response
}

fn encode_summary(owner: &Owner) -> Option<Vec<u8>> {
    let summary = LoadSummary {
        v: PROTOCOL_VERSION,
        loads: owner.owned_loads(),
    };
    let mut buf = Vec::new();
    ciborium::into_writer(&summary, &mut buf).ok()?;
    Some(buf)
}

fn decode_mac(headers: &hyper::HeaderMap) -> Option<Vec<u8>> {
    codec::decode_base64(headers.get(MAC_HEADER)?.as_bytes()).ok()
}

/// Records the loads in a summary. Returns `None` if the code is not valid for the deployment's key or the summary is
/// malformed.
fn apply_summary(owner: &Owner, key: &DeploymentKey, body: &[u8], code: &[u8]) -> Option<()> {
    if !mac::is_valid(key, body, code) {
        return None;
    }
    let summary: LoadSummary = ciborium::from_reader(body).ok()?;
    owner.record_loads(&summary.loads);
    Some(())
}
