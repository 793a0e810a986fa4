//! Decides whether an attempt is handed over now, waits in the queue, or is refused with a proposed alternative.

use super::Attempt;
use super::Owner;
use super::backend_state::Admission;
use super::backend_state::BackendState;
use super::backend_state::InFlightGuard;
use super::backend_state::Limits;
use super::backend_state::PendingAdmission;
use super::bound::Bound;
use super::handover::event;
use super::owned;
use super::owned::OwnedBackend;
use super::queue::Class;
use crate::border::generated::config::Service;
use crate::border::generated::peer::HopHead;
use crate::border::generated::peer::Priority;
use crate::membership::Backend;
use crate::membership::View;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::routing::rendezvous;
use crate::timeline::EventKind;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Interval at which a waiting request recomputes its limits, as the mean load changes.
const QUEUE_RECHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Retry-after delay of a refused request.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after a change of owner during which the former owner may still hand work over, since it learns of the change
/// later.
const OWNER_CHANGE_GRACE: Duration = Duration::from_millis(150);
/// Maximum age of an engine's load report. After a pause of this process the last report is older and no longer shows
/// the engine's load.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// One, in thousandths.
const PERMILLE: u64 = 1_000;

/// Returns the queue class of a request.
pub(super) fn class_of(head: &HopHead) -> Class {
    match head.priority {
        Priority::Interactive => Class::Interactive,
        Priority::Batch => Class::Batch,
    }
}

impl Owner {
    /// Admits `attempt` at `backend`, after a wait in the queue if there is no room.
    pub(super) async fn admit(
        &self,
        attempt: &Attempt,
        backend: &Backend,
        view: &Arc<View>,
    ) -> Result<InFlightGuard, Refusal> {
        let head = &attempt.head;
        let backend_state = self.backend_state(&backend.name);
        let class = class_of(head);
        if !self.is_bounded {
            return Ok(backend_state.admit_unchecked(class));
        }
        let state = self.config.state();
        let service = state
            .service(&head.service)
            .ok_or(Refusal::not_run(NotRun::UnknownService))?;
        let limits = self.limits(service, backend, view);
        let weight = state.team(&head.team).map_or(1, |team| team.weight);
        let queued = match backend_state.admit(class, &head.team, weight, limits) {
            Ok(Admission::Admitted(guard)) => return Ok(guard),
            Ok(Admission::Queued(waiting)) => waiting,
            Err(_) => {
                self.record_refused(head, NotRun::QueueFull);
                return Err(self.refuse_with_alternative(head, service, view, NotRun::QueueFull));
            }
        };
        self.timeline.event(event(EventKind::Queued, head));
        let limit = self.max_wait(attempt, class);
        if let Some(guard) = self
            .wait_in_queue(queued, &backend_state, limit, service, backend)
            .await
        {
            self.timeline.event(event(EventKind::Admitted, head));
            return Ok(guard);
        }
        let reason = if head.no_spill {
            NotRun::QueueTimeout
        } else {
            NotRun::Busy
        };
        self.record_refused(head, reason);
        Err(self.refuse_with_alternative(head, service, view, reason))
    }

    fn record_refused(&self, head: &HopHead, reason: NotRun) {
        let refused = event(EventKind::RefusedBusy, head).detail(reason.as_str());
        self.timeline.event(refused);
    }

    /// Returns the maximum time that an attempt may wait in the queue: the full queue wait for batch requests and for
    /// attempts that must not be refused as busy, and a shorter one for those that may still move to another backend
    /// server.
    fn max_wait(&self, attempt: &Attempt, class: Class) -> Duration {
        let settings = &self.settings;
        let waits_full_time = attempt.head.no_spill || class == Class::Batch;
        let limit = if waits_full_time {
            settings.queue_wait
        } else {
            settings.spill_wait
        };
        limit.min(Duration::from_millis(attempt.head.deadline_ms))
    }

