//! What this node knows of each backend server's load and health.

use super::dialect::ServerLoad;
use crate::catalog::BackendServer;
use crate::clock::Moment;
use crate::decide::Health;
use crate::decide::HealthPolicy;
use crate::decide::RunResult;
use crate::peers::LoadEntry;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Age up to which a server's own report of its load is used: some runs' length, beyond which others began and ended.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Age up to which the loads of other nodes are used: some unanswered questions to the relay.
const MAX_REMOTE_AGE: Duration = Duration::from_millis(2_000);

/// Weight of the newest of four loads a second in their moving mean, which then looks back about a second.
const MEAN_LOAD_GAIN: f64 = 0.25;
/// Time without any sign of a server that has work after which it gets none: twice the longest prompt of the sheets,
/// and nearly twice the longest plain call.
const MAX_TIME_WITHOUT_ACTIVITY: Duration = Duration::from_millis(800);
/// Time after which a server that joined holds what it is the home of: most parts are asked for several times in it.
const WARM_UP_TIME: Duration = Duration::from_secs(12);

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    load: u32,
    own_at_report: u32,
    at: Moment,
}

#[derive(Clone, Debug, Default)]
struct ServerState {
    id: String,
    start_time_ms: u64,
    service: String,
    own_in_flight: u32,
    report: Option<LoadReport>,
    remote: Option<(u32, Moment)>,
    /// Moving mean of the load.
    mean_load: f64,
    /// Since when requests have waited there without any sign of the server.
    unanswered_since: Option<Moment>,
    /// When it joined the servers that were known already.
    joined_at: Option<Moment>,
    health: Health,
}

/// Loads of all servers that were ever placed on.
#[derive(Clone, Default)]
pub(super) struct ServerLoads {
    states: Arc<Mutex<Vec<ServerState>>>,
    policy: HealthPolicy,
}

/// One request at a server, counted until it is dropped.
pub(super) struct InFlightGuard {
    loads: ServerLoads,
    id: String,
    start_time_ms: u64,
}

/// Load and standing of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServerStatus {
    pub(super) load: u32,
    pub(super) mean_load: f64,
    pub(super) is_suspended: bool,
    pub(super) is_warming_up: bool,
}

impl ServerLoads {
    /// Gives load and standing of each of `servers`, in their order.
    pub(super) fn statuses(&self, servers: &[BackendServer], now: Moment) -> Vec<ServerStatus> {
        let states = self.lock();
        let status = |server: &BackendServer| {
            let at = states.binary_search_by(|state| state.id.as_str().cmp(&server.id));
            let state = at.ok().map(|at| &states[at]);
            state
                .filter(|state| state.start_time_ms == server.entry.born_ms)
                .map_or_else(ServerStatus::default, |state| state.status(now))
        };
        servers.iter().map(status).collect()
    }

    /// Counts a request that is about to be sent to `server`.
    pub(super) fn start_request(&self, server: &BackendServer) -> InFlightGuard {
        let mut states = self.lock();
        let state = current_state(&mut states, server);
        state.own_in_flight += 1;
        state.unanswered_since = state.unanswered_since.or(Some(Moment::now()));
        InFlightGuard {
            loads: self.clone(),
            id: server.id.clone(),
            start_time_ms: server.entry.born_ms,
        }
    }

    /// Gives this node's own requests by server, sorted.
    pub(super) fn own_in_flight(&self) -> Vec<LoadEntry> {
        self.lock()
            .iter()
            .filter(|state| state.own_in_flight > 0)
            .map(|state| LoadEntry {
                server: state.id.clone(),
                in_flight: state.own_in_flight,
            })
            .collect()
    }

    /// Takes in the requests of all other nodes together, sorted by server; a server that is not named has none.
    pub(super) fn record_remote(&self, others: &[LoadEntry]) {
        let now = Moment::now();
        for state in self.lock().iter_mut() {
            let found = others.binary_search_by(|entry| entry.server.cmp(&state.id));
            state.remote = Some((found.map_or(0, |at| others[at].in_flight), now));
            state.mean_load += (f64::from(state.load(now)) - state.mean_load) * MEAN_LOAD_GAIN;
        }
    }

    /// Makes a row for each server that has none, so that the loads of other nodes find it.
    pub(super) fn track(&self, servers: &[BackendServer]) {
        let mut states = self.lock();
        let is_first = states.is_empty();
        for server in servers {
            let state = current_state(&mut states, server);
            if is_first {
                // These were there before this node; nothing tells that they are new.
                state.joined_at = None;
            }
        }
    }

