//! Non-idempotent calls: each call runs at the node that decides about its key.
//!
//! A call with an idempotency key of the caller runs at the highest-ranked node that can be reached among the claimers
//! of the key's shard, or at this node if none of those tried can be reached. Two nodes that claim the same key do no
//! harm, since the log accepts only one claim. A call with a ticket runs only at the node that issued the ticket.

use super::attempts::AttemptSender;
use super::attempts::Job;
use super::caller::Caller;
use super::unresponsive::UnresponsiveNodes;
use crate::border::generated::config::Service;
use crate::border::generated::peer::HopHead;
use crate::claims::AtMostOnce;
use crate::claims::Call;
use crate::claims::Fingerprint;
use crate::claims::IdempotencyKey;
use crate::claims::Run;
use crate::claims::Ticket;
use crate::claims::Tickets;
use crate::claims::claimers;
use crate::config::ConfigSource;
use crate::hop::ForwardedCallHandler;
use crate::hop::PROTOCOL_VERSION;
use crate::hop::RemoteOwner;
use crate::membership::Membership;
use crate::membership::Node;
use crate::net::full_body;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::owner::Answer;
use crate::owner::Attempt;
use crate::settings::DeploymentKey;
use crate::timeline::Timeline;
use async_trait::async_trait;
use bytes::Bytes;
use sha2::Digest;
use sha2::Sha256;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use uuid::Uuid;

/// Number of claimers that a call is sent to before this node claims the key itself.
const MAX_CLAIMERS_TRIED: usize = 3;

/// A non-idempotent call with everything needed to run it.
pub(super) struct OwnedCall {
    /// The caller.
    pub(super) caller: Caller,
    /// The requested service.
    pub(super) service: Service,
    /// HTTP method.
    pub(super) method: String,
    /// Path and query as sent to the backend server.
    pub(super) path: String,
    /// The request body.
    pub(super) body: Bytes,
    /// Text of the idempotency key or ticket, not yet parsed.
    pub(super) key: String,
    /// Time at which the caller gives up.
    pub(super) deadline: Instant,
}

/// Runs one call once its claim is accepted.
struct RunCall {
    attempts: Arc<AttemptSender>,
    config: Arc<dyn ConfigSource>,
    call: OwnedCall,
}

#[async_trait]
impl Run for RunCall {
    async fn run(&self) -> Result<Answer, Refusal> {
        let call = &self.call;
        let state = self.config.state();
        let job = Job {
            caller: &call.caller,
            state: &state,
            service: &call.service,
            method: &call.method,
            path: &call.path,
            body: &call.body,
            key: Some(&call.key),
            deadline: call.deadline,
        };
        self.attempts.run(&job).await
    }
}

/// Key of a non-idempotent call: the caller's own idempotency key, or a ticket issued by a node.
enum CallKey {
    Idempotency(IdempotencyKey),
    Ticket(Ticket),
}

/// Dependencies of [`Calls`].
pub struct CallParts {
    /// Name of this node.
    pub node: String,
    /// Key shared by all nodes of the deployment.
    pub key: DeploymentKey,
    /// Number of shards of the claims.
    pub shards: u64,
    /// Sends attempts.
    pub attempts: Arc<AttemptSender>,
    /// Source of the configuration in force.
    pub config: Arc<dyn ConfigSource>,
    /// Source of the view of nodes and backend servers.
    pub membership: Arc<dyn Membership>,
    /// Claims made by this process.
    pub once: Arc<dyn AtMostOnce>,
    /// Tickets issued by this process.
    pub tickets: Tickets,
    /// Sends calls to other nodes.
    pub remote: RemoteOwner,
    /// Timeline that receives events.
    pub timeline: Arc<Timeline>,
}

/// Runs non-idempotent calls at this node, or forwards them to the node that decides about their key.
pub struct Calls {
    parts: CallParts,
    unresponsive: UnresponsiveNodes,
}

impl Calls {
    /// Creates a runner of non-idempotent calls from its dependencies.
    pub fn new(parts: CallParts) -> Self {
        Self {
            parts,
            unresponsive: UnresponsiveNodes::default(),
        }
    }

    /// Returns the tickets issued by this process.
    pub(super) fn tickets(&self) -> &Tickets {
        &self.parts.tickets
    }

    /// Runs a caller's call at the node that decides about its key.
    pub(super) async fn run(&self, call: OwnedCall) -> Result<Answer, Refusal> {
        match self.parse_key(&call)? {
            CallKey::Idempotency(key) => self.run_with_key(call, key).await,
            CallKey::Ticket(ticket) => self.run_with_ticket(call, ticket).await,
        }
    }

    /// Runs the call at the highest-ranked claimer that can be reached, so that few nodes write claims to one shard.
    async fn run_with_key(&self, call: OwnedCall, key: IdempotencyKey) -> Result<Answer, Refusal> {
        let view = self.parts.membership.view();
        let claimers = claimers(&view, key, self.parts.shards);
        let responsive = claimers
            .into_iter()
            .filter(|node| !self.unresponsive.is_avoided(&node.name));
        for node in responsive.take(MAX_CLAIMERS_TRIED) {
            if node.name == self.parts.node {
                break;
            }
            let answer = self.forward(node, &call).await;
            self.unresponsive.record(&node.name, answer.as_ref());
            if let Some(answer) = answer {
                return answer;
            }
            // No answer means that the call was not delivered, so the next claimer may run it.
        }
        self.run_here(call, CallKey::Idempotency(key)).await
    }

