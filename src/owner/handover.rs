//! Sends attempts to backend servers once they are admitted.

use super::Answer;
use super::Attempt;
use super::Settings;
use super::admission::RETRY_AFTER;
use super::backend_state::BackendStates;
use super::cache_transfer;
use super::checked_body::BodyGuard;
use super::checked_body::CheckedBody;
use super::checked_body::EndSign;
use super::in_flight::InFlightRequest;
use super::owned::OwnedBackend;
use super::owned::OwnedBackends;
use super::spill::SpillTable;
use crate::border::BackendError;
use crate::border::BackendRequest;
use crate::border::BackendResponse;
use crate::border::Backends;
use crate::border::generated::peer::EngineLoad;
use crate::border::generated::peer::HopHead;
use crate::config::ConfigSource;
use crate::membership::Backend;
use crate::membership::Membership;
use crate::membership::View;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::routing::Loads;
use crate::timeline::Event;
use crate::timeline::EventKind;
use crate::timeline::Timeline;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Content type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Time after which a request that was sent is assumed to have started.
const ASSUMED_START_DELAY: Duration = Duration::from_millis(100);

/// Dependencies of an [`Owner`].
pub struct OwnerParts {
    /// Name of this node.
    pub node: String,
    /// Settings for owned backend servers.
    pub settings: Settings,
    /// Interval between exchanges of loads with some of the other nodes.
    pub exchange_interval: Duration,
    /// Whether the load bound is enforced; the baseline policies run without it.
    pub is_bounded: bool,
    /// Source of the configuration in force.
    pub config: Arc<dyn ConfigSource>,
    /// Source of the view of hosts.
    pub membership: Arc<dyn Membership>,
    /// Clients of backend servers.
    pub backends: Arc<dyn Backends>,
    /// Last known loads of backend servers.
    pub loads: Arc<Loads>,
    /// Timeline that receives events.
    pub timeline: Arc<Timeline>,
}

/// Admits requests to the backend servers that this node owns and sends them.
pub struct Owner {
    pub(super) node: String,
    pub(super) settings: Settings,
    pub(super) exchange_interval: Duration,
    pub(super) is_bounded: bool,
    pub(super) config: Arc<dyn ConfigSource>,
    pub(super) membership: Arc<dyn Membership>,
    pub(super) backends: Arc<dyn Backends>,
    pub(super) loads: Arc<Loads>,
    /// The backend servers that this node owns in its current view.
    pub(super) owned: OwnedBackends,
    /// State of the owned backend servers and of others that attempts have named.
    pub(super) backend_states: BackendStates,
    /// The most recent backend servers of chats that were moved.
    pub(super) spills: SpillTable,
    pub(super) timeline: Arc<Timeline>,
}

impl Owner {
    /// Creates an owner. It keeps state for any backend server that an attempt names, since views of nodes may differ
    /// and ownership is not guaranteed.
    pub fn new(parts: OwnerParts) -> Self {
        Self {
            backend_states: BackendStates::new(parts.settings.queue_bounds()),
            spills: SpillTable::new(parts.settings.spill_table_bytes),
            owned: OwnedBackends::default(),
            node: parts.node,
            settings: parts.settings,
            exchange_interval: parts.exchange_interval,
            is_bounded: parts.is_bounded,
            config: parts.config,
            membership: parts.membership,
            backends: parts.backends,
            loads: parts.loads,
            timeline: parts.timeline,
        }
    }

    /// Returns the loads of the backend servers that this node owns, for the other nodes.
    pub fn owned_loads(&self) -> Vec<EngineLoad> {
        let load = |owned: &OwnedBackend| EngineLoad {
            b: owned.backend.name.clone(),
            l: self.published_load(owned),
        };
        self.update_owned().iter().map(load).collect()
    }

    /// Records the loads that another node published for its backend servers.
    pub fn record_loads(&self, loads: &[EngineLoad]) {
        for load in loads {
            self.loads.record(&load.b, load.l);
        }
    }

    /// Sends `attempt` to its backend server and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// The refusal says whether it is certain that the attempt did not run.
    pub async fn run(&self, attempt: &Attempt) -> Result<Answer, Refusal> {
        let head = &attempt.head;
        let received_at = Instant::now();
        self.timeline
            .event(event(EventKind::AttemptReceived, head).peer(&head.from));
        let view = self.membership.view();
        let backend = view
            .backend(&head.service, &head.backend)
            .ok_or(Refusal::not_run(NotRun::NoBackend))?;
        if let Some(handled) = self.handle_stream_request(attempt, backend).await {
            return handled;
        }
        if backend.leaving {
            // The sender's host list is older than this node's.
            return Err(Refusal::not_run(NotRun::Stopping));
        }
        if self.is_bounded && backend.is_engine && !self.is_owner(backend, &view) {
            // The sender's view differs. If two nodes handed work to one engine, each would enforce the bound while
            // counting only part of the requests.
            return Err(Refusal::not_run_until(NotRun::NotOwner, RETRY_AFTER));
        }
        let guard = self.admit(attempt, backend, &view).await?;
        self.transfer_cache(attempt, backend, &view).await;
        let handed_over = event(EventKind::HandedOver, head).load(guard.started_load());
        self.timeline.event(handed_over.took(received_at.elapsed()));
        let engine = backend
            .is_engine
            .then(|| self.backends.engine(backend.address));
        let mut in_flight = InFlightRequest::new(guard, &head.id, engine);
        let sending = self.send(backend, head, attempt.body.clone());
        let sent = until_started(sending, &mut in_flight).await;
        let answer = match sent {
            Ok(answer) => Ok(build_answer(answer, in_flight)),
            Err(err) => Err(end_without_answer(in_flight, &err)),
        };
        let detail = answer.as_ref().map_or_else(Refusal::reason, |_| "answered");
        self.timeline
            .event(event(EventKind::AttemptEnded, head).detail(detail));
        let mut answer = answer?;
        answer.hint = head.chat.as_ref().map(|_| head.backend.clone());
        Ok(answer)
    }

