//! The one point that every request passes before it is written to a backend server: it keeps requests from servers of
//! evacuated data centres, and the bound on requests to cold servers ([`crate::decide`], `docs/design/COLD-SERVERS.md`).

use super::loads::ServerLoads;
use crate::catalog::BackendServer;
use crate::catalog::Catalog;
use crate::catalog::Evacuations;
use crate::catalog::Service;
use crate::clock::BootInstant;
use crate::decide::ColdPolicy;
use crate::decide::RecentNodes;
use crate::decide::SendBucket;
use crate::decide::ShareTerm;
use crate::decide::TOKEN_TIME;
use crate::decide::Warmth;
use crate::decide::hash;
use crate::decide::is_sender;
use crate::decide::sender_share;
use crate::logs::Logs;
use crate::peers::NodeNames;
use slog::info;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// By how much requests to a cold server may exceed what its service says that it bears, in any one second.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct ColdAllowance {
    /// Factor on the requests a second, in thousandths.
    pub(super) excess_milli: u64,
    /// Requests beside that, in thousandths.
    pub(super) slack_milli: u64,
}

/// The permission to send one request to a server.
#[derive(Clone, Copy, Debug)]
pub(super) enum SendPermit {
    /// The server was warm when it was chosen.
    Warm,
    /// The token of a cold server was taken at this time.
    Token(BootInstant),
}

/// A cold server and this gateway's share of it.
#[derive(Debug)]
struct ColdServer {
    id: String,
    start_time_ms: u64,
    since: BootInstant,
    /// Whether it is cold. One that is warm is remembered until its bucket has a token again, so that it has no second one if it
    /// turns cold.
    is_cold: bool,
    bucket: SendBucket,
    /// Version of the names of gateways by which `is_sender` was decided.
    names_version: u64,
    is_sender: bool,
    rate: f64,
}

#[derive(Debug, Default)]
struct State {
    nodes: RecentNodes,
    names: Vec<String>,
    /// Raised when `names` change.
    names_version: u64,
    /// When loads were last exchanged with others.
    news_at: Option<BootInstant>,
    /// Version of the node list that was last recorded.
    list_version: Option<u64>,
    /// Sorted by server name.
    servers: Vec<ColdServer>,
}

/// Decides whether requests may be written to servers.
pub(super) struct SendGate {
    own_name: String,
    catalog: Arc<Catalog>,
    loads: ServerLoads,
    logs: Logs,
    started_at: BootInstant,
    allowance: Mutex<ColdAllowance>,
    /// Names of the gateways; unset until the peers have started.
    node_names: OnceLock<Arc<dyn NodeNames>>,
    state: Mutex<State>,
    cold_sends: AtomicU64,
    stopped_sends: AtomicU64,
}

impl SendGate {
    pub(super) fn new(
        own_name: &str,
        (catalog, loads): (&Arc<Catalog>, &ServerLoads),
        logs: &Logs,
        allowance: ColdAllowance,
        started_at: BootInstant,
    ) -> Self {
        Self {
            own_name: own_name.to_owned(),
            catalog: Arc::clone(catalog),
            loads: loads.clone(),
            logs: logs.clone(),
            started_at,
            allowance: Mutex::new(allowance),
            node_names: OnceLock::new(),
            state: Mutex::default(),
            cold_sends: AtomicU64::new(0),
            stopped_sends: AtomicU64::new(0),
        }
    }

    /// Sets where the names of the gateways come from; further calls change nothing.
    pub(super) fn set_node_names(&self, names: Arc<dyn NodeNames>) {
        let _ = self.node_names.set(names);
    }

    pub(super) fn set_allowance(&self, allowance: ColdAllowance) {
        *lock(&self.allowance) = allowance;
    }

    /// Returns what a cold server of `service` bears; `None` if that is not limited.
    pub(super) fn policy(&self, service: Option<&Service>) -> Option<ColdPolicy> {
        let limits = service?.cold?;
        let allowance = *lock(&self.allowance);
        let milli = |number: u64| number as f64 / 1_000.0;
        Some(ColdPolicy {
            time: limits.time,
            max_per_second: milli(limits.millirequests_per_s) * milli(allowance.excess_milli)
                + milli(allowance.slack_milli),
        })
    }

