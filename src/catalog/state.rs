//! The newest known configuration and server list, and the times at which they were last verified as current.

use super::config::Configuration;
use super::evacuation::EvacuationChange;
use super::evacuation::EvacuationRead;
use super::evacuation::Evacuations;
use super::follow::Position;
use super::follow::ServerRead;
use super::read::ConfigSnapshot;
use super::read::ListChange;
use super::read::ListRead;
use super::read::ListSnapshot;
use super::read::PeerList;
use super::roster::BackendServer;
use super::roster::ReportStatus;
use super::roster::Roster;
use super::roster::ServerRecord;
use super::version_history::OnlyVersion;
use super::version_history::SeenVersion;
use super::version_history::VersionHistory;
use crate::clock::BootInstant;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Limits on how long data of the catalog may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CatalogBounds {
    /// Time since the configuration was last verified as current up to which callers' keys are accepted; `None` if the
    /// revocation of a key need not take effect within a bound.
    pub max_key_verification_age: Option<Duration>,
    /// Time since the configuration was last verified as current up to which a route or key that it lacks is denied for
    /// good; an older configuration may merely not have it yet.
    pub max_denial_age: Duration,
    /// Time after the list becomes readable again during which servers that are missing from it stay usable, so that
    /// they can report again.
    pub list_grace: Duration,
    /// Time between two successful reads of the list beyond which entries may have expired merely because servers could
    /// not renew them.
    pub max_list_gap: Duration,
}

/// Longest time between two lists for which it is taken for granted that no server came and went between them.
const MAX_UNSEEN_TIME: Duration = Duration::from_secs(1);

/// Result of applying a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigChange {
    /// The configuration is now in force.
    Applied,
    /// The configuration in force was kept, since its version is the same or newer.
    Kept,
}

impl ConfigChange {
    /// Returns the name used in log lines.
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
    /// Start of the last read that showed the configuration in force to be current.
    config_verified_at: Option<BootInstant>,
    /// Position up to which the configuration source has been read.
    config_position: Option<Position>,
    /// Position up to which the server list has been read, by this node or by a peer.
    servers_position: Option<Position>,
    evacuations: Arc<Evacuations>,
    roster: Roster,
    /// Servers that may get new work, sorted by name.
    servers: Arc<Vec<BackendServer>>,
    /// All listed servers, draining ones included, sorted by name.
    listed: Arc<Vec<BackendServer>>,
    /// The listed servers grouped by service; groups and their servers are sorted by name.
    by_service: Vec<(String, Arc<Vec<BackendServer>>)>,
    /// Counts the changes of the server lists above.
    servers_version: u64,
    /// Software versions on the list, now and before.
    version_history: VersionHistory,
    /// Start of the last successful read of the server list, by this node or by a peer.
    list_read_at: Option<BootInstant>,
    /// Until when servers may be listed that no read has returned yet, after a read of a part of the list.
    partial_until: Option<BootInstant>,
    /// Since when the list has been read without a gap in which entries may have outlived their processes.
    steady_since: Option<BootInstant>,
    /// Number of this node's own successful reads of the server list.
    own_list_reads: u64,
    /// Number of lists taken over from peers, changed or not.
    peer_lists: u64,
    /// Whether the last list was a peer's.
    is_peer_list: bool,
    /// Whether this node's reads of the configuration are failing.
    is_config_failing: bool,
    /// Whether this node's reads of the server list are failing.
    is_list_failing: bool,
    /// End of the period in which removed servers stay usable, after a gap in the reads of the list.
    grace_until: Option<BootInstant>,
}

/// A gateway's local copy of configuration and server list, shared by all its tasks.
#[derive(Debug)]
pub struct Catalog {
    state: Mutex<State>,
}

impl Catalog {
    /// Creates a catalog without a configuration and without servers.
    pub fn new(bounds: CatalogBounds) -> Self {
        Self {
            state: Mutex::new(State::new(bounds)),
        }
    }

    /// Replaces the bounds, with immediate effect.
    pub fn set_bounds(&self, bounds: CatalogBounds) {
        self.lock().bounds = bounds;
    }

    /// Applies a configuration if its version is newer than the one in force.
    pub fn apply_config(&self, configuration: Configuration) -> ConfigChange {
        let mut state = self.lock();
        let known = state.configuration.as_ref().map(|known| known.version());
        if known.is_some_and(|known| known >= configuration.version()) {
            return ConfigChange::Kept;
        }
        state.configuration = Some(Arc::new(configuration));
        ConfigChange::Applied
    }

