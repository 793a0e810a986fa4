//! Synchronization of this gateway, called a node here, with the other ones.
//!
//! One node of each data centre is its relay: it reads the store for all nodes there, sums their loads, and exchanges
//! these sums with the relays of the other data centres. The other nodes of the data centre sync from it.

use super::cut_off::CutOffTable;
use super::directory::DirectoryChange;
use super::directory::NodeDirectory;
use super::directory::NodeEntry;
use super::directory_sync;
use super::directory_sync::DIRECTORY_TIMEOUT;
use super::exchange;
use super::heavy_teams::ServiceTeams;
use super::heavy_teams::group_heavy_teams;
use super::link::Link;
use super::load_entry::LoadEntry;
use super::load_entry::TeamRequests;
use super::load_table::LoadTable;
use super::load_table::aged;
use super::load_table::subtract_own;
use super::load_table::sum_loads;
use super::message::EVACUATIONS_PROTOCOL;
use super::message::PROTOCOL;
use super::message::Role;
use super::message::Stamp;
use super::message::SyncRequest;
use super::message::SyncResponse;
use super::message::unpack;
use super::mute_nodes::MuteNodes;
use super::node_list::NodeList;
use super::pack_cache::PackCache;
use super::serve;
use super::server_list::ReceivedList;
use super::server_list::SyncedList;
use super::stream_archive;
use super::stream_archive::StreamArchive;
use super::stream_push::Holder;
use super::stream_push::Pusher;
use super::streams::StreamDirectory;
use super::streams::StreamTable;
use super::sync;
use super::team_table::TeamTable;
use super::tunnel::DirectPaths;
use super::tunnel_table::TunnelTable;
use crate::catalog::Catalog;
use crate::catalog::Configuration;
use crate::catalog::Duties;
use crate::catalog::EvacuationRead;
use crate::catalog::Position;
use crate::catalog::VERSION_MEMORY;
use crate::catalog::apply_evacuations;
use crate::clock::BootInstant;
use crate::decide::CapacityTable;
use crate::decide::PaceTable;
use crate::decide::Regions;
use crate::logs::Logs;
use crate::quarantine::Quarantine;
use bytes::Bytes;
use serde::de::DeserializeOwned;
use slog::info;
use slog::warn;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Maximum amount by which a relay's last verification of its configuration may be older than this node's own; beyond
/// it, the relay counts as disconnected from the store. It exceeds the time between two reads of the store plus the
/// time between two sync requests, so a healthy relay stays below it.
const MAX_VERIFICATION_LAG: Duration = Duration::from_millis(1_500);
/// Timeout for telling the relay that this node leaves; afterwards the node removes its entry itself.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(150);

/// Identity of this gateway, and the data centres to exchange loads with.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Directory entry of this gateway.
    pub own: NodeEntry,
    /// Names of all data centres, this gateway's own included.
    pub data_centres: Vec<String>,
    /// Regions of the data centres.
    pub regions: Regions,
    /// Time before this gateway looks for others in the directory.
    pub start_delay: Duration,
    /// Whether this gateway must learn of evacuations of data centres, of which peers of former protocols say nothing.
    pub needs_evacuations: bool,
}

/// Callback that returns this node's own loads, sorted by backend server name.
pub type OwnLoads = Arc<dyn Fn() -> Vec<LoadEntry> + Send + Sync>;
/// Callback that receives what is known of the loads of backend servers.
pub type OtherLoads = Arc<dyn Fn(FleetLoads) + Send + Sync>;

/// The gateways that a gateway knows.
pub trait NodeNames: Send + Sync {
    /// Returns the version of the list, which is raised at every change.
    fn version(&self) -> u64;

    /// Returns the names on the list, this gateway's own included, sorted.
    fn names(&self) -> Vec<String>;
}

impl NodeNames for Shared {
    fn version(&self) -> u64 {
        self.nodes.version()
    }

    fn names(&self) -> Vec<String> {
        let (nodes, _) = self.nodes.nodes();
        nodes.into_iter().map(|node| node.name).collect()
    }
}

/// Callback that returns the requests of teams that this node has received lately.
pub type OwnTeams = Arc<dyn Fn() -> Vec<TeamRequests> + Send + Sync>;

/// Loads of backend servers beside those of this node.
#[derive(Clone, Debug, Default)]
pub struct FleetLoads {
    /// Summed loads of all other nodes, sorted by server name.
    pub others: Vec<LoadEntry>,
    /// Servers that work slower than the others of their service, with the time that they take as a multiple of the others'
    /// time, sorted by name.
    pub slow: Vec<(String, f64)>,
    /// Teams with more than a fair share of a service, sorted by service.
    pub heavy: Vec<ServiceTeams>,
}