    /// Returns for how long `server` may be cold; `None` if it is warm.
    pub(super) fn cold_left(
        &self,
        server: &BackendServer,
        warmth: &Warmth,
        policy: &ColdPolicy,
        evacuations: &Evacuations,
        now: BootInstant,
    ) -> Option<Duration> {
        let returned_at = evacuations.returned_at(&server.entry.data_centre);
        warmth.cold_left(policy, returned_at, now)
    }

    /// Returns whether this gateway may send a request to the cold `server` now; one that `yields` leaves tokens to more urgent
    /// ones.
    pub(super) fn has_token(
        &self,
        server: &BackendServer,
        policy: &ColdPolicy,
        yields: bool,
        now: BootInstant,
    ) -> bool {
        let mut state = lock(&self.state);
        self.share(&mut state, server, policy, now)
            .is_some_and(|cold| cold.bucket.has_token(cold.rate, yields, now))
    }

    /// Takes this gateway's token for the cold `server`; returns whether there was one.
    pub(super) fn take_token(
        &self,
        server: &BackendServer,
        policy: &ColdPolicy,
        now: BootInstant,
    ) -> bool {
        let mut state = lock(&self.state);
        let is_taken = self
            .share(&mut state, server, policy, now)
            .is_some_and(|cold| cold.bucket.take(cold.rate, now));
        if is_taken {
            self.cold_sends.fetch_add(1, Ordering::Relaxed);
        }
        is_taken
    }

    /// Returns whether a request may be written to `server` at this moment. A server may have become cold since it was chosen, and
    /// a token that was taken long ago, such as before connecting took long or the process was paused, is taken anew.
    pub(super) fn may_write(
        &self,
        server: &BackendServer,
        policy: Option<&ColdPolicy>,
        permit: SendPermit,
    ) -> bool {
        let evacuations = self.catalog.evacuations();
        let may_write = !evacuations.is_evacuated(&server.entry.data_centre)
            && policy.is_none_or(|policy| {
                let now = BootInstant::now();
                let status = self.loads.statuses(std::slice::from_ref(server), now);
                let cold = status.first().and_then(|status| {
                    self.cold_left(server, &status.warmth, policy, &evacuations, now)
                });
                let has_permit = match permit {
                    SendPermit::Token(at) => now.since(at) <= TOKEN_TIME,
                    SendPermit::Warm => false,
                };
                cold.is_none() || has_permit || self.take_token(server, policy, now)
            });
        if !may_write {
            self.stopped_sends.fetch_add(1, Ordering::Relaxed);
        }
        may_write
    }

    /// Returns whether `server` may be asked what runs there. Nothing is sent to an evacuated data centre but what is needed to pass
    /// on an answer that a server there has given. Questions are no requests, so cold servers may be asked.
    pub(super) fn may_ask(&self, server: &BackendServer) -> bool {
        let evacuations = self.catalog.evacuations();
        !evacuations.is_evacuated(&server.entry.data_centre)
    }

    /// Returns the number of known cold servers.
    pub(super) fn cold_count(&self) -> usize {
        let state = lock(&self.state);
        state.servers.iter().filter(|known| known.is_cold).count()
    }

    /// Returns the names of the cold servers with the time since each was found cold, sorted by name.
    pub(super) fn cold_servers(&self, now: BootInstant) -> Vec<(String, Duration)> {
        let state = lock(&self.state);
        let servers = state.servers.iter().filter(|known| known.is_cold);
        servers
            .map(|cold| (cold.id.clone(), now.since(cold.since)))
            .collect()
    }

    /// Returns the numbers of requests that were sent to cold servers, and of those that were stopped after their server was
    /// chosen.
    pub(super) fn send_counts(&self) -> (u64, u64) {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (count(&self.cold_sends), count(&self.stopped_sends))
    }

