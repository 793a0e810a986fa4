//! Hands attempts over to backend servers.

use super::Answer;
use super::Attempt;
use super::Settings;
use super::slots::Occupied;
use super::slots::Slots;
use super::whole::WholeBody;
use crate::border::BackendAnswer;
use crate::border::BackendError;
use crate::border::BackendRequest;
use crate::border::Backends;
use crate::border::generated::peer::HopHead;
use crate::membership::Backend;
use crate::membership::Membership;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::timeline::Event;
use crate::timeline::EventKind;
use crate::timeline::Timeline;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Content type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Decides everything about the backend servers that this node owns.
pub struct Owner {
    settings: Settings,
    membership: Arc<dyn Membership>,
    backends: Arc<dyn Backends>,
    timeline: Arc<Timeline>,
    slots: Slots,
}

impl Owner {
    /// Makes an owner; it owns whatever attempts name, since ownership is no promise.
    pub fn new(
        settings: &Settings,
        membership: Arc<dyn Membership>,
        backends: Arc<dyn Backends>,
        timeline: Arc<Timeline>,
    ) -> Self {
        Self {
            settings: settings.clone(),
            membership,
            backends,
            timeline,
            slots: Slots::default(),
        }
    }

    /// Hands `attempt` to its backend server and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// Tells whether the attempt certainly did not run.
    pub async fn run(&self, attempt: &Attempt) -> Result<Answer, Refusal> {
        let head = &attempt.head;
        self.timeline
            .event(event(EventKind::AttemptReceived, head).peer(&head.from));
        let view = self.membership.view();
        let backend = view
            .backend(&head.service, &head.backend)
            .ok_or(Refusal::not_run(NotRun::NoBackend))?;
        if backend.leaving {
            // The sender's host list is older than this one.
            return Err(Refusal::not_run(NotRun::Stopping));
        }
        let slot = self.slots.slot(&backend.name);
        let occupied = Occupied::take(&slot);
        let load = occupied.load();
        self.timeline.event(event(EventKind::HandedOver, head));
        let sent = self.send(backend, head, attempt.body.clone()).await;
        let ended = sent.as_ref().map_or_else(Refusal::reason, |_| "answered");
        self.timeline
            .event(event(EventKind::AttemptEnded, head).detail(ended));
        Ok(whole(sent?, load, occupied))
    }

    async fn send(
        &self,
        backend: &Backend,
        head: &HopHead,
        body: Bytes,
    ) -> Result<BackendAnswer, Refusal> {
        let left = Duration::from_millis(head.deadline_ms);
        let req = BackendRequest {
            id: &head.id,
            chat: head.chat.as_deref(),
            priority: head.priority,
            method: &head.method,
            path: &head.path,
            content_type: head.content_type.as_deref(),
            idempotency_key: head.key.as_deref(),
            body,
            timeout: left.min(self.settings.first_byte_timeout),
        };
        let sent = if backend.is_engine {
            self.backends.engine(backend.address).chat(&req).await
        } else {
            self.backends.service(backend.address).call(&req).await
        };
        sent.map_err(|err| refusal(&err))
    }
}

fn whole(answer: BackendAnswer, load: u32, occupied: Occupied) -> Answer {
    let is_stream = answer
        .content_type
        .as_deref()
        .is_some_and(|content_type| content_type.starts_with(EVENT_STREAM));
    Answer {
        status: answer.status,
        content_type: answer.content_type,
        load,
        hint: None,
        body: WholeBody::wrap(answer.body, is_stream, occupied),
    }
}

fn refusal(err: &BackendError) -> Refusal {
    match err {
        BackendError::NotSent(_) => Refusal::not_run(NotRun::ConnectFailed),
        BackendError::NotRun => Refusal::not_run(NotRun::RefusedByBackend),
        BackendError::Lost(_) => Refusal::unknown(Unknown::ConnectionLost),
        BackendError::Timeout => Refusal::unknown(Unknown::Timeout),
        BackendError::Crossed => Refusal::unknown(Unknown::CrossedAnswer),
    }
}

fn event(kind: EventKind, head: &HopHead) -> Event<'_> {
    Event::new(kind)
        .request(&head.request)
        .attempt(&head.id)
        .chat(head.chat.as_deref())
        .backend(&head.backend)
}
