//! Counts of the requests in flight at each owned backend server, and the queue of waiting requests.
//!
//! The counts are exact for this node's own requests, and estimated for those of other owners.

use super::queue::Class;
use super::queue::Queue;
use super::queue::QueueBounds;
use super::queue::QueueFullError;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use tokio::sync::oneshot;

/// Minimum duration covered by one entry of the history; an entry stands until the first change after that.
const HISTORY_STEP: Duration = Duration::from_millis(10);
/// Number of history entries; they cover at least three seconds, well beyond the age of a load report.
const HISTORY_LEN: usize = 300;
/// Uncertainty of the time that a load report refers to.
const REPORT_TIME_TOLERANCE: Duration = Duration::from_millis(30);

/// Maximum numbers of requests in flight, derived from the mean load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Requests of all classes, including those of other owners.
    pub(super) total: u32,
    /// This node's own batch requests.
    pub(super) batch: u32,
}

impl Limits {
    /// Admits no request.
    pub(super) const NONE: Self = Self { total: 0, batch: 0 };
}

/// State of one backend server at its owner.
#[derive(Debug)]
pub(super) struct BackendState {
    bounds: QueueBounds,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    /// This node's own requests in flight.
    own: u32,
    /// This node's own batch requests in flight.
    own_batch: u32,
    /// Own requests that the backend server has started.
    own_started: u32,
    /// Estimated requests of other owners: those of a former owner that still run, or of a node whose view of the hosts
    /// differs. Derived from the backend server's last report or, at a takeover, from the load that the former owner
    /// published last.
    other_owners_load: u32,
    /// Time of the last takeover of the backend server by this node.
    taken_over: Option<Instant>,
    /// Time that the backend server's last report refers to.
    report_time: Option<Instant>,
    /// Whether a request for a load report is in progress.
    is_polling: bool,
    limits: Limits,
    queue: Queue<Waiter>,
    /// Start of each step and the highest number of own requests in flight in it, oldest step first.
    history: VecDeque<(Instant, u32)>,
}

/// A request in the queue.
#[derive(Debug)]
struct Waiter {
    class: Class,
    tx: oneshot::Sender<InFlightGuard>,
}

/// Receiver through which a queued request is admitted.
pub(super) type PendingAdmission = oneshot::Receiver<InFlightGuard>;

/// Result of a request for admission.
pub(super) enum Admission {
    /// The request was admitted at once.
    Admitted(InFlightGuard),
    /// The request was queued. It is admitted through the receiver, possibly already.
    Queued(PendingAdmission),
}