    /// Waits until the queued request is admitted; returns `None` if it is not admitted within `limit`.
    async fn wait_in_queue(
        &self,
        mut queued: PendingAdmission,
        backend_state: &Arc<BackendState>,
        limit: Duration,
        service: &Service,
        backend: &Backend,
    ) -> Option<InFlightGuard> {
        let until = Instant::now() + limit;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                // A guard that arrives between the check and the return is dropped, which frees its slot for the next
                // request.
                return queued.try_recv().ok();
            }
            match tokio::time::timeout(left.min(QUEUE_RECHECK_INTERVAL), &mut queued).await {
                Ok(granted) => return granted.ok(),
                Err(_) => {
                    let view = self.membership.view();
                    backend_state.grant_waiting(self.limits(service, backend, &view));
                }
            }
        }
    }

    /// Returns the limits of `backend` for the current mean load. An engine admits nothing while this node does not own
    /// it, or owns it without knowing its load. A server that joined recently has a reduced limit, but at least the
    /// floor of the bound.
    fn limits(&self, service: &Service, backend: &Backend, view: &Arc<View>) -> Limits {
        let bound = Bound::new(service, self.settings.margin_permille);
        let (owned, _) = self.owned.for_view(&self.node, view);
        let owned = owned::find(&owned, &backend.name);
        let may_admit =
            owned.is_some_and(|owned| self.is_load_known(owned) || self.try_take_over(owned, view));
        if backend.is_engine && !may_admit {
            return Limits::NONE;
        }
        let limit = bound.limit(self.mean_load(&service.name, view));
        let share = owned.map_or(1.0, |owned| owned.share(self.settings.slow_start));
        let total = ((f64::from(limit) * share) as u32).max(bound.limit(0.0).min(limit));
        let batch = u64::from(total) * u64::from(self.settings.batch_permille) / PERMILLE;
        Limits {
            total,
            batch: u32::try_from(batch).unwrap_or(total).max(1),
        }
    }

    /// Returns whether the backend server's last load report is recent, and newer than the last time at which the
    /// former owner may have handed work over. Before that this node can't know the server's load.
    pub(super) fn is_load_known(&self, owned: &OwnedBackend) -> bool {
        let backend_state = self.backend_state(&owned.backend.name);
        backend_state.report_time().is_some_and(|report_time| {
            report_time >= owned.since + OWNER_CHANGE_GRACE
                && report_time.elapsed() <= MAX_REPORT_AGE
        })
    }

    /// Tries to take over a backend server that has not reported yet, at the load that its former owner published;
    /// returns whether that load was published up to the change of owner.
    fn try_take_over(&self, owned: &OwnedBackend, view: &View) -> bool {
        let name = &owned.backend.name;
        let age = owned.since.elapsed();
        let last_load = self.loads.get_recent(name, age + self.max_load_delay(view));
        let Some(last_load) = last_load.filter(|_| age <= MAX_REPORT_AGE) else {
            return false;
        };
        self.backend_state(name).take_over(owned.since, last_load);
        true
    }

    /// Returns the maximum age of a peer's load for use in the mean: the time in which all owners publish their loads
    /// once.
    fn max_load_delay(&self, view: &View) -> Duration {
        let nodes = u32::try_from(view.nodes().len()).unwrap_or(u32::MAX);
        self.exchange_interval.saturating_mul(nodes)
    }

    /// Returns the load of an owned backend server as it enters the mean, here and at the other nodes. While the
    /// server's own report is missing, only this node's requests count, since those that the former owner started may
    /// have ended.
    pub(super) fn published_load(&self, owned: &OwnedBackend) -> u32 {
        let backend_state = self.backend_state(&owned.backend.name);
        match self.is_load_known(owned) {
            true => backend_state.started_load(),
            false => backend_state.own_started(),
        }
    }

    /// Returns the service's mean load over its live, reachable backend servers, with the request to be admitted
    /// included.
    fn mean_load(&self, service: &str, view: &Arc<View>) -> f64 {
        let (owned, _) = self.owned.for_view(&self.node, view);
        let live = view.of_service(service).iter().filter(|b| !b.leaving);
        let (sum, count) = live
            .filter_map(|b| self.load_for_mean(&b.name, &owned, view))
            .fold((1, 0u32), |(sum, count), load| (sum + load, count + 1));
        f64::from(sum) / f64::from(count.max(1))
    }

    /// Returns the load that a backend server certainly has. An older load that was received from a peer counts as
    /// zero, since the server may have become idle; `None` means that nothing recent is known, so the server counts as
    /// unreachable.
    fn load_for_mean(&self, backend: &str, owned: &[OwnedBackend], view: &View) -> Option<u32> {
        if let Some(owned) = owned::find(owned, backend) {
            // A newly owned server counts although it may not have reported yet.
            let is_newly_owned = owned.since.elapsed() <= MAX_REPORT_AGE;
            let is_counted = is_newly_owned || self.is_load_known(owned);
            return is_counted.then(|| self.published_load(owned));
        }
        let backend_state = self
            .backend_states
            .get(backend)
            .filter(|backend_state| backend_state.has_own_requests());
        let own = backend_state.map(|backend_state| backend_state.started_load());
        let exchanged = match self.loads.get_recent(backend, self.max_load_delay(view)) {
            Some(load) => Some(load),
            None => self
                .loads
                .get_recent(backend, self.settings.load_max_age)
                .map(|_| 0),
        };
        own.max(exchanged)
    }

    /// Returns the load of a backend server: this node's own count if it owns the server, else the last known load.
    fn known_load(&self, backend: &str, owned: &[OwnedBackend]) -> Option<u32> {
        let backend_state = self.backend_states.get(backend);
        if owned::find(owned, backend).is_some() {
            return Some(backend_state.map_or(0, |backend_state| backend_state.load()));
        }
        let own = backend_state
            .filter(|backend_state| backend_state.has_own_requests())
            .map(|backend_state| backend_state.load());
        own.max(self.loads.get_recent(backend, self.settings.load_max_age))
    }

    /// Refuses an attempt and proposes another backend server for it, if there is one. Both are then recorded as the
    /// chat's recent backend servers, which later proposals prefer and cache transfers copy from.
    fn refuse_with_alternative(
        &self,
        head: &HopHead,
        service: &Service,
        view: &Arc<View>,
        reason: NotRun,
    ) -> Refusal {
        let next = self
            .propose_alternative(head, service, view)
            .map(|b| b.name.clone());
        if let (Some(chat), Some(next)) = (&head.chat, &next) {
            self.spills.record(chat, &head.backend);
            self.spills.record(chat, next);
        }
        Refusal::NotRun {
            reason,
            retry_after: Some(RETRY_AFTER),
            next,
        }
    }

    /// Proposes a recent backend server of the chat if it has room; else, of the two with the highest rendezvous
    /// scores, the less loaded one if it has room; else the least loaded of all. Draining servers and those that the
    /// request was sent to already are left out.
    fn propose_alternative<'v>(
        &self,
        head: &HopHead,
        service: &Service,
        view: &'v Arc<View>,
    ) -> Option<&'v Backend> {
        let (owned, _) = self.owned.for_view(&self.node, view);
        let load = |b: &&Backend| self.known_load(&b.name, &owned).unwrap_or(0);
        let limit = Bound::new(service, self.settings.margin_permille)
            .limit(self.mean_load(&service.name, view));
        let has_room = |b: &&Backend| load(b) < limit;
        let candidates: Vec<&Backend> = view
            .of_service(&head.service)
            .iter()
            .filter(|b| !b.leaving && b.name != head.backend && !head.tried.contains(&b.name))
            .collect();
        let recent_backends = head
            .chat
            .as_deref()
            .and_then(|c| self.spills.recent_backends(c));
        if let Some(recent_backends) = recent_backends {
            let known = candidates
                .iter()
                .find(|b| recent_backends.contains(&b.name));
            if let Some(known) = known.copied().filter(|b| has_room(b)) {
                return Some(known);
            }
        }
        let key = head.chat.as_deref().unwrap_or(&head.request);
        let mut ranked = candidates.clone();
        ranked.sort_by_cached_key(|b| std::cmp::Reverse(rendezvous::score(key, &b.name)));
        ranked.truncate(2);
        let next = ranked.into_iter().min_by_key(load);
        next.filter(|b| has_room(b))
            .or_else(|| candidates.into_iter().min_by_key(load))
    }

    /// Returns the state of a backend server; a new state starts with the last known load.
    pub(super) fn backend_state(&self, backend: &str) -> Arc<BackendState> {
        let last_load = || {
            self.loads
                .get_recent(backend, self.settings.load_max_age)
                .unwrap_or(0)
        };
        self.backend_states.get_or_insert(backend, last_load)
    }

    /// Returns the backend servers that this node owns; after a change of the view it drops the state of removed ones.
    pub(super) fn update_owned(&self) -> Arc<Vec<OwnedBackend>> {
        let view = self.membership.view();
        let (owned, has_changed) = self.owned.for_view(&self.node, &view);
        if has_changed {
            let is_listed = |name: &str| view.backends().iter().any(|b| b.name == name);
            self.backend_states
                .retain(|name| owned::find(&owned, name).is_some());
            self.loads.remove_if(|name| !is_listed(name));
        }
        owned
    }
}