/// State shared by the tasks of [`Peers`].
pub(super) struct Shared {
    pub(super) own: NodeEntry,
    pub(super) catalog: Arc<Catalog>,
    pub(super) load_table: LoadTable,
    pub(super) team_table: TeamTable,
    pub(super) cut_off_table: CutOffTable,
    /// Heavy teams as this node decided while it was the relay.
    pub(super) heavy_teams: Mutex<Vec<ServiceTeams>>,
    pub(super) streams: StreamTable,
    /// Gateways that are neither told of streams nor asked for them for a while.
    pub(super) mute_nodes: MuteNodes,
    pub(super) tunnel_table: TunnelTable,
    /// Connects to backend servers for other gateways; unset until the gateway has started.
    pub(super) direct_paths: OnceLock<Arc<dyn DirectPaths>>,
    pub(super) quarantine: Arc<Quarantine>,
    pub(super) logs: Logs,
    pub(super) nodes: NodeList,
    /// Whether the directory has answered, or has not within its time, since the start.
    pub(super) has_asked_directory: watch::Sender<bool>,
    role: Mutex<Role>,
    packed_configuration: PackCache,
    /// The server list, by its version.
    pub(super) packed_servers: PackCache,
    /// Decides while this node is the relay which servers are slow.
    pub(super) paces: Mutex<PaceTable>,
    /// Learns while this node is the relay what servers take well.
    pub(super) capacities: Mutex<CapacityTable>,
    /// Data centre whose relay keeps copies of this data centre's records of streams; `None` if there is no other.
    pub(super) backup_centre: Option<String>,
    /// Regions of the data centres.
    pub(super) regions: Regions,
    /// Whether a peer that says nothing of evacuations does not prove the configuration to be current.
    pub(super) needs_evacuations: bool,
    /// What this node reads for others, for tasks outside of this module.
    pub(super) duties: Duties,
    pub(super) own_loads: OwnLoads,
    pub(super) own_teams: OwnTeams,
    pub(super) other_loads: OtherLoads,
}

impl Shared {
    /// Returns the stamp of a list of this process that has the given version.
    pub(super) fn stamp(&self, version: u64) -> Stamp {
        Stamp {
            start_time_ms: self.own.start_time_ms,
            version,
        }
    }

    /// Returns `configuration` packed; `None` if it cannot be encoded.
    pub(super) fn packed_configuration(&self, configuration: &Configuration) -> Option<Bytes> {
        let version = configuration.version();
        self.packed_configuration
            .get(version, || configuration, &self.logs)
    }

    /// Returns what this node does in its data centre.
    pub(super) fn role(&self) -> Role {
        lock(&self.role).clone()
    }

    /// Sets what this node does in its data centre and logs a change.
    pub(super) fn set_role(&self, role: Role) {
        let mut known = lock(&self.role);
        if *known == role {
            return;
        }
        self.duties.set_relay(role == Role::Relay);
        match &role {
            Role::Relay => info!(self.logs.log(), "relay role changed"; "part" => "relay"),
            Role::Member(source) => {
                info!(self.logs.log(), "relay role changed"; "part" => "member", "source" => source);
            }
            Role::Undecided(_) => {}
        }
        *known = role;
    }

    /// Records that a node that has had no role yet asks `source`.
    pub(super) fn start_asking(&self, source: &NodeEntry) {
        let mut known = lock(&self.role);
        if matches!(*known, Role::Undecided(_)) {
            *known = Role::Undecided(Some(source.name.clone()));
        }
    }

    /// Decodes `what` received from a peer; logs the cause and returns `None` if that fails.
    fn unpacked<T: DeserializeOwned>(&self, what: &str, bytes: &[u8]) -> Option<T> {
        unpack(bytes)
            .inspect_err(|cause| {
                warn!(self.logs.log(), "message of a peer is unusable"; "what" => what, "cause" => cause);
            })
            .ok()
    }