    /// Forgets servers that `is_known` doesn't name and that nothing runs at.
    pub(super) fn prune(&self, is_known: &dyn Fn(&str) -> bool) {
        self.lock()
            .retain(|state| state.own_in_flight > 0 || is_known(&state.id));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ServerState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Finds the row of a server's present incarnation, or makes one.
fn current_state<'a>(
    states: &'a mut Vec<ServerState>,
    server: &BackendServer,
) -> &'a mut ServerState {
    let at = match states.binary_search_by(|state| state.id.as_str().cmp(&server.id)) {
        Ok(at) => at,
        Err(at) => {
            states.insert(at, ServerState::default());
            at
        }
    };
    let state = &mut states[at];
    if state.id.is_empty() || state.start_time_ms != server.entry.born_ms {
        // Nothing that was known of an earlier incarnation holds for this one.
        *state = ServerState {
            id: server.id.clone(),
            start_time_ms: server.entry.born_ms,
            service: server.entry.service.clone(),
            joined_at: Some(Moment::now()),
            ..ServerState::default()
        };
    }
    state
}

impl ServerState {
    fn status(&self, now: Moment) -> ServerStatus {
        ServerStatus {
            load: self.load(now),
            // A node's own calls are known at once; the rest is known four times a second.
            mean_load: self.mean_load.max(f64::from(self.own_in_flight)),
            is_suspended: self.health.is_aside(now) || self.is_unresponsive(now),
            is_warming_up: self
                .joined_at
                .is_some_and(|joined| now.since(joined) < WARM_UP_TIME),
        }
    }

    fn is_unresponsive(&self, now: Moment) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) > MAX_TIME_WITHOUT_ACTIVITY)
    }

    /// Own requests and those of the other nodes where these are known, else what the server itself told.
    fn load(&self, now: Moment) -> u32 {
        let others = self
            .remote
            .filter(|(_, at)| now.since(*at) < MAX_REMOTE_AGE);
        if let Some((others, _)) = others {
            return others + self.own_in_flight;
        }
        let reported = self
            .report
            .filter(|report| now.since(report.at) < MAX_REPORT_AGE)
            .map_or(0, |report| {
                (report.load + self.own_in_flight).saturating_sub(report.own_at_report)
            });
        reported.max(self.own_in_flight)
    }
}

impl InFlightGuard {
    /// Notes that bytes came from the server.
    pub(super) fn record_activity(&self) {
        self.update(|state| state.unanswered_since = Some(Moment::now()));
    }

    /// Takes in the load that the server told with an answer.
    pub(super) fn record_load(&self, load: ServerLoad) {
        self.update(|state| {
            state.report = Some(LoadReport {
                load: load.running + load.waiting,
                own_at_report: state.own_in_flight,
                at: Moment::now(),
            });
        });
    }

    /// Takes in how a request at the server ended; returns for how long the server is set aside, if it is.
    pub(super) fn record_result(&self, result: RunResult) -> Option<Duration> {
        let mut states = self.loads.lock();
        let at = states
            .binary_search_by(|state| state.id.as_str().cmp(&self.id))
            .ok()?;
        if states[at].start_time_ms != self.start_time_ms {
            return None;
        }
        let service = &states[at].service;
        let others = states
            .iter()
            .filter(|state| &state.service == service && state.id != self.id);
        let (count, sum) = others.fold((0u32, 0.0), |(count, sum), state| {
            (count + 1, sum + state.health.failure_rate())
        });
        let mean = if count > 0 {
            sum / f64::from(count)
        } else {
            0.0
        };
        states[at]
            .health
            .note(result, mean, Moment::now(), &self.loads.policy)
    }

    fn update(&self, change: impl FnOnce(&mut ServerState)) {
        let mut states = self.loads.lock();
        if let Ok(at) = states.binary_search_by(|state| state.id.as_str().cmp(&self.id))
            && states[at].start_time_ms == self.start_time_ms
        {
            change(&mut states[at]);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let is_unresponsive = {
            let now = Moment::now();
            let mut is_unresponsive = false;
            self.update(|state| is_unresponsive = state.is_unresponsive(now));
            is_unresponsive
        };
        if is_unresponsive {
            // The caller left, or the time was over, without any sign of the server.
            self.record_result(RunResult::Silent);
        }
        self.update(|state| {
            state.own_in_flight = state.own_in_flight.saturating_sub(1);
            if state.own_in_flight == 0 {
                state.unanswered_since = None;
            }
        });
    }
}
