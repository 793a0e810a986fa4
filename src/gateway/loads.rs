//! Load and health of each backend server, as known to this node.

use super::dialect::ServerLoad;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::Health;
use crate::decide::HealthPolicy;
use crate::decide::PaceWindow;
use crate::decide::RunResult;
use crate::decide::SpeedWindow;
use crate::decide::Warmth;
use crate::peers::FleetLoads;
use crate::peers::LoadEntry;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum age of a server's own load report, the time that a few requests take: the requests that an older report
/// counts have ended since, and others have started.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Maximum age of the loads of other nodes, the time that a few sync requests to the relay take if none is answered.
const MAX_REMOTE_AGE: Duration = Duration::from_millis(2_000);

/// Weight of the newest load in the moving mean; with four loads per second the mean covers about one second.
const LOAD_SMOOTHING_FACTOR: f64 = 0.25;
/// A server with requests in flight gets no new ones after this time without a byte from it. In the reference workload,
/// this is twice the time of the longest prompt and nearly twice that of the longest plain call.
const MAX_TIME_WITHOUT_ACTIVITY: Duration = Duration::from_millis(800);
/// Time for which a server's word on its speed is used for the next choice: half of a disturbance of its machine.
const SPEED_HINT_TIME: Duration = Duration::from_millis(300);
/// Time for which a server warms up after it joined. Afterwards it is assumed to have cached the prompt parts that it
/// is the home of, as most parts are requested several times within this time.
const WARM_UP_TIME: Duration = Duration::from_secs(12);

/// A server's report of its own load, which came with a response.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    /// Requests that ran or waited at the server, those of other nodes included.
    load: u32,
    /// This node's requests in flight when the report arrived.
    own_at_report: u32,
    received_at: BootInstant,
}

/// Load and health of one incarnation of a server.
#[derive(Clone, Debug, Default)]
struct ServerState {
    id: String,
    /// Unix time at which the incarnation started, in milliseconds.
    start_time_ms: u64,
    service: String,
    /// This node's requests in flight.
    own_in_flight: u32,
    report: Option<LoadReport>,
    /// Sum of the other nodes' requests in flight, and when it was received.
    remote: Option<(u32, BootInstant)>,
    /// Moving mean of the load.
    smoothed_load: f64,
    /// Answers to this node.
    pace: PaceWindow,
    /// What the server said of its speed to this node.
    speed: SpeedWindow,
    /// Its last word, as a multiple of the usual time of work, and when it came.
    last_speed: Option<(f64, BootInstant)>,
    /// Time that the server takes as a multiple of what the others of its service take, and when that was received; `None`
    /// if it is not slow.
    slowness: Option<(f64, BootInstant)>,
    /// When the last byte arrived from the server, or when the first request was sent if none has arrived since; `None`
    /// while no request is in flight.
    inactive_since: Option<BootInstant>,
    /// When the last byte arrived on a direct connection.
    heard_at: Option<BootInstant>,
    /// When the server joined; `None` if it was in the first server list that this node read.
    joined_at: Option<BootInstant>,
    /// Whether the incarnation has said that it leaves.
    is_leaving: bool,
    /// End of the time for which the server wants no requests from this node.
    closed_until: Option<BootInstant>,
    health: Health,
    warmth: Warmth,
}

/// Load and health of the known servers.
#[derive(Clone, Default)]
pub(super) struct ServerLoads {
    /// Sorted by server name.
    states: Arc<Mutex<Vec<ServerState>>>,
    /// Decides which results suspend a server.
    policy: HealthPolicy,
}

/// Counts a request as in flight at a server until it is dropped, and records what is learned from the request. Once
/// the server is known to have restarted, the guard changes nothing any more.
pub(super) struct InFlightGuard {
    loads: ServerLoads,
    id: String,
    start_time_ms: u64,
    /// Whether the server has been recorded as silent for this request.
    is_silent: AtomicBool,
    /// Whether another gateway carries the request.
    is_carried: AtomicBool,
}

/// Load and health of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerStatus {
    /// Requests in flight, those of other nodes included as far as they are known.
    pub(super) load: u32,
    /// Moving mean of the load, but at least this node's requests in flight.
    pub(super) smoothed_load: f64,
    /// Whether the server is suspended because of failed requests, or is unresponsive now.
    pub(super) is_suspended: bool,
    /// Whether the server joined less than [`WARM_UP_TIME`] ago.
    pub(super) is_warming_up: bool,
    /// Whether the server has told this node that it wants no requests.
    pub(super) is_closed: bool,
    /// Time that the server takes as a multiple of what the others of its service take; 1 if it is not slow.
    pub(super) slowness: f64,
    /// What the server has just said of the time that work takes, as a multiple of the usual; `None` if it has said nothing lately.
    pub(super) speed_hint: Option<f64>,
    /// What is known of whether it is cold.
    pub(super) warmth: Warmth,
}

