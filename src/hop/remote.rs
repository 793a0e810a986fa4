//! Sends attempts and non-idempotent calls to other nodes.

use super::CALL_PATH;
use super::HOP_PATH;
use super::REPLY_HEADER;
use super::codec;
use super::signing::Signer;
use crate::border::generated::peer::HopHead;
use crate::border::generated::peer::HopReply;
use crate::membership::Node;
use crate::net::Body;
use crate::net::Client;
use crate::net::SendError;
use crate::net::full_body;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::owner::Answer;
use crate::owner::Attempt;
use crate::settings::DeploymentKey;
use crate::timeline::Timeline;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use std::sync::Arc;
use std::time::Duration;

/// Time after an attempt's deadline within which the owner may still report its outcome.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Sends attempts and calls to other nodes over HTTP/2.
pub struct RemoteOwner {
    client: Client,
    signer: Signer,
    timeline: Arc<Timeline>,
}

impl RemoteOwner {
    /// Creates a sender. It connects to a node when the first request is sent there.
    pub fn new(client: Client, key: DeploymentKey, timeline: Arc<Timeline>) -> Self {
        Self {
            client,
            signer: Signer::new(key),
            timeline,
        }
    }

    /// Sends `attempt` to the node `owner`, which runs it.
    ///
    /// # Errors
    ///
    /// The refusal says whether the attempt certainly did not run.
    pub async fn run(&self, owner: &Node, attempt: &Attempt) -> Result<Answer, Refusal> {
        self.send(owner, HOP_PATH, attempt)
            .await
            .unwrap_or(Err(Refusal::not_run(NotRun::ConnectFailed)))
    }

    /// Sends a non-idempotent call to the node `owner`, which decides about its key. Returns `None` if the call was not
    /// delivered: no connection was made, or the node refused the call before reading it.
    pub async fn forward(
        &self,
        owner: &Node,
        attempt: &Attempt,
    ) -> Option<Result<Answer, Refusal>> {
        self.send(owner, CALL_PATH, attempt).await
    }

    /// Sends an attempt or call to `path` of the node `owner`. Returns `None` if it was not delivered.
    async fn send(
        &self,
        owner: &Node,
        path: &str,
        attempt: &Attempt,
    ) -> Option<Result<Answer, Refusal>> {
        let Some(req) = self.encode(owner, path, attempt) else {
            return Some(Err(Refusal::not_run(NotRun::BadRequest)));
        };
        let timeout = Duration::from_millis(attempt.head.deadline_ms) + ANSWER_GRACE;
        match self.client.send(req, timeout).await {
            Ok(response) if is_refused_unread(response.status()) => None,
            Ok(response) => Some(self.decode(&attempt.head.id, response)),
            Err(SendError::NotSent(_)) => None,
            Err(SendError::Lost(_)) => Some(Err(Refusal::unknown(Unknown::ConnectionLost))),
            Err(SendError::Timeout) => Some(Err(Refusal::unknown(Unknown::Timeout))),
        }
    }

    /// Builds the signed request. The clock stamp is taken here, after the event that records the sending, so that the
    /// owner's events have later stamps than that event.
    pub(super) fn encode(
        &self,
        owner: &Node,
        path: &str,
        attempt: &Attempt,
    ) -> Option<Request<Body>> {
        let head = HopHead {
            hlc: self.timeline.stamp(),
            ..attempt.head.clone()
        };
        let headers =
            self.signer
                .sign(path, &owner.name, owner.incarnation, &head, &attempt.body)?;
        let mut req = Request::post(format!("http://{}{path}", owner.address))
            .body(full_body(attempt.body.clone()))
            .ok()?;
        req.headers_mut().extend(headers.map(|(name, value)| {
            let name = HeaderName::from_static(name);
            (Some(name), value)
        }));
        Some(req)
    }

    fn decode(&self, id: &str, response: Response<Incoming>) -> Result<Answer, Refusal> {
        let reply: HopReply = response
            .headers()
            .get(REPLY_HEADER)
            .and_then(|value| codec::from_header(value.as_bytes()).ok())
            .ok_or(Refusal::unknown(Unknown::BadAnswer))?;
        if reply.id != id {
            return Err(Refusal::unknown(Unknown::CrossedAnswer));
        }
        self.timeline.observe(&reply.hlc);
        if let Some(refusal) = codec::refusal_of(&reply) {
            return Err(refusal);
        }
        Ok(Answer {
            status: reply.status.unwrap_or_default(),
            content_type: reply.content_type,
            load: reply.load.unwrap_or_default(),
            hint: reply.hint,
            body: response.into_body().map_err(Into::into).boxed_unsync(),
        })
    }
}

/// Returns whether the status says that the other node refused the attempt before reading its body: the signature is
/// invalid, or the attempt was addressed to another node or an earlier process.
fn is_refused_unread(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::FORBIDDEN | StatusCode::MISDIRECTED_REQUEST
    )
}