    /// Builds a sync request with the stamps of the lists received so far.
    ///
    /// `loads` are those of this node or, in an exchange of load sums ([`exchange_loads`]), those of this data centre.
    pub(super) fn sync_request(
        &self,
        loads: Vec<LoadEntry>,
        received: &ReceivedStamps,
    ) -> SyncRequest {
        SyncRequest {
            node: self.own.name.clone(),
            data_centre: self.own.data_centre.clone(),
            loads,
            // The caller sets this if it tells what teams ask for.
            teams: Vec::new(),
            // The caller sets this if it needs the full catalog state from a node of any data centre.
            is_disconnected: false,
            // The caller sets this if the receiver passes it on.
            cut_off: Vec::new(),
            config_version: self
                .catalog
                .configuration()
                .map(|configuration| configuration.version()),
            servers_stamp: received.servers.stamp(&self.catalog),
            nodes_stamp: received.nodes,
            // The caller sets this to the records that the receiver does not have yet.
            streams: Vec::new(),
            crash_records: Vec::new(),
            sightings: Vec::new(),
            next_crash_record: None,
            wants_version_history: self.wants_version_history(),
            protocol: PROTOCOL,
            // The caller sets this while the receiver's list lacks this node.
            entry: None,
            // The caller, a relay, sets this if the receiver reads the store for all data centres.
            wants_catalog: false,
            is_leaving: false,
        }
    }

    /// Returns whether this node has followed the server list for less than [`VERSION_MEMORY`].
    fn wants_version_history(&self) -> bool {
        let known_since = self.catalog.version_history().known_since();
        known_since.is_none_or(|at| BootInstant::now().since(at) < VERSION_MEMORY)
    }

    /// Adds the software versions that a peer has seen on the server list, according to its response to a request sent at
    /// `sent_at`.
    pub(super) fn apply_version_history(&self, response: &mut SyncResponse, sent_at: BootInstant) {
        if let Some(history) = response.version_history.take()
            && let Some(age_ms) = response.servers_age_ms
        {
            let (known_since, versions) = history.into_parts(BootInstant::now());
            let read_at = sent_at.before(Duration::from_millis(age_ms));
            self.catalog
                .adopt_version_history((known_since, read_at), versions);
        }
    }

    /// Returns whether the responding node cannot serve as a source since it has not verified the configuration, which this
    /// node has, or did so more than [`MAX_VERIFICATION_LAG`] earlier.
    pub(super) fn is_behind(&self, response: &SyncResponse) -> bool {
        let own_age = self.catalog.config_age(BootInstant::now());
        let peer_age = response.config_age_ms.map(Duration::from_millis);
        own_age.is_some_and(|own| peer_age.is_none_or(|peer| peer > own + MAX_VERIFICATION_LAG))
    }

    /// Applies the response to a request sent at `sent_at`, including the loads of all nodes other than this one.
    ///
    /// `own` are the loads sent with the request; `received` is updated with the stamps of the lists in the response.
    /// The peer computed the ages in the response after `sent_at`. They are subtracted from `sent_at`, so that data is
    /// never taken for newer than it is.
    pub(super) fn apply_response(
        &self,
        mut response: SyncResponse,
        sent_at: BootInstant,
        own: &[LoadEntry],
        received: &mut ReceivedStamps,
    ) {
        self.apply_catalog(&mut response, sent_at, received);
        self.apply_version_history(&mut response, sent_at);
        self.tunnel_table
            .record_cut_off(response.cut_off, BootInstant::now());
        let nodes = response.packed_nodes.as_deref();
        let nodes = nodes.and_then(|bytes| self.unpacked("node list", bytes));
        if let Some(nodes) = nodes.or(response.nodes) {
            self.nodes.apply(nodes);
            received.nodes = Some(response.nodes_stamp);
        }
        let all = match response.listed_loads {
            Some(loads) => match received.listed(response.servers_stamp) {
                Some(servers) => loads.into_entries(servers),
                None => return,
            },
            None => {
                let centres = response.centres.iter();
                sum_loads(centres.map(|centre| centre.loads.as_slice()))
            }
        };
        // The peer computed the ages after the request was sent, so they are never taken for less than they are.
        let all = aged(&all, BootInstant::now().since(sent_at));
        let slow = response.slow_servers.into_iter();
        (self.other_loads)(FleetLoads {
            others: subtract_own(all, own),
            slow: slow
                .map(|(server, milli)| (server, f64::from(milli) / 1_000.0))
                .collect(),
            heavy: group_heavy_teams(response.heavy_teams),
        });
    }

    /// Applies what the response says of evacuations: without a word of them there is none as of the peer's position.
    fn apply_evacuations(&self, response: &mut SyncResponse) {
        let position = |era, offset| Position { era, offset };
        let (centres, position) = match response.evacuations.take() {
            Some(known) => (known.data_centres, position(known.era, known.offset)),
            None => match response.config_position {
                Some(offset) => (Vec::new(), position(response.config_era, offset)),
                None => return,
            },
        };
        let read = EvacuationRead::Whole(centres);
        apply_evacuations(&self.catalog, &self.logs, read, position);
    }