impl Default for ServerStatus {
    fn default() -> Self {
        Self {
            load: 0,
            smoothed_load: 0.0,
            is_suspended: false,
            is_warming_up: false,
            is_closed: false,
            slowness: 1.0,
            speed_hint: None,
            warmth: Warmth::default(),
        }
    }
}

impl ServerLoads {
    /// Returns load and health of each of `servers`, in the same order. A server without a state counts as healthy and
    /// without load.
    pub(super) fn statuses(
        &self,
        servers: &[BackendServer],
        now: BootInstant,
    ) -> Vec<ServerStatus> {
        let states = self.lock();
        let status = |server: &BackendServer| {
            let index = states.binary_search_by(|state| state.id.as_str().cmp(&server.id));
            let state = index.ok().map(|index| &states[index]);
            let entry = &server.entry;
            let mut status = state
                .filter(|state| state.start_time_ms == entry.start_time_ms)
                .map_or_else(ServerStatus::default, |state| state.status(now));
            // The list may be newer than the last call of `track`.
            status
                .warmth
                .record_report(entry.sequence, entry.cold_left, now);
            status
        };
        servers.iter().map(status).collect()
    }

    /// Returns whether `server` has told this node that it wants no requests.
    pub(super) fn is_closed(&self, server: &BackendServer, now: BootInstant) -> bool {
        let states = self.lock();
        let index = states.binary_search_by(|state| state.id.as_str().cmp(&server.id));
        index.is_ok_and(|index| {
            let state = &states[index];
            state.start_time_ms == server.entry.start_time_ms && state.is_closed(now)
        })
    }

    /// Counts a request that is about to be sent to `server` as in flight.
    pub(super) fn start_request(&self, server: &BackendServer) -> InFlightGuard {
        let mut states = self.lock();
        let state = current_state(&mut states, server);
        state.own_in_flight += 1;
        state.inactive_since = state.inactive_since.or(Some(BootInstant::now()));
        InFlightGuard {
            loads: self.clone(),
            id: server.id.clone(),
            start_time_ms: server.entry.start_time_ms,
            is_silent: AtomicBool::new(false),
            is_carried: AtomicBool::new(false),
        }
    }

    /// Returns when something last arrived from `server` on a direct connection.
    pub(super) fn heard_at(&self, server: &BackendServer) -> Option<BootInstant> {
        let states = self.lock();
        let index = states.binary_search_by(|state| state.id.as_str().cmp(&server.id));
        let state = index.ok().map(|index| &states[index]);
        let state = state.filter(|state| state.start_time_ms == server.entry.start_time_ms);
        state.and_then(|state| state.heard_at)
    }

    /// Records that something arrived from `server` on a direct connection.
    pub(super) fn record_heard(&self, server: &BackendServer) {
        let now = BootInstant::now();
        current_state(&mut self.lock(), server).heard_at = Some(now);
    }

    /// Returns the names of the servers with requests in flight from which no byte has arrived for `time`.
    pub(super) fn inactive_for(&self, time: Duration, now: BootInstant) -> Vec<String> {
        let states = self.lock();
        let inactive = states.iter().filter(|state| {
            let since = state.inactive_since;
            since.is_some_and(|since| now.since(since) > time)
        });
        inactive.map(|state| state.id.clone()).collect()
    }

    /// Records that another path to `server` was found, so that it gets requests again if it got none because it did not
    /// respond.
    pub(super) fn record_other_path(&self, server: &BackendServer) {
        let mut states = self.lock();
        let state = current_state(&mut states, server);
        state.health.end_silence();
        if state.inactive_since.is_some() {
            state.inactive_since = Some(BootInstant::now());
        }
    }

    /// Returns the number of this node's requests in flight and its answers by server, sorted by server name.
    pub(super) fn own_in_flight(&self) -> Vec<LoadEntry> {
        let now = BootInstant::now();
        let mut states = self.lock();
        let loads = states.iter_mut().map(|state| LoadEntry {
            server: state.id.clone(),
            in_flight: state.own_in_flight,
            requests: None,
            pace: state.pace.sum(now),
            speed: state.speed.sum(now),
        });
        loads
            .filter(|load| load.in_flight > 0 || load.pace.is_some() || load.speed.is_some())
            .collect()
    }

