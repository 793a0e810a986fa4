//! Decides whether an attempt may be handed over now, waits, or goes elsewhere.

use super::Attempt;
use super::Owner;
use super::bound::Bound;
use super::handover::event;
use super::owned;
use super::owned::OwnedBackend;
use super::queue::Class;
use super::slots::Admission;
use super::slots::Limits;
use super::slots::Occupied;
use super::slots::Slot;
use super::slots::Waiting;
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

/// Time between two looks of a waiting request at the mean.
const RECHECK: Duration = Duration::from_millis(10);
/// Time after which a refused caller may come back.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after a change of owner in which the former one may still hand work over, since it hears of it later.
const HANDOVER_SETTLE: Duration = Duration::from_millis(150);
/// Age from which an engine's load report no longer tells what it carries; after a pause of this process it is older.
const REPORT_MAX_AGE: Duration = Duration::from_secs(1);
/// Thousandths of one.
const PERMILLE: u64 = 1_000;

/// Gives the class of a request in the queue.
pub(super) fn class(head: &HopHead) -> Class {
    match head.priority {
        Priority::Interactive => Class::Interactive,
        Priority::Batch => Class::Batch,
    }
}

impl Owner {
    /// Takes a place at `backend` for `attempt`, after a wait where need be.
    pub(super) async fn admit(
        &self,
        attempt: &Attempt,
        backend: &Backend,
        view: &Arc<View>,
    ) -> Result<Occupied, Refusal> {
        let head = &attempt.head;
        let slot = self.slot(&backend.name);
        let class = class(head);
        if !self.is_bounded {
            return Ok(slot.occupy(class));
        }
        let state = self.config.state();
        let service = state
            .service(&head.service)
            .ok_or(Refusal::not_run(NotRun::UnknownService))?;
        let limits = self.limits(service, backend, view);
        let weight = state.team(&head.team).map_or(1, |team| team.weight);
        let queued = match slot.admit(class, &head.team, weight, limits) {
            Ok(Admission::Admitted(occupied)) => return Ok(occupied),
            Ok(Admission::Queued(waiting)) => waiting,
            Err(_) => {
                self.note_refused(head, NotRun::QueueFull);
                return Err(self.elsewhere(head, service, view, NotRun::QueueFull));
            }
        };
        self.timeline.event(event(EventKind::Queued, head));
        let limit = self.patience(attempt, class);
        if let Some(occupied) = self.wait(queued, &slot, limit, service, backend).await {
            self.timeline.event(event(EventKind::Admitted, head));
            return Ok(occupied);
        }
        let reason = if head.no_spill {
            NotRun::QueueTimeout
        } else {
            NotRun::Busy
        };
        self.note_refused(head, reason);
        Err(self.elsewhere(head, service, view, reason))
    }

    fn note_refused(&self, head: &HopHead, reason: NotRun) {
        let refused = event(EventKind::RefusedBusy, head).detail(reason.as_str());
        self.timeline.event(refused);
    }

    /// Gives the longest wait of an attempt.
    fn patience(&self, attempt: &Attempt, class: Class) -> Duration {
        let settings = &self.settings;
        let waits_out = attempt.head.no_spill || class == Class::Batch;
        let limit = if waits_out {
            settings.queue_wait
        } else {
            settings.spill_wait
        };
        limit.min(Duration::from_millis(attempt.head.deadline_ms))
    }

