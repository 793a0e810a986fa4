//! Owners tell each other the loads of their backend servers, for the mean that the bound is a multiple of.
//!
//! Each question carries the asker's loads and its answer the other's, so one exchange serves both. A few random peers
//! are asked in each round, so that the traffic of a node does not grow with the fleet.

use super::LOADS_PATH;
use super::MAC_HEADER;
use super::PROTOCOL_VERSION;
use super::codec;
use super::mac;
use super::serve::bare;
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

/// Peers asked in each round.
const PEERS: usize = 2;
/// Longest wait for an answer; later loads come with the next round.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Largest summary that is read, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// What the exchange is made of.
pub struct LoadExchangeParts {
    /// Name of this node.
    pub node: String,
    /// Time between two rounds.
    pub interval: Duration,
    /// Whose loads are told.
    pub owner: Arc<Owner>,
    /// Who the others are.
    pub membership: Arc<dyn Membership>,
    /// The way to them.
    pub client: Client,
    /// The deployment's key.
    pub key: DeploymentKey,
    /// Where traffic is counted.
    pub metrics: Arc<Metrics>,
}

/// The task that exchanges loads.
pub struct LoadExchange(JoinHandle<()>);

impl LoadExchange {
    /// Starts to exchange.
    pub fn start(parts: LoadExchangeParts) -> Self {
        Self(tokio::spawn(exchange(Arc::new(parts))))
    }

    /// Stops exchanging.
    pub fn close(self) {
        self.0.abort();
    }
}

async fn exchange(parts: Arc<LoadExchangeParts>) {
    loop {
        tokio::time::sleep(parts.interval).await;
        let view = parts.membership.view();
        let others = view.nodes().iter().filter(|node| node.name != parts.node);
        for peer in others.sample(&mut rand::rng(), PEERS) {
            // One that is silent must not hold up the others.
            tokio::spawn(ask(Arc::clone(&parts), peer.clone()));
        }
    }
}

/// Asks one peer; what fails is left to the next round.
async fn ask(parts: Arc<LoadExchangeParts>, peer: Node) -> Option<()> {
    let sent = encode(&parts.owner)?;
    let code = codec::text_of(&mac::code(&parts.key, &sent));
    let len = sent.len();
    let req = Request::post(format!("http://{}{LOADS_PATH}", peer.address))
        .header(MAC_HEADER, code)
        .body(full_body(sent))
        .ok()?;
    let response = parts.client.send(req, TIMEOUT).await.ok()?;
    let code = code_of(response.headers())?;
    let body = collect(response.into_body(), MAX_BYTES).await.ok()?;
    parts
        .metrics
        .add_control_bytes(ControlKind::Gossip, LOADS_PATH.len() + len + body.len());
    hear(&parts.owner, &parts.key, &body, &code)
}

/// Answers one peer.
pub(super) async fn answer(
    owner: &Owner,
    key: &DeploymentKey,
    req: Request<Incoming>,
) -> Response<Body> {
    let Some(code) = code_of(req.headers()) else {
        return bare(StatusCode::FORBIDDEN);
    };
    let Ok(body) = collect(req.into_body(), MAX_BYTES).await else {
        return bare(StatusCode::BAD_REQUEST);
    };
    if hear(owner, key, &body, &code).is_none() {
        return bare(StatusCode::FORBIDDEN);
    }
    let Some(own) = encode(owner) else {
        return bare(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let code = codec::text_of(&mac::code(key, &own));
    let mut response = Response::new(full_body(own));
    if let Ok(code) = code.parse() {
        response.headers_mut().insert(MAC_HEADER, code);
    }
    response
}

fn encode(owner: &Owner) -> Option<Vec<u8>> {
    let summary = LoadSummary {
        v: PROTOCOL_VERSION,
        loads: owner.owned_loads(),
    };
    let mut buf = Vec::new();
    ciborium::into_writer(&summary, &mut buf).ok()?;
    Some(buf)
}

fn code_of(headers: &hyper::HeaderMap) -> Option<Vec<u8>> {
    codec::bytes_of(headers.get(MAC_HEADER)?.as_bytes()).ok()
}

/// Takes in a summary whose sender has proved that it knows the deployment's key.
fn hear(owner: &Owner, key: &DeploymentKey, body: &[u8], code: &[u8]) -> Option<()> {
    if !mac::is_valid(key, body, code) {
        return None;
    }
    let summary: LoadSummary = ciborium::from_reader(body).ok()?;
    owner.record_loads(&summary.loads);
    Some(())
}