    /// Transfers the chat's cache to `backend` if another backend server is known to hold it and the transfer is worth
    /// it. The holder is the server that the sender names, otherwise the newest one in the table of moved chats.
    async fn transfer_cache(&self, attempt: &Attempt, backend: &Backend, view: &View) {
        let head = &attempt.head;
        // Baseline policies run without transfers, so that they measure the effect of routing alone.
        let may_transfer = self.is_bounded && backend.is_engine;
        let Some(chat) = head.chat.as_deref().filter(|_| may_transfer) else {
            return;
        };
        let recent_backends = self.spills.recent_backends(chat);
        if recent_backends.is_some() || head.cached_on.is_some() {
            self.spills.record(chat, &backend.name);
        }
        let is_source = |b: &&Backend| match (head.cached_on.as_deref(), recent_backends) {
            (Some(cached_on), _) => b.name == cached_on,
            (None, Some(recent_backends)) => recent_backends.is_newest(&b.name),
            (None, None) => false,
        };
        let source = view.of_service(&head.service).iter().find(is_source);
        let Some(source) = source.filter(|source| source.name != backend.name) else {
            return;
        };
        let settings = &self.settings;
        if cache_transfer::is_worth_it(settings, attempt.body.len()) {
            // A transfer that takes longer than the prefill would save no time.
            let limit = cache_transfer::prefill_time(settings, attempt.body.len());
            let backends = self.backends.as_ref();
            cache_transfer::transfer(backends, chat, source.address, backend.address, limit).await;
        }
    }

    fn is_owner(&self, backend: &Backend, view: &View) -> bool {
        let owner = view.owner(backend);
        owner.is_some_and(|owner| owner.name == self.node)
    }

    async fn send(
        &self,
        backend: &Backend,
        head: &HopHead,
        body: Bytes,
    ) -> Result<BackendResponse, BackendError> {
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
        if backend.is_engine {
            self.backends.engine(backend.address).chat(&req).await
        } else {
            self.backends.service(backend.address).call(&req).await
        }
    }
}

/// Waits for the head of an answer. The request counts as started when the head arrives or after
/// [`ASSUMED_START_DELAY`].
async fn until_started<T>(sending: impl Future<Output = T>, in_flight: &mut InFlightRequest) -> T {
    let mut sending = std::pin::pin!(sending);
    let quick_answer = tokio::time::timeout(ASSUMED_START_DELAY, &mut sending).await;
    in_flight.record_started();
    match quick_answer {
        Ok(sent) => sent,
        Err(_) => sending.await,
    }
}

pub(super) fn build_answer(answer: BackendResponse, in_flight: InFlightRequest) -> Answer {
    // The load is read here because the head of an answer that is not streamed arrives long after the request was sent.
    let load = in_flight.load();
    let is_stream = answer
        .content_type
        .as_deref()
        .is_some_and(|content_type| content_type.starts_with(EVENT_STREAM));
    let end_sign = match (is_stream, answer.ends_with_connection) {
        (true, _) => EndSign::Marker,
        (false, true) => EndSign::None,
        (false, false) => EndSign::Framing,
    };
    Answer {
        status: answer.status,
        content_type: answer.content_type,
        load,
        hint: None,
        body: CheckedBody::wrap(answer.body, end_sign, in_flight),
    }
}

/// Ends an attempt without an answer. If the backend server may have started it, the request stays counted for now.
pub(super) fn end_without_answer(in_flight: InFlightRequest, err: &BackendError) -> Refusal {
    if matches!(err, BackendError::NotSent(_) | BackendError::NotRun) {
        in_flight.complete();
    }
    refusal(err)
}

pub(super) fn refusal(err: &BackendError) -> Refusal {
    match err {
        BackendError::NotSent(_) => Refusal::not_run(NotRun::ConnectFailed),
        BackendError::NotRun => Refusal::not_run(NotRun::RefusedByBackend),
        BackendError::Lost(_) => Refusal::unknown(Unknown::ConnectionLost),
        BackendError::Timeout => Refusal::unknown(Unknown::Timeout),
        BackendError::Crossed => Refusal::unknown(Unknown::CrossedAnswer),
    }
}

/// Creates an event about an attempt.
pub(super) fn event(kind: EventKind, head: &HopHead) -> Event<'_> {
    Event::new(kind)
        .request(&head.request)
        .attempt(&head.id)
        .chat(head.chat.as_deref())
        .team(&head.team)
        .service(&head.service)
        .backend(&head.backend)
}
