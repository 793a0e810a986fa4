//! Exact counts of what each owned backend server has in flight, with the queue before it.

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

/// Time that one entry of the history stands for.
const HISTORY_STEP: Duration = Duration::from_millis(10);
/// How far the history goes back, well beyond the age of a load report.
const HISTORY_LEN: usize = 300;
/// Uncertainty of the moment that a load report is about.
const REPORT_TIME_TOLERANCE: Duration = Duration::from_millis(30);

/// Most requests in flight, as it follows from the mean.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Of all classes.
    pub(super) total: u32,
    /// Of batch work.
    pub(super) batch: u32,
}

impl Limits {
    /// No request at all.
    pub(super) const NONE: Self = Self { total: 0, batch: 0 };
}

/// What the owner keeps of one backend server.
#[derive(Debug)]
pub(super) struct BackendState {
    bounds: QueueBounds,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    own: u32,
    own_batch: u32,
    /// Own requests that the backend server has surely begun.
    own_started: u32,
    /// Requests of other owners, by the backend server's last report.
    foreign: u32,
    /// When this node took the backend server over last.
    taken_over: Option<Instant>,
    /// Moment that the backend server's last report is about.
    report_time: Option<Instant>,
    /// Whether a report has been asked for and has not come yet.
    is_polling: bool,
    limits: Limits,
    queue: Queue<Waiter>,
    history: VecDeque<(Instant, u32)>,
}

/// A waiting request's end of the wait.
#[derive(Debug)]
struct Waiter {
    class: Class,
    tx: oneshot::Sender<InFlightGuard>,
}

/// A request in the queue.
pub(super) type PendingAdmission = oneshot::Receiver<InFlightGuard>;

/// What comes of asking for a place.
pub(super) enum Admission {
    /// There was a place.
    Admitted(InFlightGuard),
    /// The request waits for one.
    Queued(PendingAdmission),
}

impl BackendState {
    fn new(bounds: QueueBounds, foreign: u32) -> Self {
        Self {
            bounds,
            inner: Mutex::new(Inner {
                own: 0,
                own_batch: 0,
                own_started: 0,
                foreign,
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

    /// Gives the requests in flight, those of other owners included.
    pub(super) fn load(&self) -> u32 {
        let inner = self.lock();
        inner.own + inner.foreign
    }

    /// Gives the requests that the backend server has surely begun, those of other owners included.
    ///
    /// The mean is made of these: a request that is still on its way counts at its own backend server, but must not
    /// let another one take more already.
    pub(super) fn started_load(&self) -> u32 {
        let inner = self.lock();
        inner.own_started + inner.foreign
    }

    /// Tells whether any request of this node is in flight.
    pub(super) fn has_own_requests(&self) -> bool {
        self.lock().own > 0
    }

    /// Takes in the backend server's own report of `load`, which is `age` old.
    ///
    /// What the report counts beyond this node's own requests of that time are other owners'. Own requests are taken
    /// at their most around that time, since a request is counted here before it starts and until its last byte.
    pub(super) fn record_report(&self, load: u32, age: Duration) {
        let mut inner = self.lock();
        let now = Instant::now();
        let own_then = inner.max_own_around(now, age);
        inner.foreign = load.saturating_sub(own_then);
        inner.report_time = now.checked_sub(age);
    }

    /// Takes the backend server over at the load that its former owner told, once for each time `since`.
    pub(super) fn take_over(&self, since: Instant, last_load: u32) {
        let mut inner = self.lock();
        if inner.taken_over != Some(since) {
            inner.taken_over = Some(since);
            inner.foreign = last_load;
        }
    }

    /// Gives this node's own requests that the backend server has surely begun.
    pub(super) fn own_started(&self) -> u32 {
        self.lock().own_started
    }

    /// Gives the moment that the backend server's last report is about.
    pub(super) fn report_time(&self) -> Option<Instant> {
        self.lock().report_time
    }

    /// Notes that a report is asked for; tells whether none was under way.
    pub(super) fn begin_poll(&self) -> bool {
        !std::mem::replace(&mut self.lock().is_polling, true)
    }

    /// Notes that the report asked for has come, or won't.
    pub(super) fn end_poll(&self) {
        self.lock().is_polling = false;
    }

    /// Takes a place where there is one, else waits in the queue.
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
        self.grant_waiting(limits);
        Ok(Admission::Queued(rx))
    }

    /// Counts a request that is there already, such as a resumed stream.
    pub(super) fn admit_unchecked(self: &Arc<Self>, class: Class) -> InFlightGuard {
        self.lock().add(class);
        InFlightGuard::new(self, class)
    }

    /// Gives waiting requests the places that there are under `limits`.
    pub(super) fn grant_waiting(self: &Arc<Self>, limits: Limits) {
        let granted = {
            let mut inner = self.lock();
            inner.limits = limits;
            inner.grant(&self.bounds)
        };
        for waiter in granted {
            // A request that has stopped to wait drops its place, which goes to the next one.
            let _ = waiter.tx.send(InFlightGuard::new(self, waiter.class));
        }
    }

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
    fn has_room(&self, class: Class) -> bool {
        let batch_fits = class == Class::Interactive || self.own_batch < self.limits.batch;
        batch_fits && self.own + self.foreign < self.limits.total
    }

    fn add(&mut self, class: Class) {
        self.own += 1;
        self.own_batch += u32::from(class == Class::Batch);
        self.record_history();
    }

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

    /// Keeps, for each step of time, the most that was in flight.
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

    fn max_own_around(&self, now: Instant, age: Duration) -> u32 {
        let from = now.checked_sub(age + REPORT_TIME_TOLERANCE);
        let to = now.checked_sub(age.saturating_sub(REPORT_TIME_TOLERANCE));
        let (Some(from), Some(to)) = (from, to) else {
            return self.own;
        };
        let mut max_own = 0;
        for &(at, own) in &self.history {
            if at <= from {
                // What was in flight last before that time still was.
                max_own = own;
            } else if at <= to {
                max_own = max_own.max(own);
            }
        }
        max_own
    }
}

/// Slots of all backend servers that this node owns or has handed work to.
#[derive(Debug)]
pub(super) struct BackendStates {
    bounds: QueueBounds,
    // Sorted by name.
    states: Mutex<Vec<(String, Arc<BackendState>)>>,
}

impl BackendStates {
    /// Makes an empty set whose queues have the given bounds.
    pub(super) fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            states: Mutex::default(),
        }
    }

    /// Gives the slot of `backend`; where there is none, one is made that takes over at `reported`.
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

    /// Gives the slot of `backend` where there is one.
    pub(super) fn get(&self, backend: &str) -> Option<Arc<BackendState>> {
        let states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        find(&states, backend)
            .ok()
            .map(|i| Arc::clone(&states[i].1))
    }

    /// Drops the slots that `keep` does not name and that nothing is in flight at.
    pub(super) fn retain(&self, keep: impl Fn(&str) -> bool) {
        let mut states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        states.retain(|(name, state)| keep(name) || state.has_own_requests());
    }
}

fn find(states: &[(String, Arc<BackendState>)], backend: &str) -> Result<usize, usize> {
    states.binary_search_by(|(name, _)| name.as_str().cmp(backend))
}

/// Counts one request at a backend server until it is dropped.
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

    /// Notes that the backend server has begun the request.
    pub(super) fn started(&mut self) {
        if !self.started {
            self.started = true;
            self.state.lock().own_started += 1;
        }
    }

    /// Gives the requests that the backend server has begun.
    pub(super) fn load(&self) -> u32 {
        self.state.started_load()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.release(self.class, self.started);
    }
}
