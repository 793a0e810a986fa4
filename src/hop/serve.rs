//! Serves the peer address, where other nodes send attempts.

use super::CALL_PATH;
use super::HOP_PATH;
use super::LOADS_PATH;
use super::PROTOCOL_VERSION;
use super::REPLY_HEADER;
use super::codec;
use super::exchange;
use super::guard::Checked;
use super::guard::Guard;
use super::guard::GuardError;
use crate::border::generated::peer::HopReply;
use crate::membership::Acceptor;
use crate::membership::GOSSIP_PATH;
use crate::net::Body;
use crate::net::Handler;
use crate::net::collect;
use crate::net::empty_body;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::owner::Answer;
use crate::owner::Attempt;
use crate::owner::Owner;
use crate::settings::DeploymentKey;
use crate::timeline::Timeline;
use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use std::net::SocketAddr;
use std::sync::Arc;

/// Oldest version of the messages between nodes that this program reads.
const OLDEST_VERSION: u32 = PROTOCOL_VERSION;

/// Runs non-idempotent calls that other nodes send here, since this node decides about their keys.
#[async_trait]
pub trait Forwarded: Send + Sync {
    /// Runs the call, or gives the answer that its key's first call got.
    ///
    /// # Errors
    ///
    /// Tells whether the call certainly did not run.
    async fn forwarded(&self, attempt: Attempt) -> Result<Answer, Refusal>;
}

/// Serves the peer address.
pub struct PeerServer {
    owner: Arc<Owner>,
    calls: Arc<dyn Forwarded>,
    gossip: Acceptor,
    guard: Guard,
    timeline: Arc<Timeline>,
    max_body_bytes: usize,
}

impl PeerServer {
    /// Makes a server that hands attempts to `owner`, non-idempotent calls to `calls` and connections to `gossip`.
    pub fn new(
        owner: Arc<Owner>,
        calls: Arc<dyn Forwarded>,
        gossip: Acceptor,
        key: DeploymentKey,
        timeline: Arc<Timeline>,
        max_body_bytes: usize,
    ) -> Self {
        Self {
            owner,
            guard: Guard::new(gossip.node(), key),
            calls,
            gossip,
            timeline,
            max_body_bytes,
        }
    }

    async fn run(
        &self,
        checked: Checked,
        body: Incoming,
        is_call: bool,
    ) -> Result<Answer, Refusal> {
        self.timeline.observe(&checked.head.hlc);
        let whole = collect(body, self.max_body_bytes).await.ok();
        let whole = whole.filter(|body| checked.has_body(body));
        let Some(body) = whole else {
            return Err(Refusal::not_run(NotRun::BadRequest));
        };
        if self.gossip.is_leaving() && !is_call {
            // The sender has not heard yet that this node's backend servers have another owner. A call is decided all
            // the same: its key may be one that only this process knows about.
            return Err(Refusal::not_run(NotRun::Stopping));
        }
        let head = checked.head;
        let attempt = Attempt { head, body };
        match is_call {
            true => self.calls.forwarded(attempt).await,
            false => self.owner.run(&attempt).await,
        }
    }

    fn refuse(&self, err: GuardError, peer: SocketAddr) -> Response<Body> {
        slog::warn!(self.timeline.log(), "attempt refused"; "peer" => %peer, "cause" => ?err);
        match err {
            GuardError::Stranger => self.gossip.record_unauthenticated(),
            GuardError::Misdirected => self.gossip.record_misdirected(),
            GuardError::Replayed => self.gossip.record_replayed(),
        }
        bare(match err {
            GuardError::Stranger => StatusCode::FORBIDDEN,
            GuardError::Misdirected => StatusCode::MISDIRECTED_REQUEST,
            GuardError::Replayed => StatusCode::CONFLICT,
        })
    }

    fn response(&self, id: &str, answer: Result<Answer, Refusal>) -> Response<Body> {
        let hlc = self.timeline.stamp();
        match answer {
            Ok(answer) => reply(&codec::answered(id, &answer, hlc), answer.body),
            Err(refusal) => reply(&codec::refused(id, &refusal, hlc), empty_body()),
        }
    }
}

#[async_trait]
impl Handler for PeerServer {
    async fn handle(&self, req: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let path = req.uri().path();
        let is_call = match path {
            GOSSIP_PATH => return self.gossip.accept(req, peer),
            LOADS_PATH => return exchange::answer(&self.owner, self.guard.key(), req).await,
            HOP_PATH => false,
            CALL_PATH => true,
            _ => return bare(StatusCode::NOT_FOUND),
        };
        let incarnation = self.gossip.incarnation();
        let checked = match self.guard.check(path, req.headers(), incarnation) {
            Ok(checked) if checked.head.v >= OLDEST_VERSION => checked,
            Ok(_) => return bare(StatusCode::FORBIDDEN),
            Err(err) => return self.refuse(err, peer),
        };
        let id = checked.head.id.clone();
        let answer = self.run(checked, req.into_body(), is_call).await;
        self.response(&id, answer)
    }
}

fn reply(head: &HopReply, body: Body) -> Response<Body> {
    let value = codec::to_header(head).ok();
    let Some(value) = value.and_then(|value| HeaderValue::from_str(&value).ok()) else {
        return bare(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = Response::new(body);
    response.headers_mut().insert(REPLY_HEADER, value);
    response
}

pub(super) fn bare(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
