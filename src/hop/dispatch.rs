//! Sends each attempt to the node that owns its backend server.

use super::RemoteOwner;
use crate::membership::Membership;
use crate::membership::Node;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::owner::Answer;
use crate::owner::Attempt;
use crate::owner::Owner;
use crate::timeline::Event;
use crate::timeline::EventKind;
use crate::timeline::Timeline;
use async_trait::async_trait;
use std::sync::Arc;

/// Runs attempts at the node that owns their backend server.
#[async_trait]
pub trait Dispatch: Send + Sync {
    /// Runs one attempt and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// The refusal says whether the attempt certainly did not run.
    async fn dispatch(&self, attempt: &Attempt) -> Result<Answer, Refusal>;

    /// Runs one attempt directly from this node, without the node that owns the backend server, which may be down.
    ///
    /// # Errors
    ///
    /// The refusal says whether the attempt certainly did not run.
    async fn dispatch_direct(&self, attempt: &Attempt) -> Result<Answer, Refusal> {
        self.dispatch(attempt).await
    }
}

/// Dispatches each attempt to the owner of its backend server according to this node's view.
pub struct OwnerDispatch {
    node: String,
    membership: Arc<dyn Membership>,
    local: Arc<Owner>,
    remote: RemoteOwner,
    timeline: Arc<Timeline>,
}

impl OwnerDispatch {
    /// Creates a dispatcher for the node named `node`.
    pub fn new(
        node: &str,
        membership: Arc<dyn Membership>,
        local: Arc<Owner>,
        remote: RemoteOwner,
        timeline: Arc<Timeline>,
    ) -> Self {
        Self {
            node: node.to_owned(),
            membership,
            local,
            remote,
            timeline,
        }
    }

    fn owner_of(&self, attempt: &Attempt) -> Option<Node> {
        let view = self.membership.view();
        let backend = view.backend(&attempt.head.service, &attempt.head.backend)?;
        view.owner(backend).cloned()
    }
}

#[async_trait]
impl Dispatch for OwnerDispatch {
    async fn dispatch(&self, attempt: &Attempt) -> Result<Answer, Refusal> {
        let head = &attempt.head;
        let owner = self
            .owner_of(attempt)
            .ok_or(Refusal::not_run(NotRun::NoBackend))?;
        let sent = Event::new(EventKind::AttemptSent)
            .request(&head.request)
            .attempt(&head.id)
            .chat(head.chat.as_deref())
            .team(&head.team)
            .service(&head.service)
            .backend(&head.backend)
            .peer(&owner.name);
        self.timeline.event(sent);
        let answer = if owner.name == self.node {
            self.local.run(attempt).await
        } else {
            self.remote.run(&owner, attempt).await
        };
        let outcome = answer.as_ref().map_or_else(Refusal::reason, |_| "answered");
        let returned = Event::new(EventKind::AttemptReturned)
            .request(&head.request)
            .attempt(&head.id)
            .backend(&head.backend)
            .peer(&owner.name)
            .detail(outcome);
        self.timeline.event(returned);
        answer
    }

    async fn dispatch_direct(&self, attempt: &Attempt) -> Result<Answer, Refusal> {
        self.local.run(attempt).await
    }
}