impl BackendState {
    fn new(bounds: QueueBounds, other_owners_load: u32) -> Self {
        Self {
            bounds,
            inner: Mutex::new(Inner {
                own: 0,
                own_batch: 0,
                own_started: 0,
                other_owners_load,
                taken_over: None,
                report_time: None,
                is_polling: false,
                limits: Limits::NONE,
                queue: Queue::default(),
                history: VecDeque::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of requests in flight, including those of other owners.
    pub(super) fn load(&self) -> u32 {
        let inner = self.lock();
        inner.own + inner.other_owners_load
    }

    /// Returns the number of requests that the backend server has started, including those of other owners.
    ///
    /// The mean load is computed from these. A request that is still on its way counts against the backend server that
    /// it is sent to, but it must not raise the limit of the others yet.
    pub(super) fn started_load(&self) -> u32 {
        let inner = self.lock();
        inner.own_started + inner.other_owners_load
    }

    /// Returns whether any request of this node is in flight.
    pub(super) fn has_own_requests(&self) -> bool {
        self.lock().own > 0
    }

    /// Applies the backend server's own report of `load`, which is `age` old.
    ///
    /// Requests in the report beyond this node's own at that time are counted as those of other owners. A request is
    /// counted here before the server starts it and until its last byte, and the time that the report refers to is
    /// uncertain. The highest own count around that time is therefore used; a lower one would take own requests for
    /// those of other owners.
    pub(super) fn record_report(&self, load: u32, age: Duration) {
        let mut inner = self.lock();
        let now = Instant::now();
        let own_then = inner.max_own_around(now, age);
        inner.other_owners_load = load.saturating_sub(own_then);
        inner.report_time = now.checked_sub(age);
    }

    /// Sets the load of other owners to `last_load`, published by the former owner; only once for each takeover time
    /// `since`.
    pub(super) fn take_over(&self, since: Instant, last_load: u32) {
        let mut inner = self.lock();
        if inner.taken_over != Some(since) {
            inner.taken_over = Some(since);
            inner.other_owners_load = last_load;
        }
    }

    /// Returns the number of this node's own requests that the backend server has started.
    pub(super) fn own_started(&self) -> u32 {
        self.lock().own_started
    }

    /// Returns the time that the backend server's last report refers to.
    pub(super) fn report_time(&self) -> Option<Instant> {
        self.lock().report_time
    }

    /// Marks a request for a load report as in progress; returns `false` if one already was.
    pub(super) fn begin_poll(&self) -> bool {
        !std::mem::replace(&mut self.lock().is_polling, true)
    }

    /// Marks the request for a load report as finished, with or without a report.
    pub(super) fn end_poll(&self) {
        self.lock().is_polling = false;
    }

    /// Admits a request at once if none is waiting and there is room, else queues it. A queued one may be admitted
    /// before this returns.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFullError`] if the queue, or the team's share of it, is full.
    pub(super) fn admit(
        self: &Arc<Self>,
        class: Class,
        team: &str,
        weight: u32,
        limits: Limits,
    ) -> Result<Admission, QueueFullError> {
        let mut inner = self.lock();
        inner.limits = limits;
        if inner.queue.len() == 0 && inner.has_room(class) {
            inner.add(class);
            return Ok(Admission::Admitted(InFlightGuard::new(self, class)));
        }
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter { class, tx };
        let now = Instant::now();
        inner
            .queue
            .push(class, team, weight, now, &self.bounds, waiter)?;
        drop(inner);
        // The queue may hold only requests that don't fit, such as batch requests, or whose callers have stopped
        // waiting, while this one fits.
        self.grant_waiting(limits);
        Ok(Admission::Queued(rx))
    }

    /// Counts a request without checking the limits: a resumed stream, which is in flight already, or any request under
    /// a baseline policy, that is a routing policy without a load bound that is used only for comparison.
    pub(super) fn admit_unchecked(self: &Arc<Self>, class: Class) -> InFlightGuard {
        self.lock().add(class);
        InFlightGuard::new(self, class)
    }

    /// Admits waiting requests as far as `limits` allow.
    pub(super) fn grant_waiting(self: &Arc<Self>, limits: Limits) {
        let granted = {
            let mut inner = self.lock();
            inner.limits = limits;
            inner.grant(&self.bounds)
        };
        for waiter in granted {
            // If the request has stopped waiting, its guard is dropped, which frees the slot for the next one.
            let _ = waiter.tx.send(InFlightGuard::new(self, waiter.class));
        }
    }

    /// Counts a request as ended, and admits waiting requests as far as the limits allow.
    fn release(self: &Arc<Self>, class: Class, started: bool) {
        let limits = {
            let mut inner = self.lock();
            inner.own -= 1;
            inner.own_started -= u32::from(started);
            inner.own_batch -= u32::from(class == Class::Batch);
            inner.record_history();
            if inner.queue.len() == 0 {
                return;
            }
            inner.limits
        };
        self.grant_waiting(limits);
    }
}

impl Inner {
    /// Returns whether the limits allow one more request of `class`.
    fn has_room(&self, class: Class) -> bool {
        let batch_fits = class == Class::Interactive || self.own_batch < self.limits.batch;
        batch_fits && self.own + self.other_owners_load < self.limits.total
    }

    fn add(&mut self, class: Class) {
        self.own += 1;
        self.own_batch += u32::from(class == Class::Batch);
        self.record_history();
    }

    /// Removes requests whose callers have stopped waiting, then dequeues and returns those that the limits allow,
    /// already counted as in flight.
    fn grant(&mut self, bounds: &QueueBounds) -> Vec<Waiter> {
        self.queue.remove(|waiter| waiter.tx.is_closed());
        let mut granted = Vec::new();
        let now = Instant::now();
        loop {
            let interactive = self.has_room(Class::Interactive);
            let batch = self.has_room(Class::Batch);
            let may_run = |class| match class {
                Class::Interactive => interactive,
                Class::Batch => batch,
            };
            let Some(waiter) = self.queue.pop(now, bounds, may_run) else {
                return granted;
            };
            self.add(waiter.class);
            granted.push(waiter);
        }
    }

    /// Records the present number of own requests in flight: raises the maximum of the last step or, once
    /// [`HISTORY_STEP`] is over, begins a new one.
    fn record_history(&mut self) {
        let now = Instant::now();
        match self.history.back_mut() {
            Some((at, max_own)) if now.duration_since(*at) < HISTORY_STEP => {
                *max_own = self.own.max(*max_own);
            }
            _ => {
                if self.history.len() == HISTORY_LEN {
                    self.history.pop_front();
                }
                self.history.push_back((now, self.own));
            }
        }
    }

    /// Returns the highest number of own requests in flight at the time `age` before `now`, give or take
    /// [`REPORT_TIME_TOLERANCE`].
    fn max_own_around(&self, now: Instant, age: Duration) -> u32 {
        let from = now.checked_sub(age + REPORT_TIME_TOLERANCE);
        let to = now.checked_sub(age.saturating_sub(REPORT_TIME_TOLERANCE));
        let (Some(from), Some(to)) = (from, to) else {
            return self.own;
        };
        let mut max_own = 0;
        for &(at, own) in &self.history {
            if at <= from {
                // The highest count of the last step that began before the time span stands for the count at its start.
                max_own = own;
            } else if at <= to {
                max_own = max_own.max(own);
            }
        }
        max_own
    }
}

/// States of the backend servers that this node owns, or at which it still has requests in flight.
#[derive(Debug)]
pub(super) struct BackendStates {
    bounds: QueueBounds,
    // Sorted by name.
    states: Mutex<Vec<(String, Arc<BackendState>)>>,
}

impl BackendStates {
    /// Creates an empty collection whose queues have the given bounds.
    pub(super) fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            states: Mutex::default(),
        }
    }

    /// Returns the state of `backend`; a missing one is created with `initial_load` as the load of other owners.
    pub(super) fn get_or_insert(
        &self,
        backend: &str,
        initial_load: impl Fn() -> u32,
    ) -> Arc<BackendState> {
        let mut states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        match find(&states, backend) {
            Ok(i) => Arc::clone(&states[i].1),
            Err(i) => {
                let state = Arc::new(BackendState::new(self.bounds, initial_load()));
                states.insert(i, (backend.to_owned(), Arc::clone(&state)));
                state
            }
        }
    }

    /// Returns the state of `backend`, if there is one.
    pub(super) fn get(&self, backend: &str) -> Option<Arc<BackendState>> {
        let states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        find(&states, backend)
            .ok()
            .map(|i| Arc::clone(&states[i].1))
    }

    /// Drops the states of backend servers that `keep` rejects and that have none of this node's requests in flight.
    pub(super) fn retain(&self, keep: impl Fn(&str) -> bool) {
        let mut states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        states.retain(|(name, state)| keep(name) || state.has_own_requests());
    }
}

fn find(states: &[(String, Arc<BackendState>)], backend: &str) -> Result<usize, usize> {
    states.binary_search_by(|(name, _)| name.as_str().cmp(backend))
}

/// Counts one request as in flight at a backend server until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    state: Arc<BackendState>,
    class: Class,
    started: bool,
}

impl InFlightGuard {
    fn new(state: &Arc<BackendState>, class: Class) -> Self {
        Self {
            state: Arc::clone(state),
            class,
            started: false,
        }
    }

    /// Records that the backend server has started the request.
    pub(super) fn record_started(&mut self) {
        if !self.started {
            self.started = true;
            self.state.lock().own_started += 1;
        }
    }

    /// Returns the number of requests that the backend server has started, including those of other owners.
    pub(super) fn started_load(&self) -> u32 {
        self.state.started_load()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.release(self.class, self.started);
    }
}
