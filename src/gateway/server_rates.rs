//! The limits that servers name on their requests, and how many requests the fleet has for each.

use super::dialect::RateLimitNotice;
use super::send_gate::SendGate;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::FleetRequests;
use crate::decide::OwnRequests;
use crate::decide::is_sender;
use crate::decide::limit_senders;
use crate::peers::LoadEntry;
use crate::peers::ServerRequests;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Maximum age of the other gateways' requests, the time that a few sync requests to the relay take if none is answered.
const MAX_REMOTE_AGE: Duration = Duration::from_millis(2_000);
/// Time after a server's last word about its limit for which the gateways tell each other of its requests.
const LIMIT_MEMORY: Duration = Duration::from_secs(10);

/// Time by which a limit that another gateway has heard must be newer than this gateway's own to replace it: more than a
/// message between gateways takes, so that a gateway does not take its own old word for a new one when it comes back.
const MIN_NEWER: Duration = Duration::from_millis(300);

/// A server's last word about its limit, to this or another gateway.
#[derive(Clone, Copy, Debug)]
struct LimitNotice {
    /// Requests a second, or `None` if the limit has ended.
    limit: Option<f64>,
    at: BootInstant,
}

/// Requests for one incarnation of a server.
#[derive(Clone, Debug, Default)]
struct ServerState {
    id: String,
    start_time_ms: u64,
    own: OwnRequests,
    /// Requests of the other gateways, and when they were received.
    remote: Option<(FleetRequests, BootInstant)>,
    /// `None` if the server has never named a limit, or not for [`LIMIT_MEMORY`].
    notice: Option<LimitNotice>,
    /// When this gateway learnt of the limit; `None` while there is none.
    limited_since: Option<BootInstant>,
    /// Whether this gateway may send to the server, with what that was decided by.
    sender: Option<(SenderKey, bool)>,
}

/// What decides which gateways may send to a server with a limit: the version of their names, and how many of them may.
type SenderKey = (u64, usize);

/// The gateways that share the limits.
#[derive(Debug, Default)]
struct Fleet {
    own_name: String,
    /// Raised when `names` change.
    version: u64,
    /// Sorted; empty until they are known.
    names: Vec<String>,
}

/// Requests and limits of the known servers.
#[derive(Debug, Default)]
pub(super) struct ServerRates {
    fleet: Mutex<Fleet>,
    /// Sorted by server name.
    states: Mutex<Vec<ServerState>>,
}

impl ServerRates {
    /// Returns rates for the gateway called `own_name`.
    pub(super) fn new(own_name: &str) -> Self {
        let fleet = Fleet {
            own_name: own_name.to_owned(),
            ..Fleet::default()
        };
        Self {
            fleet: Mutex::new(fleet),
            states: Mutex::default(),
        }
    }

    /// Takes over the names of the gateways from `gate`, if they have changed.
    pub(super) fn record_gateways(&self, gate: &SendGate) {
        let mut fleet = self.lock_fleet();
        if let Some((version, names)) = gate.gateways_since(fleet.version) {
            fleet.version = version;
            fleet.names = names;
        }
    }

    /// Records what a response says of its server's limit.
    pub(super) fn record_notice(&self, server: &BackendServer, notice: RateLimitNotice) {
        let limit = match notice {
            RateLimitNotice::PerSecond(limit) => Some(limit),
            RateLimitNotice::Unlimited => None,
            RateLimitNotice::Unreadable => return,
        };
        let at = BootInstant::now();
        let mut states = self.lock();
        let state = current_state(&mut states, server);
        if limit.is_some() || state.notice.is_some() {
            state.record_notice(LimitNotice { limit, at }, at);
        }
    }

    /// Records that `server` was chosen for a request, and returns whether its limit allows to send it there. `fraction`
    /// is a number from 0 to 1 that is evenly distributed over requests.
    pub(super) fn may_send(&self, server: &BackendServer, fraction: f64) -> bool {
        let now = BootInstant::now();
        let fleet = self.lock_fleet();
        let mut states = self.lock();
        let state = current_state(&mut states, server);
        state.own.chosen.record(now);
        let Some(limit) = state.limit() else {
            return true;
        };
        state.is_sender(&fleet, limit)
            && state
                .fleet_requests(&fleet, limit, now)
                .may_send(limit, fraction)
    }

    /// Returns whether this gateway may not send to `server` now by the limit that it names: other gateways use it, or it has got
    /// all requests that it allows.
    pub(super) fn is_exhausted(&self, server: &BackendServer) -> bool {
        let fleet = self.lock_fleet();
        let mut states = self.lock();
        let state = current_state(&mut states, server);
        state.limit().is_some_and(|limit| {
            !state.is_sender(&fleet, limit)
                || state
                    .fleet_requests(&fleet, limit, BootInstant::now())
                    .exhaust(limit)
        })
    }

    /// Returns the indices of those `servers` whose limits are used by other gateways only.
    pub(super) fn left_to_others(&self, servers: &[&BackendServer]) -> Vec<usize> {
        let fleet = self.lock_fleet();
        let mut states = self.lock();
        if states.iter().all(|state| state.limit().is_none()) {
            return Vec::new();
        }
        let mut is_left = |server: &BackendServer| {
            let index = states.binary_search_by(|state| state.id.as_str().cmp(&server.id));
            index.is_ok_and(|index| {
                let state = &mut states[index];
                let limit = state.limit();
                state.start_time_ms == server.entry.start_time_ms
                    && limit.is_some_and(|limit| !state.is_sender(&fleet, limit))
            })
        };
        (0..servers.len())
            .filter(|index| is_left(servers[*index]))
            .collect()
    }