    /// Applies what the response to a request sent at `sent_at` has of the store: the configuration and the server list.
    pub(super) fn apply_catalog(
        &self,
        response: &mut SyncResponse,
        sent_at: BootInstant,
        received: &mut ReceivedStamps,
    ) {
        let configuration = response.config.take();
        let configuration: Option<Configuration> =
            configuration.and_then(|bytes| self.unpacked("configuration", &bytes));
        if let Some(configuration) = configuration {
            let version = configuration.version();
            let change = self.catalog.apply_config(configuration);
            info!(self.logs.log(), "configuration received from peer"; "version" => version,
                "age_ms" => response.config_age_ms, "outcome" => change.as_str());
        }
        let known = self
            .catalog
            .configuration()
            .map(|configuration| configuration.version());
        // The peer verified its own version as current, so its verification and its position do not hold for an older
        // version here.
        let tells_evacuations = response.protocol >= EVACUATIONS_PROTOCOL;
        if tells_evacuations {
            self.apply_evacuations(response);
        }
        if known >= response.config_version
            && (tells_evacuations || !self.needs_evacuations)
            && let Some(age_ms) = response.config_age_ms
        {
            self.catalog
                .record_config_verified(sent_at.before(Duration::from_millis(age_ms)));
            if let Some(offset) = response.config_position {
                let era = response.config_era;
                let position = Position { era, offset };
                self.catalog.record_config_position(position);
            }
        }
        if let Some(bytes) = response.packed_servers.take() {
            response.servers = self.unpacked("server list", &bytes);
        }
        received.record_listed(response);
        if let Some(list) = SyncedList::take_from(response) {
            let age_ms = response.servers_age_ms;
            let changed = received.servers.apply(&self.catalog, list, sent_at);
            if !changed.is_empty() {
                info!(self.logs.log(), "servers told"; "changed" => changed.join(","),
                    "age_ms" => age_ms);
            }
        }
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Stamps of the lists last received on a connection, sent back so that unchanged lists are left out of responses.
#[derive(Debug, Default)]
pub(super) struct ReceivedStamps {
    servers: ReceivedList,
    nodes: Option<Stamp>,
    /// Names on the last server list, to which the loads in later responses refer.
    listed: Option<(Stamp, Vec<String>)>,
}

impl ReceivedStamps {
    /// Keeps the names on the server list in `response`, if there is one.
    fn record_listed(&mut self, response: &SyncResponse) {
        if let Some(servers) = &response.servers {
            let names = servers.iter().map(|server| server.id.clone());
            self.listed = Some((response.servers_stamp, names.collect()));
        }
    }

    /// Returns the names on the list with `stamp`; `None` if it was not the last one received.
    fn listed(&self, stamp: Stamp) -> Option<&[String]> {
        let listed = self.listed.as_ref();
        let listed = listed.filter(|(known, _)| *known == stamp);
        listed.map(|(_, names)| names.as_slice())
    }
}

/// Synchronization of this gateway with the others.
pub struct Peers {
    pub(super) shared: Arc<Shared>,
    directory: Arc<dyn NodeDirectory>,
    tasks: Vec<JoinHandle<()>>,
}

impl Peers {
    /// Starts to send and answer sync requests, and to register this gateway in the directory.
    ///
    /// The registration runs in the background and is retried until it succeeds.
    ///
    /// `duties` are kept up to date with what this node reads for others. `loads` are
    /// the callback that returns this node's own loads and the one that receives the sum of all other nodes' loads.
    /// What is learned about crashes of servers is exchanged between the quarantines of the nodes.
    ///
    /// # Errors
    ///
    /// Returns an error if the address for connections from other nodes cannot be bound.
    pub async fn start(
        settings: PeerSettings,
        catalog: &Arc<Catalog>,
        logs: &Logs,
        directory: Arc<dyn NodeDirectory>,
        duties: Duties,
        loads: (OwnLoads, OwnTeams, OtherLoads),
        quarantine: &Arc<Quarantine>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.own.address).await?;
        let backup_centre = backup_centre(&settings.data_centres, &settings.own.data_centre);
        let shared = Arc::new(Shared {
            nodes: NodeList::new(settings.own.clone(), logs.clone()),
            own: settings.own,
            catalog: Arc::clone(catalog),
            load_table: LoadTable::default(),
            team_table: TeamTable::default(),
            cut_off_table: CutOffTable::default(),
            heavy_teams: Mutex::default(),
            streams: StreamTable::default(),
            mute_nodes: MuteNodes::default(),
            tunnel_table: TunnelTable::default(),
            direct_paths: OnceLock::new(),
            quarantine: Arc::clone(quarantine),
            logs: logs.clone(),
            has_asked_directory: watch::Sender::new(false),
            role: Mutex::new(Role::Undecided(None)),
            packed_configuration: PackCache::default(),
            packed_servers: PackCache::default(),
            paces: Mutex::default(),
            capacities: Mutex::default(),
            backup_centre,
            regions: settings.regions,
            needs_evacuations: settings.needs_evacuations,
            duties,
            own_loads: loads.0,
            own_teams: loads.1,
            other_loads: loads.2,
        });
        let mut tasks = vec![
            tokio::spawn(serve::accept(Arc::clone(&shared), listener)),
            tokio::spawn(directory_sync::run(
                Arc::clone(&shared),
                Arc::clone(&directory),
                settings.start_delay,
            )),
            tokio::spawn(sync::run(Arc::clone(&shared))),
        ];
        for holder in [Holder::Near(0), Holder::Near(1), Holder::Backup] {
            let pusher = Pusher::new(Arc::clone(&shared), holder);
            tasks.push(tokio::spawn(pusher.run()));
        }
        for data_centre in settings.data_centres {
            if data_centre != shared.own.data_centre {
                tasks.push(tokio::spawn(exchange::run(
                    Arc::clone(&shared),
                    data_centre,
                )));
            }
        }
        Ok(Self {
            shared,
            directory,
            tasks,
        })
    }

    /// Keeps records of streams in `archive` from now on, and reads those that other processes have left there.
    pub fn keep_streams_in(&mut self, archive: Arc<dyn StreamArchive>) {
        let task = stream_archive::run(Arc::clone(&self.shared), archive);
        self.tasks.push(tokio::spawn(task));
    }

    /// Returns the directory of the streams that began at any gateway.
    pub fn streams(&self) -> Arc<dyn StreamDirectory> {
        Arc::clone(&self.shared) as Arc<dyn StreamDirectory>
    }

    /// Returns a function that returns the number of gateways on the last known node list, this one included.
    pub fn counter(&self) -> Arc<dyn Fn() -> u32 + Send + Sync> {
        let shared = Arc::clone(&self.shared);
        Arc::new(move || u32::try_from(shared.nodes.count()).unwrap_or(u32::MAX))
    }

    /// Returns the names of the known gateways.
    pub fn names(&self) -> Arc<dyn NodeNames> {
        Arc::clone(&self.shared) as Arc<dyn NodeNames>
    }

    /// Stops all tasks that [`Peers::start`] spawned, then has this gateway removed from the directory: by its relay or, if
    /// it has none that does so, by a call of its own, together with what it has yet to write for others.
    pub async fn close(self) {
        for task in &self.tasks {
            task.abort();
        }
        if self.leave_through_relay().await {
            return;
        }
        let shared = &self.shared;
        let own = DirectoryChange::Remove(shared.own.name.clone());
        shared.nodes.registrations().add(own);
        let changes = shared.nodes.registrations().pending();
        if let Err(err) = self.directory.write(&changes, DIRECTORY_TIMEOUT).await {
            warn!(shared.logs.log(), "node entry could not be removed from the node list"; "cause" => %err);
        }
    }

    /// Tells the relay that this gateway leaves; returns whether the relay has it removed from the directory.
    async fn leave_through_relay(&self) -> bool {
        let shared = &self.shared;
        let Role::Member(_) = shared.role() else {
            return false;
        };
        let relay = shared.nodes.first_relay(&shared.own.data_centre);
        let Some(relay) = relay.filter(|relay| relay.name != shared.own.name) else {
            return false;
        };
        let mut request = shared.sync_request(Vec::new(), &ReceivedStamps::default());
        request.is_leaving = true;
        request.entry = Some(shared.own.clone());
        let telling = async {
            let mut link = Link::open(&relay).await?;
            link.request::<_, SyncResponse>(&request).await
        };
        let answer = tokio::time::timeout(LEAVE_TIMEOUT, telling).await;
        matches!(answer, Ok(Ok(response)) if response.role == Some(Role::Relay))
    }
}

/// Returns the data centre after `own` in alphabetical order, and the first one after the last; `None` if there is only
/// one.
fn backup_centre(data_centres: &[String], own: &str) -> Option<String> {
    let mut others: Vec<&String> = data_centres.iter().filter(|name| *name != own).collect();
    others.sort();
    let next = others.iter().find(|name| name.as_str() > own);
    next.or(others.first()).map(|name| (*name).clone())
}