    /// Returns the names of the gateways that were listed lately, sorted, with their version, if that is not `known`.
    pub(super) fn gateways_since(&self, known: u64) -> Option<(u64, Vec<String>)> {
        let state = lock(&self.state);
        (state.names_version != known).then(|| (state.names_version, state.names.clone()))
    }

    /// Takes note of the servers that have become cold or warm; called some times a second.
    pub(super) fn update(&self, now: BootInstant) {
        let evacuations = self.catalog.evacuations();
        let (servers, _) = self.catalog.servers();
        let statuses = self.loads.statuses(&servers, now);
        let configuration = self.catalog.configuration();
        let mut state = lock(&self.state);
        state.news_at = Some(now);
        self.update_names(&mut state, now);
        let mut cold = Vec::new();
        for (server, status) in servers.iter().zip(statuses) {
            let service = configuration
                .as_ref()
                .and_then(|configuration| configuration.service(&server.entry.service));
            let Some(policy) = self.policy(service) else {
                continue;
            };
            let left = self.cold_left(server, &status.warmth, &policy, &evacuations, now);
            if left.is_some() {
                cold.push((server.id.as_str(), server.entry.start_time_ms));
                self.share(&mut state, server, &policy, now);
            }
        }
        state.servers.retain_mut(|known| {
            let is_cold = cold
                .binary_search(&(known.id.as_str(), known.start_time_ms))
                .is_ok();
            if known.is_cold && !is_cold {
                info!(self.logs.log(), "server warm"; "server" => &known.id,
                    "cold_ms" => now.since(known.since).as_millis() as u64);
            }
            known.is_cold = is_cold;
            is_cold || !known.bucket.has_token(known.rate, false, now)
        });
    }

    /// Returns this gateway's share of the cold `server`; `None` if it is no sender, or does not know the other gateways well enough
    /// to tell.
    fn share<'a>(
        &self,
        state: &'a mut State,
        server: &BackendServer,
        policy: &ColdPolicy,
        now: BootInstant,
    ) -> Option<&'a mut ColdServer> {
        self.update_names(state, now);
        let start_time_ms = server.entry.start_time_ms;
        let index = state
            .servers
            .binary_search_by(|cold| cold.id.as_str().cmp(&server.id));
        let index = match index {
            Ok(index) if state.servers[index].start_time_ms == start_time_ms => index,
            found => {
                let index = found.unwrap_or_else(|index| index);
                if found.is_ok() {
                    state.servers.remove(index);
                }
                let cold = ColdServer {
                    id: server.id.clone(),
                    start_time_ms,
                    since: now,
                    is_cold: false,
                    bucket: SendBucket::default(),
                    names_version: 0,
                    is_sender: false,
                    rate: 0.0,
                };
                state.servers.insert(index, cold);
                index
            }
        };
        let (names, names_version) = (&state.names, state.names_version);
        let cold = &mut state.servers[index];
        if cold.names_version != names_version {
            let share = sender_share(policy.max_per_second, names.len());
            let key = hash(&[server.id.as_bytes(), &start_time_ms.to_le_bytes()]);
            cold.names_version = names_version;
            cold.rate = share.rate;
            cold.is_sender = is_sender(&self.own_name, names, &key.to_le_bytes(), share.senders);
        }
        if !cold.is_cold {
            cold.is_cold = true;
            cold.since = now;
            info!(self.logs.log(), "server cold"; "server" => &cold.id, "is_sender" => cold.is_sender,
                "rate" => cold.rate);
        }
        let term = ShareTerm {
            started_at: self.started_at,
            news_at: state.news_at,
            config_age: self.catalog.config_age(now),
        };
        (cold.is_sender && term.holds(now)).then_some(cold)
    }

    /// Takes over the names on the node list, if it has changed.
    fn update_names(&self, state: &mut State, now: BootInstant) {
        let Some(nodes) = self.node_names.get() else {
            return;
        };
        let version = nodes.version();
        let has_changed = state.list_version != Some(version);
        if has_changed {
            state.nodes.record(&nodes.names(), now);
            state.list_version = Some(version);
        }
        if state.nodes.expire(now) || has_changed {
            let names = state.nodes.names();
            if names != state.names {
                state.names = names;
                state.names_version += 1;
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
