//! The newest configuration and server list, with the moments that prove how old they are.

use super::config::Configuration;
use super::follow::Position;
use super::roster::BackendServer;
use super::roster::Roster;
use super::roster::ServerRecord;
use crate::clock::Moment;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// How long catalog hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CatalogBounds {
    /// Age of the newest proof up to which a key may be believed; nothing where keys are never taken back at once.
    pub max_key_verification_age: Option<Duration>,
    /// Time after the list's return within which entries that it lost may come back.
    pub list_grace: Duration,
    /// Silence of the list after which entries may have lapsed on their own.
    pub max_list_gap: Duration,
}

/// What became of a configuration that was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigChange {
    /// It is now in force.
    Applied,
    /// It is the version in force, or older than it.
    Kept,
}

impl ConfigChange {
    /// Names it as it stands in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Applied => "applied",
            Self::Kept => "kept",
        }
    }
}

#[derive(Debug)]
struct State {
    bounds: CatalogBounds,
    configuration: Option<Arc<Configuration>>,
    config_verified_at: Option<Moment>,
    config_position: Option<Position>,
    servers_position: Option<Position>,
    roster: Roster,
    servers: Arc<Vec<BackendServer>>,
    /// Those and the ones that are leaving, sorted by name.
    listed: Arc<Vec<BackendServer>>,
    /// The same by service, sorted by its name.
    by_service: Vec<(String, Arc<Vec<BackendServer>>)>,
    servers_version: u64,
    list_read_at: Option<Moment>,
    is_config_failing: bool,
    is_list_failing: bool,
    grace_until: Option<Moment>,
}

/// What the gateway believes, shared by all its tasks.
#[derive(Debug)]
pub struct Catalog {
    state: Mutex<State>,
}

impl Catalog {
    /// Starts without any knowledge.
    pub fn new(bounds: CatalogBounds) -> Self {
        Self {
            state: Mutex::new(State::new(bounds)),
        }
    }

    /// Judges by other bounds from now on.
    pub fn set_bounds(&self, bounds: CatalogBounds) {
        self.lock().bounds = bounds;
    }

    /// Takes in a configuration; versions only go forward.
    pub fn apply_config(&self, configuration: Configuration) -> ConfigChange {
        let mut state = self.lock();
        let known = state.configuration.as_ref().map(|known| known.version());
        if known.is_some_and(|known| known >= configuration.version()) {
            return ConfigChange::Kept;
        }
        state.configuration = Some(Arc::new(configuration));
        ConfigChange::Applied
    }

    /// Notes that a read which began at `began` showed nothing newer than what is known now.
    pub fn record_config_verified(&self, began: Moment) {
        let mut state = self.lock();
        state.config_verified_at = state.config_verified_at.max(Some(began));
    }

    /// Tells how far the configuration's source has been read.
    pub fn config_position(&self) -> Option<Position> {
        self.lock().config_position
    }

    /// Notes how far the configuration's source has been read, here or by the node that told of it.
    pub fn record_config_position(&self, position: Position) {
        let mut state = self.lock();
        state.config_position = state.config_position.max(Some(position));
    }

    /// Notes whether the last read of the configuration failed.
    pub fn set_config_failing(&self, is_lost: bool) {
        self.lock().is_config_failing = is_lost;
    }

    /// Notes whether the last read of the server list failed.
    pub fn set_list_failing(&self, is_lost: bool) {
        self.lock().is_list_failing = is_lost;
    }

    /// Tells whether this node's own reads fail at present.
    pub fn is_disconnected(&self) -> bool {
        let state = self.lock();
        state.is_config_failing || state.is_list_failing
    }

    /// Tells how far the server list has been read.
    pub fn servers_position(&self) -> Option<Position> {
        self.lock().servers_position
    }

    /// Notes how far the server list has been read, here or by the node that told of it.
    pub fn record_servers_position(&self, position: Position) {
        let mut state = self.lock();
        state.servers_position = state.servers_position.max(Some(position));
    }