    /// Records that a read begun at `began` found nothing newer than the configuration in force.
    pub fn record_config_verified(&self, began: BootInstant) {
        let mut state = self.lock();
        state.config_verified_at = state.config_verified_at.max(Some(began));
    }

    /// Returns the position up to which the configuration source has been read.
    pub fn config_position(&self) -> Option<Position> {
        self.lock().config_position
    }

    /// Records the position up to which the configuration source has been read. Positions never go back.
    pub fn record_config_position(&self, position: Position) {
        let mut state = self.lock();
        state.config_position = state.config_position.max(Some(position));
    }

    /// Applies what the configuration source, read up to `position`, says of evacuations of data centres.
    pub fn apply_evacuations(
        &self,
        read: EvacuationRead,
        position: Position,
        now: BootInstant,
    ) -> EvacuationChange {
        let mut state = self.lock();
        let mut evacuations = Evacuations::clone(&state.evacuations);
        let change = evacuations.apply(read, position, now);
        state.evacuations = Arc::new(evacuations);
        change
    }

    /// Returns the known evacuations of data centres.
    pub fn evacuations(&self) -> Arc<Evacuations> {
        Arc::clone(&self.lock().evacuations)
    }

    /// Sets whether this node's reads of the configuration are failing.
    pub fn set_config_failing(&self, is_failing: bool) {
        self.lock().is_config_failing = is_failing;
    }

    /// Sets whether this node's reads of the server list are failing.
    pub fn set_list_failing(&self, is_failing: bool) {
        self.lock().is_list_failing = is_failing;
    }

    /// Returns whether this node's own reads of the configuration or the server list are failing.
    pub fn is_disconnected(&self) -> bool {
        let state = self.lock();
        state.is_config_failing || state.is_list_failing
    }

    /// Returns the position up to which the server list has been read.
    pub fn servers_position(&self) -> Option<Position> {
        self.lock().servers_position
    }

    /// Returns the configuration in force with its age and position, and the evacuations.
    pub fn config_snapshot(&self, now: BootInstant) -> ConfigSnapshot {
        let state = self.lock();
        ConfigSnapshot {
            configuration: state.configuration.clone(),
            age: state.config_age(now),
            position: state.config_position,
            evacuations: Arc::clone(&state.evacuations),
        }
    }