    async fn run_with_ticket(&self, call: OwnedCall, ticket: Ticket) -> Result<Answer, Refusal> {
        if ticket.node == self.parts.node {
            return self.run_here(call, CallKey::Ticket(ticket)).await;
        }
        let view = self.parts.membership.view();
        // An issuer that can't be reached may already have run the call.
        let lost = Refusal::unknown(Unknown::ClaimerLost);
        let issuer = view.node(&ticket.node).ok_or(lost.clone())?;
        self.forward(issuer, &call).await.unwrap_or(Err(lost))
    }

    async fn run_here(&self, call: OwnedCall, key: CallKey) -> Result<Answer, Refusal> {
        let fingerprint = fingerprint(&call);
        let attempts = Arc::clone(&self.parts.attempts);
        let config = Arc::clone(&self.parts.config);
        let run = Arc::new(RunCall {
            attempts,
            config,
            call,
        });
        match key {
            CallKey::Idempotency(key) => {
                self.parts
                    .once
                    .run_once(Call { key, fingerprint }, run)
                    .await
            }
            CallKey::Ticket(ticket) => self.parts.tickets.redeem(&ticket, fingerprint, run).await,
        }
    }

    fn parse_key(&self, call: &OwnedCall) -> Result<CallKey, Refusal> {
        let key_required = Refusal::not_run(NotRun::KeyRequired);
        if Ticket::has_ticket_prefix(&call.key) {
            let ticket = Ticket::parse(&call.key, &call.caller.team, &self.parts.key);
            return ticket.map(CallKey::Ticket).ok_or(key_required);
        }
        call.key
            .parse()
            .map(CallKey::Idempotency)
            .map_err(|_| key_required)
    }

    /// Sends the call to `target`; returns `None` where no connection was made or `target` did not read the call.
    async fn forward(&self, target: &Node, call: &OwnedCall) -> Option<Result<Answer, Refusal>> {
        let parts = &self.parts;
        let left = call.deadline.saturating_duration_since(Instant::now());
        let head = HopHead {
            v: PROTOCOL_VERSION,
            id: Uuid::now_v7().to_string(),
            request: call.caller.request.clone(),
            from: parts.node.clone(),
            service: call.service.name.clone(),
            backend: String::new(),
            team: call.caller.team.clone(),
            chat: None,
            priority: call.caller.priority,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            method: call.method.clone(),
            path: call.path.clone(),
            content_type: call.caller.content_type.clone(),
            body_len: call.body.len() as u64,
            hops: 0,
            tried: Vec::new(),
            key: Some(call.key.clone()),
            resume_from: None,
            no_spill: false,
            cached_on: None,
            hlc: parts.timeline.stamp(),
        };
        let body = call.body.clone();
        let attempt = Attempt { head, body };
        parts.remote.forward(target, &attempt).await
    }
}

#[async_trait]
impl ForwardedCallHandler for Calls {
    async fn run_forwarded(&self, attempt: Attempt) -> Result<Answer, Refusal> {
        let head = attempt.head;
        let state = self.parts.config.state();
        let service = state
            .service(&head.service)
            .ok_or(Refusal::not_run(NotRun::UnknownService))?;
        let call = OwnedCall {
            service: service.clone(),
            key: head.key.ok_or(Refusal::not_run(NotRun::KeyRequired))?,
            caller: Caller {
                request: head.request,
                team: head.team,
                chat: None,
                priority: head.priority,
                hint: None,
                key: None,
                content_type: head.content_type,
            },
            method: head.method,
            path: head.path,
            body: attempt.body,
            deadline: Instant::now() + Duration::from_millis(head.deadline_ms),
        };
        let key = self.parse_key(&call)?;
        match key {
            CallKey::Ticket(ticket) if ticket.node != self.parts.node => {
                Err(Refusal::unknown(Unknown::ClaimerLost))
            }
            key => self.run_here(call, key).await,
        }
    }
}

/// Builds the answer with a newly issued ticket.
pub(super) fn ticket_answer(tickets: &Tickets, team: &str) -> Answer {
    let body = serde_json::json!({
        "ticket": tickets.issue(team),
        "expires_in_ms": u64::try_from(tickets.ttl().as_millis()).unwrap_or(u64::MAX),
    });
    Answer {
        status: 201,
        content_type: Some("application/json".to_owned()),
        load: 0,
        hint: None,
        body: full_body(body.to_string()),
    }
}

/// Returns a hash over team, service, method, path and body, which identifies the call. A key is valid for one
/// fingerprint only.
fn fingerprint(call: &OwnedCall) -> Fingerprint {
    let mut hasher = Sha256::new();
    let parts: [&[u8]; 5] = [
        call.caller.team.as_bytes(),
        call.service.name.as_bytes(),
        call.method.as_bytes(),
        call.path.as_bytes(),
        &call.body,
    ];
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