    /// Returns whether `server` names a limit.
    pub(super) fn has_limit(&self, server: &BackendServer) -> bool {
        let states = self.lock();
        let index = states.binary_search_by(|state| state.id.as_str().cmp(&server.id));
        index.is_ok_and(|index| {
            let state = &states[index];
            state.start_time_ms == server.entry.start_time_ms && state.limit().is_some()
        })
    }

    /// Records that a request is sent to `server`.
    pub(super) fn record_send(&self, server: &BackendServer) {
        let mut states = self.lock();
        let state = current_state(&mut states, server);
        state.own.sent.record(BootInstant::now());
    }

    /// Adds this gateway's requests for servers with limits to its loads, which are sorted by server name.
    pub(super) fn add_to_loads(&self, loads: &mut Vec<LoadEntry>) {
        let now = BootInstant::now();
        for state in self.lock().iter_mut() {
            let Some(notice) = state.notice else {
                continue;
            };
            if now.since(notice.at) > LIMIT_MEMORY {
                state.notice = None;
                state.limited_since = None;
                continue;
            }
            let age_ms = u64::try_from(now.since(notice.at).as_millis()).unwrap_or(u64::MAX);
            let own = state.own.count(now);
            let requests = ServerRequests {
                chosen: own.chosen,
                sent: own.sent,
                limit_milli: notice.limit.map(|limit| (limit * 1_000.0) as u64),
                limit_age_ms: age_ms,
            };
            match loads.binary_search_by(|entry| entry.server.cmp(&state.id)) {
                Ok(index) => loads[index].requests = Some(requests),
                Err(index) => loads.insert(
                    index,
                    LoadEntry {
                        server: state.id.clone(),
                        in_flight: 0,
                        requests: Some(requests),
                        pace: None,
                        speed: None,
                    },
                ),
            }
        }
    }

    /// Records the requests of all other gateways together and the newest limits that they know of, sorted by server
    /// name; `servers` is the present server list.
    pub(super) fn record_remote(&self, remote: &[LoadEntry], servers: &[BackendServer]) {
        let now = BootInstant::now();
        let mut states = self.lock();
        for server in servers {
            let found = remote.binary_search_by(|entry| entry.server.cmp(&server.id));
            let requests = found.ok().and_then(|index| remote[index].requests);
            let state = current_state(&mut states, server);
            let Some(requests) = requests else {
                state.remote = state.notice.map(|_| (FleetRequests::default(), now));
                continue;
            };
            let fleet = FleetRequests {
                chosen: requests.chosen,
                sent: requests.sent,
            };
            state.remote = Some((fleet, now));
            let age = Duration::from_millis(requests.limit_age_ms);
            let at = now.before(age);
            if age < LIMIT_MEMORY
                && state
                    .notice
                    .is_none_or(|notice| notice.at.plus(MIN_NEWER) < at)
            {
                let limit = requests.limit_milli.map(|milli| milli as f64 / 1_000.0);
                state.record_notice(LimitNotice { limit, at }, now);
            }
        }
    }

    /// Returns the number of servers that name a limit.
    pub(super) fn limited_count(&self) -> usize {
        let states = self.lock();
        states
            .iter()
            .filter(|state| state.limit().is_some())
            .count()
    }

    /// Removes servers that are not known any more.
    pub(super) fn prune(&self, is_known: &dyn Fn(&str) -> bool) {
        self.lock().retain(|state| is_known(&state.id));
    }

    fn lock_fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ServerState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServerState {
    fn limit(&self) -> Option<f64> {
        self.notice.and_then(|notice| notice.limit)
    }

    /// Takes over the server's last word, of which this gateway learns at `now`.
    fn record_notice(&mut self, notice: LimitNotice, now: BootInstant) {
        let since = self.limited_since.unwrap_or(now);
        self.limited_since = notice.limit.map(|_| since);
        self.notice = Some(notice);
    }

    /// Returns whether this gateway is one of those that may send to the server.
    fn is_sender(&mut self, fleet: &Fleet, limit: f64) -> bool {
        let key = (fleet.version, limit_senders(limit));
        match self.sender {
            Some((known, is_sender)) if known == key => is_sender,
            _ => {
                let is_sender = is_sender(&fleet.own_name, &fleet.names, self.id.as_bytes(), key.1);
                self.sender = Some((key, is_sender));
                is_sender
            }
        }
    }

    /// Returns the requests of all gateways that may send to the server.
    fn fleet_requests(&mut self, fleet: &Fleet, limit: f64, now: BootInstant) -> FleetRequests {
        let remote = self
            .remote
            .filter(|(_, received_at)| now.since(*received_at) < MAX_REMOTE_AGE);
        let known_for = self
            .limited_since
            .map_or(Duration::ZERO, |at| now.since(at));
        let senders = match fleet.names.len() {
            0 => limit_senders(limit),
            known => limit_senders(limit).min(known),
        };
        let others = remote.map(|(requests, _)| requests);
        self.own.of_fleet(others, known_for, senders, now)
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
        // What an earlier incarnation took says nothing of this one.
        *state = ServerState {
            id: server.id.clone(),
            start_time_ms: server.entry.start_time_ms,
            ..ServerState::default()
        };
    }
    state
}