    /// Returns the configuration in force, or `None` before the first one.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.lock().configuration.clone()
    }

    /// Returns the time since the configuration was last verified as current, or `None` if it never was.
    pub fn config_age(&self, now: BootInstant) -> Option<Duration> {
        self.lock().config_age(now)
    }

    /// Returns whether the configuration was verified recently enough to accept callers' keys; always `true` where no
    /// bound is set.
    pub fn are_keys_verified(&self, now: BootInstant) -> bool {
        let state = self.lock();
        state
            .bounds
            .max_key_verification_age
            .is_none_or(|limit| state.config_age(now).is_some_and(|age| age < limit))
    }

    /// Returns whether the configuration was verified recently enough to deny a route or key that it lacks.
    pub fn may_deny(&self, now: BootInstant) -> bool {
        let state = self.lock();
        let age = state.config_age(now);
        age.is_some_and(|age| age < state.bounds.max_denial_age)
    }

    /// Applies this node's own read of the list at `now`; returns what it changed, or `None` if the list was taken over from a peer
    /// since the read began, so that its records may be older than what is known.
    ///
    /// After a long gap, entries of servers that still run may have expired, so removals take effect only after the grace period.
    pub fn apply_list_read(&self, read: ListRead, now: BootInstant) -> Option<ListChange> {
        let mut state = self.lock();
        if state.servers_position != read.from {
            return None;
        }
        let is_partial = matches!(read.records, ServerRead::Partial(_));
        let is_whole = matches!(read.records, ServerRead::Whole(_));
        let (ServerRead::Changes(records)
        | ServerRead::Whole(records)
        | ServerRead::Partial(records)) = read.records;
        let is_restored = read.from.is_some_and(|from| from.era < read.position.era);
        if is_restored {
            state.grace_until = Some(now.plus(state.bounds.list_grace));
        }
        state.own_list_reads += 1;
        state.is_peer_list = false;
        let unseen_limit = is_whole.then_some(MAX_UNSEEN_TIME);
        state.record_list_read(read.began, unseen_limit);
        if is_partial {
            state.record_partial(read.began);
        } else if is_whole || state.partial_until.is_some_and(|until| until <= read.began) {
            state.partial_until = None;
        }
        state.servers_position = read.from.max(Some(read.position));
        let grace = state.grace_until.filter(|until| *until > now);
        let read_at = state.list_read_at.unwrap_or(now);
        let mut names: Vec<String> = records.iter().map(|(id, _)| id.clone()).collect();
        let mut changed = Vec::new();
        for (id, record) in records {
            if let ServerRecord::Report(entry) = &record {
                state.version_history.record_report(entry, now);
            }
            if state.roster.apply(&id, record, grace, read_at) {
                changed.push(id);
            }
        }
        if is_whole {
            names.sort();
            changed.extend(state.roster.keep_only(&names, grace));
        }
        Some(ListChange {
            servers: state.refresh_lists(now, changed, &[]),
            is_restored,
        })
    }

    /// Returns the number of this node's own successful reads of the server list. While it is the same, the servers are
    /// those of the last list that a peer sent.
    pub fn own_list_reads(&self) -> u64 {
        self.lock().own_list_reads
    }

    /// Returns which series of this node's own reads the list comes from, or `None` if it is a peer's. Within a series a report
    /// that has not changed is the server's newest as of the last read. A peer's list has no new stamp when only sequence
    /// numbers change, so its reports may be older than its read.
    pub fn own_read_series(&self) -> Option<u64> {
        let state = self.lock();
        (!state.is_peer_list).then_some(state.peer_lists)
    }

    /// Returns whether the record of server `id` is known to be unusable for `cause`.
    pub fn is_known_unusable(&self, id: &str, cause: &str) -> bool {
        self.lock().roster.unusable_cause(id) == Some(cause)
    }

    /// Returns the number of servers whose newest record cannot be used.
    pub fn unusable_count(&self) -> usize {
        self.lock().roster.unusable_count()
    }

    /// Applies the server list of a peer.
    ///
    /// Returns the names of the servers that changed, or `None` if the list is older than the last read recorded here
    /// and was ignored.
    pub fn apply_peer_list(&self, list: PeerList) -> Option<Vec<String>> {
        let mut state = self.lock();
        let read_at = list.read_at;
        if state.list_read_at.is_some_and(|last| last > read_at) {
            return None;
        }
        // A read that began earlier and took longer may have seen more.
        if list.position.is_some() && list.position < state.servers_position {
            state.list_read_at = Some(read_at);
            return None;
        }
        // The peer has seen all that came and went since the last list here.
        let is_seen = list.history.as_ref().is_some_and(|history| {
            state
                .list_read_at
                .is_some_and(|last| history.known_since <= last)
        });
        let may_have_unseen = list.servers.is_some() && !is_seen;
        state.record_list_read(read_at, may_have_unseen.then_some(MAX_UNSEEN_TIME));
        state.peer_lists += 1;
        state.is_peer_list = true;
        if list.position.is_some() {
            state.servers_position = list.position;
        }
        state.partial_until = None;
        let now = BootInstant::now();
        let told = list.history.map_or_else(Vec::new, |history| {
            let known = (history.known_since, read_at);
            let versions = history.versions.clone();
            state.version_history.adopt(known, versions, now);
            // Without the time before, a version may have been listed later than the peer knows.
            if is_seen {
                history.versions
            } else {
                Vec::new()
            }
        });
        let mut changed = Vec::new();
        if let Some(servers) = list.servers {
            let mut names = Vec::new();
            for peer in servers {
                let id = peer.server.id.clone();
                if peer.server.entry.check(&id).is_err() {
                    continue;
                }
                state.version_history.record_report(&peer.server.entry, now);
                if state.roster.apply_peer_server(peer, read_at) {
                    changed.push(id.clone());
                }
                names.push(id);
            }
            names.sort();
            // The peer's list still contains servers in their grace period, so a server missing from it is removed at
            // once.
            changed.extend(state.roster.keep_only(&names, None));
        }
        Some(state.refresh_lists(now, changed, &told))
    }

    /// Returns the list with its age, position and history.
    pub fn list_snapshot(&self) -> ListSnapshot {
        let state = self.lock();
        ListSnapshot {
            servers: Arc::clone(&state.listed),
            version: state.servers_version,
            read_at: state.list_read_at.filter(|_| state.partial_until.is_none()),
            position: state.servers_position,
            grace_ends: state.roster.grace_ends(),
            history: state.version_history.clone(),
        }
    }

    /// Removes the servers whose grace period is over; returns their names.
    pub fn expire_servers(&self, now: BootInstant) -> Vec<String> {
        self.lock().refresh_lists(now, Vec::new(), &[])
    }

    /// Returns the servers that may get new work, sorted by name, and the version of the list.
    pub fn servers(&self) -> (Arc<Vec<BackendServer>>, u64) {
        let state = self.lock();
        (Arc::clone(&state.servers), state.servers_version)
    }

    /// Returns all listed servers, draining ones included, sorted by name, and the version of the list.
    pub fn listed(&self) -> (Arc<Vec<BackendServer>>, u64) {
        let state = self.lock();
        (Arc::clone(&state.listed), state.servers_version)
    }

    /// Returns the listed servers of one service, draining ones included, sorted by name, and the version of the list.
    pub fn servers_of(&self, service: &str) -> (Arc<Vec<BackendServer>>, u64) {
        let state = self.lock();
        let index = state
            .by_service
            .binary_search_by(|(name, _)| name.as_str().cmp(service));
        let servers = index.map(|index| Arc::clone(&state.by_service[index].1));
        (servers.unwrap_or_default(), state.servers_version)
    }

    /// Returns the services on the list with their servers, draining ones included, sorted by name.
    pub fn by_service(&self) -> Vec<(String, Arc<Vec<BackendServer>>)> {
        self.lock().by_service.clone()
    }

    /// Returns the software version of all servers of `service` at which a stream may have begun since `since`, as
    /// [`VersionHistory::only_version`] does, and the start of the last read of the list; `None` unless the list was read, here or at
    /// the peer that sent it, in a call that began at `read_since` or later. It then has all servers at which requests can have begun
    /// before.
    pub fn only_version(
        &self,
        service: &str,
        since: BootInstant,
        read_since: BootInstant,
    ) -> Option<(OnlyVersion, BootInstant)> {
        let state = self.lock();
        let read_at = state
            .list_read_at
            .filter(|read_at| *read_at >= read_since)?;
        let only = state.version_history.only_version(service, since)?;
        Some((only, read_at))
    }

    /// Returns whether streams may have begun at servers of `service` of several software versions since `since`.
    pub fn has_several_versions(&self, service: &str, since: BootInstant) -> bool {
        let state = self.lock();
        state.version_history.has_several_versions(service, since)
    }

    /// Returns the software versions on the list, now and before.
    pub fn version_history(&self) -> VersionHistory {
        self.lock().version_history.clone()
    }

    /// Adds a peer's knowledge of earlier software versions, as in [`VersionHistory::adopt`].
    pub fn adopt_version_history(
        &self,
        known: (BootInstant, BootInstant),
        versions: Vec<SeenVersion>,
    ) {
        let now = BootInstant::now();
        let mut state = self.lock();
        state.version_history.adopt(known, versions, now);
    }

    /// Returns whether the incarnation of server `id` that started at `start_time_ms` may still get new work.
    pub fn is_usable(&self, id: &str, start_time_ms: u64) -> bool {
        let state = self.lock();
        let found = state
            .servers
            .binary_search_by(|server| server.id.as_str().cmp(id));
        found.is_ok_and(|index| state.servers[index].entry.start_time_ms == start_time_ms)
    }

    /// Returns what is known of the newest report of server `id`.
    pub fn report_of(&self, id: &str) -> Option<ReportStatus> {
        self.lock().roster.report_of(id)
    }

    /// Returns whether `server` is not, or may not be, the process that the newest report of its name tells of.
    pub fn may_be_replaced(&self, server: &BackendServer) -> bool {
        let state = self.lock();
        let report = state.roster.report_of(&server.id);
        let is_other =
            report.is_some_and(|report| report.start_time_ms != server.entry.start_time_ms);
        is_other || state.roster.has_earlier(&server.id)
    }

    /// Returns the time such that a process which answered for a listed server before it, and still does, is the one that the
    /// server's entry tells of: had another one started by then, it would have reported. `None` if the list has not been followed for
    /// long enough.
    pub fn processes_known_at(&self) -> Option<BootInstant> {
        let state = self.lock();
        // The entry of a process that has ended is removed by then.
        let at = state.list_read_at?.before(state.bounds.max_list_gap * 2);
        state.steady_since.filter(|since| *since <= at)?;
        Some(at)
    }

    /// Returns the time since the last successful read of the server list began, or `None` if there was none. The read
    /// may be this node's own or that of a peer whose list was applied.
    pub fn list_age(&self, now: BootInstant) -> Option<Duration> {
        self.lock().list_read_at.map(|read| now.since(read))
    }

    /// Returns whether the server list was read, here or at the peer that sent it, in a call that began at `at` or later.
    pub fn has_read_list_since(&self, at: BootInstant) -> bool {
        self.lock().list_read_at.is_some_and(|read| read >= at)
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
            evacuations: Arc::default(),
            roster: Roster::default(),
            servers: Arc::default(),
            listed: Arc::default(),
            by_service: Vec::new(),
            servers_version: 0,
            version_history: VersionHistory::default(),
            list_read_at: None,
            partial_until: None,
            steady_since: None,
            own_list_reads: 0,
            peer_lists: 0,
            is_peer_list: false,
            is_config_failing: false,
            is_list_failing: false,
            grace_until: None,
        }
    }

    fn config_age(&self, now: BootInstant) -> Option<Duration> {
        self.config_verified_at.map(|at| now.since(at))
    }

    /// Records a successful read of the list, by this node or a peer, that began at `began`. Unless `unseen_limit` is `None`, it does
    /// not tell what came and went since the last one, so the history starts again after a longer time.
    fn record_list_read(&mut self, began: BootInstant, unseen_limit: Option<Duration>) {
        let bounds = self.bounds;
        let gap = self.list_read_at.map(|last| began.since(last));
        let is_long = |gap| gap > bounds.max_list_gap;
        if gap.is_some_and(is_long) {
            self.grace_until = Some(BootInstant::now().plus(bounds.list_grace));
        }
        if gap.is_none_or(is_long) {
            self.steady_since = Some(began);
        }
        let has_unseen = |gap| unseen_limit.is_some_and(|limit| gap > limit);
        if gap.is_none_or(has_unseen) {
            self.version_history.restart(began);
        }
        self.list_read_at = self.list_read_at.max(Some(began));
    }

    /// Records that a read that began at `began` returned only a part of the list. A server that it lacks has reported by the time at
    /// which its entry would otherwise be removed, and the changes since the read tell of that.
    fn record_partial(&mut self, began: BootInstant) {
        let until = began.plus(self.bounds.max_list_gap * 2);
        self.partial_until = Some(until);
        self.steady_since = Some(until);
        self.version_history.restart(until);
    }

    /// Removes servers whose grace period is over and, if any server changed, rebuilds the lists and raises their
    /// version; returns the names of all changed servers. `told` says when versions have left.
    fn refresh_lists(
        &mut self,
        now: BootInstant,
        mut changed: Vec<String>,
        told: &[SeenVersion],
    ) -> Vec<String> {
        changed.extend(self.roster.expire(now));
        if let Some(read_at) = self.list_read_at {
            // The entry of a process that has ended is removed by then.
            let max_age = self.bounds.max_list_gap * 2;
            changed.extend(self.roster.accept_earlier(read_at, max_age));
        }
        if !changed.is_empty() {
            let listed = self.roster.listed();
            self.version_history.record_list(&listed, told, now);
            let usable = listed.iter().filter(|server| !server.entry.is_draining);
            self.servers = Arc::new(usable.cloned().collect());
            self.by_service = group_by_service(&listed);
            self.listed = Arc::new(listed);
            self.servers_version += 1;
        }
        changed
    }
}

fn group_by_service(servers: &[BackendServer]) -> Vec<(String, Arc<Vec<BackendServer>>)> {
    let mut names: Vec<&String> = servers.iter().map(|server| &server.entry.service).collect();
    names.sort();
    names.dedup();
    let servers_of = |name: &String| {
        servers
            .iter()
            .filter(|server| server.entry.service == *name)
            .cloned()
            .collect()
    };
    names
        .into_iter()
        .map(|name| (name.clone(), Arc::new(servers_of(name))))
        .collect()
}