    async fn wait(
        &self,
        mut queued: Waiting,
        slot: &Arc<Slot>,
        limit: Duration,
        service: &Service,
        backend: &Backend,
    ) -> Option<Occupied> {
        let until = Instant::now() + limit;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                // A place that comes at this very moment is dropped and goes to the next request.
                return queued.try_recv().ok();
            }
            match tokio::time::timeout(left.min(RECHECK), &mut queued).await {
                Ok(granted) => return granted.ok(),
                Err(_) => {
                    let view = self.membership.view();
                    slot.pump(self.limits(service, backend, &view));
                }
            }
        }
    }

    /// Gives the limits of `backend` by the mean as it is known now.
    fn limits(&self, service: &Service, backend: &Backend, view: &Arc<View>) -> Limits {
        let bound = Bound::new(service, self.settings.margin_permille);
        let (owned, _) = self.owned.of(&self.node, view);
        let owned = owned::find(&owned, &backend.name);
        let may_admit = owned
            .is_some_and(|owned| self.is_load_known(owned) || self.has_taken_over(owned, view));
        if backend.is_engine && !may_admit {
            return Limits::NONE;
        }
        let limit = bound.limit(self.mean(&service.name, view));
        let share = owned.map_or(1.0, |owned| owned.share(self.settings.slow_start));
        let total = ((f64::from(limit) * share) as u32).max(bound.limit(0.0).min(limit));
        let batch = u64::from(total) * u64::from(self.settings.batch_permille) / PERMILLE;
        Limits {
            total,
            batch: u32::try_from(batch).unwrap_or(total).max(1),
        }
    }

    /// Tells whether the backend server has reported its load since its former owner stopped to hand work over, and
    /// lately; until then this node can't tell what it carries.
    pub(super) fn is_load_known(&self, owned: &OwnedBackend) -> bool {
        let slot = self.slot(&owned.backend.name);
        slot.reported_for().is_some_and(|moment| {
            moment >= owned.since + HANDOVER_SETTLE && moment.elapsed() <= REPORT_MAX_AGE
        })
    }

    /// Takes a backend server over that has not reported yet, where its former owner told its load until the end.
    fn has_taken_over(&self, owned: &OwnedBackend, view: &View) -> bool {
        let name = &owned.backend.name;
        let age = owned.since.elapsed();
        let told = self.loads.get_recent(name, age + self.fresh(view));
        let Some(told) = told.filter(|_| age <= REPORT_MAX_AGE) else {
            return false;
        };
        self.slot(name).take_over(owned.since, told);
        true
    }

    /// Gives the age up to which a load that was heard of counts, by the time that all owners take to tell theirs.
    fn fresh(&self, view: &View) -> Duration {
        let nodes = u32::try_from(view.nodes().len()).unwrap_or(u32::MAX);
        self.exchange_interval.saturating_mul(nodes)
    }

    /// Gives the load of an owned backend server for the mean: what its former owner had begun may have ended.
    pub(super) fn told_load(&self, owned: &OwnedBackend) -> u32 {
        let slot = self.slot(&owned.backend.name);
        match self.is_load_known(owned) {
            true => slot.started(),
            false => slot.own_started(),
        }
    }

    /// Gives the service's mean load over the live backend servers that can be reached, with one more request.
    fn mean(&self, service: &str, view: &Arc<View>) -> f64 {
        let (owned, _) = self.owned.of(&self.node, view);
        let live = view.of_service(service).iter().filter(|b| !b.leaving);
        let (sum, count) = live
            .filter_map(|b| self.sure_load(&b.name, &owned, view))
            .fold((1, 0u32), |(sum, count), load| (sum + load, count + 1));
        f64::from(sum) / f64::from(count.max(1))
    }

    /// Gives the load that a backend server surely has: none where it was heard of too long ago, since it may have
    /// become idle; nothing at all where it can't be reached any more.
    fn sure_load(&self, backend: &str, owned: &[OwnedBackend], view: &View) -> Option<u32> {
        if let Some(owned) = owned::find(owned, backend) {
            let is_new = owned.since.elapsed() <= REPORT_MAX_AGE;
            let counts = is_new || self.is_load_known(owned);
            return counts.then(|| self.told_load(owned));
        }
        let slot = self.slots.known(backend).filter(|slot| slot.is_used());
        let own = slot.map(|slot| slot.started());
        let heard = match self.loads.get_recent(backend, self.fresh(view)) {
            Some(load) => Some(load),
            None => self
                .loads
                .get_recent(backend, self.settings.load_max_age)
                .map(|_| 0),
        };
        own.max(heard)
    }

    /// Gives the load of a backend server: counted here where this node owns it, else as last heard.
    fn known_load(&self, backend: &str, owned: &[OwnedBackend]) -> Option<u32> {
        let slot = self.slots.known(backend);
        if owned::find(owned, backend).is_some() {
            return Some(slot.map_or(0, |slot| slot.load()));
        }
        let own = slot.filter(|slot| slot.is_used()).map(|slot| slot.load());
        own.max(self.loads.get_recent(backend, self.settings.load_max_age))
    }

    /// Refuses an attempt and proposes another backend server for it.
    fn elsewhere(
        &self,
        head: &HopHead,
        service: &Service,
        view: &Arc<View>,
        reason: NotRun,
    ) -> Refusal {
        let next = self.propose(head, service, view).map(|b| b.name.clone());
        if let (Some(chat), Some(next)) = (&head.chat, &next) {
            self.spills.note(chat, &head.backend);
            self.spills.note(chat, next);
        }
        Refusal::NotRun {
            reason,
            retry_after: Some(RETRY_AFTER),
            next,
        }
    }

    /// Proposes where the chat was before, else the less loaded of the two next by rank, else the least loaded.
    fn propose<'v>(
        &self,
        head: &HopHead,
        service: &Service,
        view: &'v Arc<View>,
    ) -> Option<&'v Backend> {
        let (owned, _) = self.owned.of(&self.node, view);
        let load = |b: &&Backend| self.known_load(&b.name, &owned).unwrap_or(0);
        let limit = Bound::new(service, self.settings.margin_permille)
            .limit(self.mean(&service.name, view));
        let has_room = |b: &&Backend| load(b) < limit;
        let candidates: Vec<&Backend> = view
            .of_service(&head.service)
            .iter()
            .filter(|b| !b.leaving && b.name != head.backend && !head.tried.contains(&b.name))
            .collect();
        let last_on = head.chat.as_deref().and_then(|c| self.spills.last_on(c));
        if let Some(last_on) = last_on {
            let known = candidates.iter().find(|b| last_on.contains(&b.name));
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

    /// Gives the slot of a backend server; a new one takes over at the load last heard.
    pub(super) fn slot(&self, backend: &str) -> Arc<Slot> {
        let heard = || {
            self.loads
                .get_recent(backend, self.settings.load_max_age)
                .unwrap_or(0)
        };
        self.slots.slot(backend, heard)
    }

    /// Finds what this node owns by its view, forgetting what is gone where the view has changed.
    pub(super) fn owned_now(&self) -> Arc<Vec<OwnedBackend>> {
        let view = self.membership.view();
        let (owned, is_new) = self.owned.of(&self.node, &view);
        if is_new {
            let is_listed = |name: &str| view.backends().iter().any(|b| b.name == name);
            self.slots
                .retain(|name| owned::find(&owned, name).is_some());
            self.loads.remove_if(|name| !is_listed(name));
        }
        owned
    }
}
