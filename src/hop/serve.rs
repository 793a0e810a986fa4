//! HTTP server on the peer address, to which other nodes send attempts, calls, loads and gossip.

use super::CALL_PATH;
use super::HOP_PATH;
use super::LOADS_PATH;
use super::PROTOCOL_VERSION;
use super::REPLY_HEADER;
use super::codec;
use super::exchange;
use super::signing::VerifiedAttempt;
use super::signing::Verifier;
use super::signing::VerifyError;
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

/// Lowest protocol version of messages from other nodes that this program accepts.
const MIN_PROTOCOL_VERSION: u32 = PROTOCOL_VERSION;

/// Runs non-idempotent calls that other nodes forwarded to this node because it decides about their keys.
#[async_trait]
pub trait ForwardedCallHandler: Send + Sync {
    /// Runs the call, or returns the outcome of the key's first call.
    ///
    /// # Errors
    ///
    /// The refusal says whether the call certainly did not run.
    async fn run_forwarded(&self, attempt: Attempt) -> Result<Answer, Refusal>;
}

/// HTTP handler of the peer address.
pub struct PeerServer {
    owner: Arc<Owner>,
    calls: Arc<dyn ForwardedCallHandler>,
    gossip: Acceptor,
    verifier: Verifier,
    timeline: Arc<Timeline>,
    max_body_bytes: usize,
}

impl PeerServer {
    /// Creates a handler that passes attempts to `owner`, non-idempotent calls to `calls` and gossip connections to
    /// `gossip`.
    pub fn new(
        owner: Arc<Owner>,
        calls: Arc<dyn ForwardedCallHandler>,
        gossip: Acceptor,
        key: DeploymentKey,
        timeline: Arc<Timeline>,
        max_body_bytes: usize,
    ) -> Self {
        Self {
            owner,
            verifier: Verifier::new(gossip.node(), key),
            calls,
            gossip,
            timeline,
            max_body_bytes,
        }
    }

    /// Reads the body, checks it against the signed hash, and runs the attempt or call.
    async fn run(
        &self,
        verified: VerifiedAttempt,
        body: Incoming,
        is_call: bool,
    ) -> Result<Answer, Refusal> {
        self.timeline.observe(&verified.head.hlc);
        let complete_body = collect(body, self.max_body_bytes).await.ok();
        let complete_body = complete_body.filter(|body| verified.has_body(body));
        let Some(body) = complete_body else {
            return Err(Refusal::not_run(NotRun::BadRequest));
        };
        if self.gossip.is_leaving() && !is_call {
            // The sender does not know yet that this node's backend servers have another owner. A non-idempotent call
            // is still handled, since only this process may know the outcome of an earlier call with the same key.
            return Err(Refusal::not_run(NotRun::Stopping));
        }
        let head = verified.head;
        let attempt = Attempt { head, body };
        match is_call {
            true => self.calls.run_forwarded(attempt).await,
            false => self.owner.run(&attempt).await,
        }
    }

    /// Logs and counts a refused attempt and returns the response for it.
    fn refuse(&self, err: VerifyError, peer: SocketAddr) -> Response<Body> {
        slog::warn!(self.timeline.log(), "attempt refused"; "peer" => %peer, "cause" => ?err);
        match err {
            VerifyError::Stranger => self.gossip.record_unauthenticated(),
            VerifyError::Misdirected => self.gossip.record_misdirected(),
            VerifyError::Replayed => self.gossip.record_replayed(),
        }
        empty_response(match err {
            VerifyError::Stranger => StatusCode::FORBIDDEN,
            VerifyError::Misdirected => StatusCode::MISDIRECTED_REQUEST,
            VerifyError::Replayed => StatusCode::CONFLICT,
        })
    }

    fn response(&self, id: &str, answer: Result<Answer, Refusal>) -> Response<Body> {
        let hlc = self.timeline.stamp();
        match answer {
            Ok(answer) => reply(&codec::answered_reply(id, &answer, hlc), answer.body),
            Err(refusal) => reply(&codec::refused_reply(id, &refusal, hlc), empty_body()),
        }
    }
}

#[async_trait]
impl Handler for PeerServer {
    async fn handle(&self, req: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let path = req.uri().path();
        let is_call = match path {
            GOSSIP_PATH => return self.gossip.accept(req, peer),
            LOADS_PATH => return exchange::answer(&self.owner, self.verifier.key(), req).await,
            HOP_PATH => false,
            CALL_PATH => true,
            _ => return empty_response(StatusCode::NOT_FOUND),
        };
        let incarnation = self.gossip.incarnation();
        let verified = match self.verifier.verify(path, req.headers(), incarnation) {
            Ok(verified) if verified.head.v >= MIN_PROTOCOL_VERSION => verified,
            Ok(_) => return empty_response(StatusCode::FORBIDDEN),
            Err(err) => return self.refuse(err, peer),
        };
        let id = verified.head.id.clone();
        let answer = self.run(verified, req.into_body(), is_call).await;
        self.response(&id, answer)
    }
}

fn reply(head: &HopReply, body: Body) -> Response<Body> {
    let value = codec::to_header(head).ok();
    let Some(value) = value.and_then(|value| HeaderValue::from_str(&value).ok()) else {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = Response::new(body);
    response.headers_mut().insert(REPLY_HEADER, value);
    response
}

/// Returns a response with `status` and an empty body.
pub(super) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