    /// Records the requests in flight of all other nodes together, and which servers are slow; a server that is missing has
    /// no requests and is not slow.
    pub(super) fn record_remote(&self, fleet: &FleetLoads) {
        let now = BootInstant::now();
        for state in self.lock().iter_mut() {
            let found = fleet
                .others
                .binary_search_by(|entry| entry.server.cmp(&state.id));
            state.remote = Some((found.map_or(0, |index| fleet.others[index].in_flight), now));
            let slow = fleet
                .slow
                .binary_search_by(|(server, _)| server.cmp(&state.id));
            state.slowness = slow.ok().map(|index| (fleet.slow[index].1, now));
            state.smoothed_load +=
                (f64::from(state.load(now)) - state.smoothed_load) * LOAD_SMOOTHING_FACTOR;
        }
    }

    /// Returns the age of what is known of the loads of other nodes; `None` if nothing is.
    pub(super) fn remote_age(&self, now: BootInstant) -> Option<Duration> {
        let states = self.lock();
        let newest = states
            .iter()
            .filter_map(|state| state.remote)
            .map(|(_, at)| at);
        newest.max().map(|at| now.since(at))
    }

    /// Adds a state for each server that has none, so that the loads of other nodes can be recorded for it.
    pub(super) fn track(&self, servers: &[BackendServer]) {
        let mut states = self.lock();
        let is_first = states.is_empty();
        let now = BootInstant::now();
        for server in servers {
            let state = current_state(&mut states, server);
            let entry = &server.entry;
            state
                .warmth
                .record_report(entry.sequence, entry.cold_left, now);
            if is_first {
                // Servers of the first list were there before this node, so they don't count as recently joined.
                state.joined_at = None;
            }
        }
    }

    /// Removes servers that are not known any more and at which this node has no request in flight.
    pub(super) fn prune(&self, is_known: &dyn Fn(&str) -> bool) {
        self.lock()
            .retain(|state| state.own_in_flight > 0 || is_known(&state.id));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ServerState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the state of a server's current incarnation, adding a new one if there is none.
fn current_state<'a>(
    states: &'a mut Vec<ServerState>,
    server: &BackendServer,
) -> &'a mut ServerState {
    let index = match states.binary_search_by(|state| state.id.as_str().cmp(&server.id)) {
        Ok(index) => index,
        Err(index) => {
            states.insert(index, ServerState::default());
            index
        }
    };
    let state = &mut states[index];
    if state.id.is_empty() || state.start_time_ms != server.entry.start_time_ms {
        // The state of an earlier incarnation does not apply to this one.
        *state = ServerState {
            id: server.id.clone(),
            start_time_ms: server.entry.start_time_ms,
            service: server.entry.service.clone(),
            joined_at: Some(BootInstant::now()),
            ..ServerState::default()
        };
    }
    state
}

impl ServerState {
    fn status(&self, now: BootInstant) -> ServerStatus {
        ServerStatus {
            load: self.load(now),
            // The smoothed load is updated four times a second with the loads of other nodes; this node's own requests
            // are known at once.
            smoothed_load: self.smoothed_load.max(f64::from(self.own_in_flight)),
            is_suspended: self.health.is_suspended(now) || self.is_unresponsive(now),
            is_warming_up: self
                .joined_at
                .is_some_and(|joined| now.since(joined) < WARM_UP_TIME),
            is_closed: self.is_closed(now),
            slowness: self
                .slowness
                .filter(|(_, received_at)| now.since(*received_at) < MAX_REMOTE_AGE)
                .map_or(1.0, |(slowness, _)| slowness),
            speed_hint: self
                .last_speed
                .filter(|(_, at)| now.since(*at) < SPEED_HINT_TIME)
                .map(|(speed, _)| speed),
            warmth: self.warmth,
        }
    }

    /// Returns whether the server has told this node that it wants no requests.
    fn is_closed(&self, now: BootInstant) -> bool {
        self.is_leaving || self.closed_until.is_some_and(|until| now < until)
    }

    /// Returns whether requests are in flight at the server although no byte has arrived from it for longer than
    /// [`MAX_TIME_WITHOUT_ACTIVITY`].
    fn is_unresponsive(&self, now: BootInstant) -> bool {
        self.inactive_since
            .is_some_and(|since| now.since(since) > MAX_TIME_WITHOUT_ACTIVITY)
    }

    /// Returns the requests of this node and the other nodes if the latter are known, else an estimate: the load that
    /// the server reported, corrected by the change in this node's own requests since then.
    fn load(&self, now: BootInstant) -> u32 {
        let remote = self
            .remote
            .filter(|(_, received_at)| now.since(*received_at) < MAX_REMOTE_AGE);
        if let Some((remote, _)) = remote {
            return remote.saturating_add(self.own_in_flight);
        }
        let reported = self
            .report
            .filter(|report| now.since(report.received_at) < MAX_REPORT_AGE)
            .map_or(0, |report| {
                let load = report.load.saturating_add(self.own_in_flight);
                load.saturating_sub(report.own_at_report)
            });
        reported.max(self.own_in_flight)
    }
}