    /// Gives the configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.lock().configuration.clone()
    }

    /// Gives the age of the newest proof that the configuration is current.
    pub fn config_age(&self, now: Moment) -> Option<Duration> {
        self.lock().config_age(now)
    }

    /// Tells whether keys may be believed now.
    pub fn are_keys_verified(&self, now: Moment) -> bool {
        let state = self.lock();
        state
            .bounds
            .max_key_verification_age
            .is_none_or(|limit| state.config_age(now).is_some_and(|age| age < limit))
    }

    /// Notes a good read of the list that began at `began`, before its records are applied.
    ///
    /// After a silence the list may have lost entries of servers that live on, so removals wait for a while.
    pub fn record_list_read(&self, began: Moment) {
        let mut state = self.lock();
        let bounds = state.bounds;
        let silence = state.list_read_at.map(|last| began.since(last));
        if silence.is_some_and(|silence| silence > bounds.max_list_gap) {
            state.grace_until = Some(Moment::now().plus(bounds.list_grace));
        }
        state.list_read_at = Some(began);
    }

    /// Takes in records of the server list; returns the names whose standing changed.
    pub fn apply_servers(&self, records: Vec<(String, ServerRecord)>, now: Moment) -> Vec<String> {
        let mut state = self.lock();
        let grace = state.grace_until.filter(|until| *until > now);
        let mut changed = Vec::new();
        for (id, record) in records {
            if state.roster.apply(&id, record, grace) {
                changed.push(id);
            }
        }
        state.settle(now, changed)
    }

    /// Takes in the names of a whole list, sorted: what it lacks has been taken off.
    pub fn apply_whole_list(&self, names: &[String], now: Moment) -> Vec<String> {
        let mut state = self.lock();
        let grace = state.grace_until.filter(|until| *until > now);
        let lost = state.roster.keep_only(names, grace);
        state.settle(now, lost)
    }

    /// Takes in what another node knew of the list at `read`: the whole of it, or that it hasn't changed.
    ///
    /// What this node read later itself holds. Returns the names whose standing changed.
    pub fn apply_peer_servers(
        &self,
        servers: Option<Vec<BackendServer>>,
        read: Moment,
    ) -> Vec<String> {
        if self.lock().list_read_at.is_some_and(|last| last > read) {
            return Vec::new();
        }
        self.record_list_read(read);
        let now = Moment::now();
        let Some(servers) = servers else {
            return self.expire_servers(now);
        };
        let mut names: Vec<String> = servers.iter().map(|server| server.id.clone()).collect();
        names.sort();
        let records = servers
            .into_iter()
            .map(|server| (server.id, ServerRecord::Report(server.entry)));
        let mut changed = self.apply_servers(records.collect(), now);
        // The teller has kept what may come back; what it left out is leaving or gone.
        let mut state = self.lock();
        let lost = state.roster.keep_only(&names, None);
        changed.extend(state.settle(now, lost));
        changed
    }

    /// Lets go of servers that did not come back in time; returns their names.
    pub fn expire_servers(&self, now: Moment) -> Vec<String> {
        self.lock().settle(now, Vec::new())
    }

    /// Gives the servers that may get new work, and the version of that list.
    pub fn servers(&self) -> (Arc<Vec<BackendServer>>, u64) {
        let state = self.lock();
        (Arc::clone(&state.servers), state.servers_version)
    }

    /// Gives those and the ones that are leaving, and the version of that list.
    pub fn listed(&self) -> (Arc<Vec<BackendServer>>, u64) {
        let state = self.lock();
        (Arc::clone(&state.listed), state.servers_version)
    }

    /// Gives the servers of one service, leaving ones among them, sorted by name, and the version of the list.
    pub fn servers_of(&self, service: &str) -> (Arc<Vec<BackendServer>>, u64) {
        let state = self.lock();
        let at = state
            .by_service
            .binary_search_by(|(name, _)| name.as_str().cmp(service));
        let servers = at.map(|at| Arc::clone(&state.by_service[at].1));
        (servers.unwrap_or_default(), state.servers_version)
    }

    /// Tells whether `id`, at the incarnation started at `start_time_ms`, may still get new work.
    pub fn is_usable(&self, id: &str, start_time_ms: u64) -> bool {
        let state = self.lock();
        let found = state
            .servers
            .binary_search_by(|server| server.id.as_str().cmp(id));
        found.is_ok_and(|at| state.servers[at].entry.start_time_ms == start_time_ms)
    }

    /// Gives the time since the newest good read of the server list began.
    pub fn list_age(&self, now: Moment) -> Option<Duration> {
        self.lock().list_read_at.map(|read| now.since(read))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn new(bounds: CatalogBounds) -> Self {
        Self {
            bounds,
            configuration: None,
            config_verified_at: None,
            config_position: None,
            servers_position: None,
            roster: Roster::default(),
            servers: Arc::default(),
            listed: Arc::default(),
            by_service: Vec::new(),
            servers_version: 0,
            list_read_at: None,
            is_config_failing: false,
            is_list_failing: false,
            grace_until: None,
        }
    }

    fn config_age(&self, now: Moment) -> Option<Duration> {
        self.config_verified_at.map(|proof| now.since(proof))
    }

    fn settle(&mut self, now: Moment, mut changed: Vec<String>) -> Vec<String> {
        changed.extend(self.roster.expire(now));
        if !changed.is_empty() {
            let listed = self.roster.listed();
            let usable = listed.iter().filter(|server| !server.entry.is_draining);
            self.servers = Arc::new(usable.cloned().collect());
            self.by_service = by_service(&listed);
            self.listed = Arc::new(listed);
            self.servers_version += 1;
        }
        changed
    }
}

fn by_service(servers: &[BackendServer]) -> Vec<(String, Arc<Vec<BackendServer>>)> {
    let mut names: Vec<&String> = servers.iter().map(|server| &server.entry.service).collect();
    names.sort();
    names.dedup();
    let of = |name: &String| {
        servers
            .iter()
            .filter(|server| server.entry.service == *name)
            .cloned()
            .collect()
    };
    names
        .into_iter()
        .map(|name| (name.clone(), Arc::new(of(name))))
        .collect()
}