impl InFlightGuard {
    /// Records that bytes arrived from the server.
    pub(super) fn record_activity(&self) {
        let now = BootInstant::now();
        let is_direct = !self.is_carried.load(Ordering::Relaxed);
        self.update(|state| {
            state.inactive_since = Some(now);
            state.warmth.record_answer(now);
            if is_direct {
                state.heard_at = Some(now);
            }
        });
    }

    /// Records that the server took `took` for a whole answer, or for the next event of a stream.
    pub(super) fn record_pace(&self, took: Duration) {
        let now = BootInstant::now();
        self.update(|state| state.pace.record(took, now));
    }

    /// Records that another gateway carries the request, so that what arrives tells nothing of the direct path.
    pub(super) fn set_carried(&self) {
        self.is_carried.store(true, Ordering::Relaxed);
    }

    /// Returns whether something has arrived from the server on a direct connection since `at`.
    pub(super) fn was_heard_since(&self, at: BootInstant) -> bool {
        let mut heard_at = None;
        self.update(|state| heard_at = state.heard_at);
        heard_at.is_some_and(|heard_at| heard_at >= at)
    }

    /// Records that the server said that it leaves; it gets no further requests, whatever the server list says.
    pub(super) fn record_leaving(&self) {
        self.update(|state| state.is_leaving = true);
    }

    /// Records that the server wants no requests from this node for `retry_after`.
    pub(super) fn record_retry_after(&self, retry_after: Duration) {
        let until = BootInstant::now().plus(retry_after);
        self.update(|state| state.closed_until = state.closed_until.max(Some(until)));
    }

    /// Records the load that the server reported with a response.
    pub(super) fn record_load(&self, load: ServerLoad) {
        self.update(|state| {
            if let Some(percent) = load.work_time_percent {
                let now = BootInstant::now();
                state.speed.record(percent, now);
                state.last_speed = Some((f64::from(percent) / 100.0, now));
            }
            state.report = Some(LoadReport {
                load: load.running.saturating_add(load.waiting),
                own_at_report: state.own_in_flight,
                received_at: BootInstant::now(),
            });
        });
    }

    /// Records that the server goes on with the request. If it was suspended because this request had been silent, it gets
    /// requests again.
    pub(super) fn record_recovery(&self) {
        if self.is_silent.swap(false, Ordering::Relaxed) {
            self.update(|state| state.health.end_silence());
        }
    }

    /// Records how a request at the server ended, and compares the server's failure rate with the mean of the other
    /// servers of its service. Silence counts once. Returns the duration of the suspension if this result suspends the
    /// server.
    pub(super) fn record_result(&self, result: RunResult) -> Option<Duration> {
        if result == RunResult::Silent && self.is_silent.swap(true, Ordering::Relaxed) {
            return None;
        }
        let mut states = self.loads.lock();
        let index = states
            .binary_search_by(|state| state.id.as_str().cmp(&self.id))
            .ok()?;
        if states[index].start_time_ms != self.start_time_ms {
            return None;
        }
        if matches!(result, RunResult::Broken | RunResult::Unreachable) {
            states[index].warmth.record_failure(BootInstant::now());
        }
        let service = &states[index].service;
        let others = states
            .iter()
            .filter(|state| &state.service == service && state.id != self.id);
        let (count, sum) = others.fold((0u32, 0.0), |(count, sum), state| {
            (count + 1, sum + state.health.failure_rate())
        });
        let mean_failure_rate = if count > 0 {
            sum / f64::from(count)
        } else {
            0.0
        };
        states[index].health.record(
            result,
            mean_failure_rate,
            BootInstant::now(),
            &self.loads.policy,
        )
    }

    /// Calls `change` with the server's state, unless it belongs to another incarnation.
    fn update(&self, change: impl FnOnce(&mut ServerState)) {
        let mut states = self.loads.lock();
        if let Ok(index) = states.binary_search_by(|state| state.id.as_str().cmp(&self.id))
            && states[index].start_time_ms == self.start_time_ms
        {
            change(&mut states[index]);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let is_unresponsive = {
            let now = BootInstant::now();
            let mut is_unresponsive = false;
            self.update(|state| is_unresponsive = state.is_unresponsive(now));
            is_unresponsive
        };
        if is_unresponsive {
            // The caller disconnected or the deadline passed while no byte had come from the server for too long.
            self.record_result(RunResult::Silent);
        }
        self.update(|state| {
            state.own_in_flight = state.own_in_flight.saturating_sub(1);
            if state.own_in_flight == 0 {
                state.inactive_since = None;
            }
        });
    }
}
