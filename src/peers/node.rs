//! Synchronization of this gateway, called a node here, with the other ones.
//!
//! One node of each data centre is its relay: it reads the store for all nodes there, sums their loads, and exchanges
//! these sums with the relays of the other data centres. The other nodes of the data centre sync from it.

use super::crash_cursor::CrashCursor;
use super::directory::NodeDirectory;
use super::directory::NodeEntry;
use super::link::Link;
use super::load_table::LoadTable;
use super::load_table::aged;
use super::load_table::subtract_own;
use super::load_table::sum_loads;
use super::message::LoadEntry;
use super::message::Stamp;
use super::message::SyncRequest;
use super::message::SyncResponse;
use super::message::SyncedVersionHistory;
use super::message::pack;
use super::message::unpack;
use super::serve;
use super::server_list::ReceivedList;
use super::server_list::SyncedList;
use super::streams::RecordSource;
use super::streams::StreamDirectory;
use super::streams::StreamTable;
use super::tunnel::DirectPaths;
use super::tunnel_table::TunnelTable;
use crate::catalog::Catalog;
use crate::catalog::Configuration;
use crate::catalog::Position;
use crate::catalog::VERSION_MEMORY;
use crate::clock::BootInstant;
use crate::decide::relay_order;
use crate::decide::sync_sources;
use crate::logs::Logs;
use crate::quarantine::Quarantine;
use bytes::Bytes;
use slog::info;
use slog::warn;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Time between two sync requests; the load of a backend server changes by about one request in that time.
pub(super) const SYNC_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time between two reads of the node list from the directory by a relay.
const NODE_LIST_INTERVAL: Duration = Duration::from_secs(6);
/// Time within which a registered node appears in the lists that it receives: two reads by the relay.
const REGISTRATION_LAG: Duration = Duration::from_secs(12);
/// Time during which a node that failed to answer, or can't serve as a source, is not contacted again.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(3);
/// Minimum period of syncing or exchanging loads with one node, unless a request fails or, for an exchange, this node
/// is no longer the relay. After it, this node checks whether another node has become the first reachable relay; a sync
/// that asks all nodes ends without this check. The check contacts no node: one counts as reachable again once its
/// [`UNREACHABLE_PAUSE`] is over.
const RELAY_RECHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum amount by which a relay's last verification of its configuration may be older than this node's own; beyond
/// it, the relay counts as disconnected from the store. It exceeds the time between two reads of the store plus the
/// time between two sync requests, so a healthy relay stays below it.
const MAX_VERIFICATION_LAG: Duration = Duration::from_millis(1_500);
/// Maximum number of nodes tried in a row before this node reads the store itself. If all of them are disconnected from
/// the store, the store is down, and trying more nodes does not help.
const MAX_NODES_TRIED: usize = 3;
/// Timeout for a call to the directory, which is kept in the store.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum pause after a failed call to the directory, and maximum time after which a node that is not the relay checks
/// again whether it has become the relay.
const MAX_DIRECTORY_PAUSE: Duration = Duration::from_millis(800);

/// Identity of this gateway, and the data centres to exchange loads with.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Directory entry of this gateway.
    pub own: NodeEntry,
    /// Names of all data centres, this gateway's own included.
    pub data_centres: Vec<String>,
}

/// Callback that returns this node's own loads, sorted by backend server name.
pub type OwnLoads = Arc<dyn Fn() -> Vec<LoadEntry> + Send + Sync>;
/// Callback that receives the summed loads of all other nodes, sorted by backend server name.
pub type OtherLoads = Arc<dyn Fn(Vec<LoadEntry>) + Send + Sync>;

/// State shared by the tasks of [`Peers`].
pub(super) struct Shared {
    pub(super) own: NodeEntry,
    pub(super) catalog: Arc<Catalog>,
    pub(super) load_table: LoadTable,
    pub(super) streams: StreamTable,
    pub(super) tunnel_table: TunnelTable,
    /// Connects to backend servers for other gateways; unset until the gateway has started.
    pub(super) direct_paths: OnceLock<Arc<dyn DirectPaths>>,
    pub(super) quarantine: Arc<Quarantine>,
    pub(super) logs: Logs,
    nodes: Mutex<Nodes>,
    /// Nodes that failed to answer the last request or can't serve as a source, each with the time at which this was
    /// found.
    unreachable: Mutex<Vec<(String, BootInstant)>>,
    /// Last configuration packed for a response, with its version.
    packed: Mutex<Option<(u64, Bytes)>>,
    /// Data centre whose relay keeps copies of this data centre's records of streams; `None` if there is no other.
    backup_centre: Option<String>,
    is_relay: Arc<AtomicBool>,
    own_loads: OwnLoads,
    other_loads: OtherLoads,
}

#[derive(Debug, Default)]
struct Nodes {
    /// Known nodes including this one, sorted by name.
    list: Vec<NodeEntry>,
    /// Raised at every change of the list.
    version: u64,
    /// When a list first lacked this node's own entry; `None` if the last list had it.
    unlisted_since: Option<BootInstant>,
}

impl Shared {
    /// Returns the stamp of a list of this process that has the given version.
    pub(super) fn stamp(&self, version: u64) -> Stamp {
        Stamp {
            start_time_ms: self.own.start_time_ms,
            version,
        }
    }

    pub(super) fn nodes(&self) -> (Vec<NodeEntry>, u64) {
        let nodes = lock(&self.nodes);
        (nodes.list.clone(), nodes.version)
    }

    /// Returns `configuration` packed, from a cache of one version; `None` if it cannot be encoded.
    pub(super) fn packed_configuration(&self, configuration: &Configuration) -> Option<Bytes> {
        let mut packed = lock(&self.packed);
        if let Some((version, bytes)) = &*packed
            && *version == configuration.version()
        {
            return Some(bytes.clone());
        }
        match pack(configuration) {
            Ok(bytes) => {
                let bytes = Bytes::from(bytes);
                *packed = Some((configuration.version(), bytes.clone()));
                Some(bytes)
            }
            Err(cause) => {
                warn!(self.logs.log(), "configuration could not be encoded for peers"; "cause" => cause);
                None
            }
        }
    }

    /// Applies a node list; this node's own entry is always included, in its current form.
    fn apply_node_list(&self, mut list: Vec<NodeEntry>) {
        let is_listed = list.contains(&self.own);
        list.retain(|node| node.name != self.own.name);
        list.push(self.own.clone());
        list.sort_by(|a, b| a.name.cmp(&b.name));
        let mut nodes = lock(&self.nodes);
        let now = BootInstant::now();
        nodes.unlisted_since = (!is_listed).then(|| nodes.unlisted_since.unwrap_or(now));
        if nodes.list != list {
            nodes.list = list;
            nodes.version += 1;
            info!(self.logs.log(), "node list changed"; "nodes" => nodes.list.len());
        }
    }

    /// Returns whether the lists of the last [`REGISTRATION_LAG`] lacked this node's own entry, so that it must be
    /// registered again.
    fn is_unregistered(&self) -> bool {
        let unlisted_since = lock(&self.nodes).unlisted_since;
        unlisted_since.is_some_and(|since| BootInstant::now().since(since) > REGISTRATION_LAG)
    }

    /// Records that `node` has just failed to answer or can't serve as a source; logs only the first time since it was
    /// last reachable.
    fn mark_unreachable(&self, node: &NodeEntry, cause: &str) {
        let now = BootInstant::now();
        let mut unreachable = lock(&self.unreachable);
        let is_known = unreachable.iter().any(|(name, _)| *name == node.name);
        unreachable.retain(|(name, _)| *name != node.name);
        unreachable.push((node.name.clone(), now));
        if !is_known {
            info!(self.logs.log(), "dependency lost"; "dependency" => "peer", "peer" => &node.name,
                "cause" => cause);
        }
    }

    fn mark_reachable(&self, node: &NodeEntry) {
        let mut unreachable = lock(&self.unreachable);
        let before = unreachable.len();
        unreachable.retain(|(name, _)| *name != node.name);
        if unreachable.len() < before {
            info!(self.logs.log(), "dependency regained"; "dependency" => "peer", "peer" => &node.name);
        }
    }

    /// Returns whether `node` was marked unreachable less than [`UNREACHABLE_PAUSE`] ago, so that it must not be
    /// contacted.
    pub(super) fn is_unreachable(&self, node: &NodeEntry) -> bool {
        let now = BootInstant::now();
        let unreachable = lock(&self.unreachable);
        unreachable
            .iter()
            .any(|(name, at)| *name == node.name && now.since(*at) < UNREACHABLE_PAUSE)
    }

    /// Returns the first node in the relay order of `data_centre` that does not count as unreachable. It can be this
    /// node itself. No node is contacted.
    fn first_relay(&self, data_centre: &str) -> Option<NodeEntry> {
        let nodes = lock(&self.nodes);
        let mut relays = relay_order(&nodes.list, data_centre).into_iter();
        relays.find(|node| !self.is_unreachable(node)).cloned()
    }

    /// Returns whether a node other than `relay`, possibly this node itself, is now the first reachable relay of
    /// `data_centre`.
    fn has_other_relay(&self, data_centre: &str, relay: &NodeEntry) -> bool {
        let first = self.first_relay(data_centre);
        first.is_some_and(|first| first.name != relay.name)
    }

    /// Returns the first reachable relay of each data centre, this node excluded.
    pub(super) fn other_relays(&self) -> Vec<NodeEntry> {
        let (nodes, _) = self.nodes();
        let mut data_centres: Vec<&str> =
            nodes.iter().map(|node| node.data_centre.as_str()).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        let relays = data_centres
            .into_iter()
            .filter_map(|data_centre| self.first_relay(data_centre));
        relays.filter(|relay| relay.name != self.own.name).collect()
    }

    /// Sets whether this node is the relay and logs a change of its role.
    fn set_relay(&self, is_relay: bool) {
        if self.is_relay.swap(is_relay, Ordering::Relaxed) != is_relay {
            let role = if is_relay { "relay" } else { "member" };
            info!(self.logs.log(), "relay role changed"; "part" => role);
        }
    }

    /// Decodes a configuration received from a peer; logs the cause and returns `None` if that fails.
    fn unpacked_configuration(&self, bytes: &[u8]) -> Option<Configuration> {
        unpack(bytes)
            .inspect_err(|cause| {
                warn!(self.logs.log(), "configuration received from a peer is unusable"; "cause" => cause);
            })
            .ok()
    }

    /// Builds a sync request with the stamps of the lists received so far.
    ///
    /// `loads` are those of this node or, in an exchange of load sums ([`exchange_loads`]), those of this data centre.
    fn sync_request(&self, loads: Vec<LoadEntry>, received: &ReceivedStamps) -> SyncRequest {
        SyncRequest {
            node: self.own.name.clone(),
            data_centre: self.own.data_centre.clone(),
            loads,
            // The caller sets this if it needs the full catalog state from a node of any data centre.
            is_disconnected: false,
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
        }
    }

    /// Returns whether this node has followed the server list for less than [`VERSION_MEMORY`].
    fn wants_version_history(&self) -> bool {
        let known_since = self.catalog.version_history().known_since();
        known_since.is_none_or(|at| BootInstant::now().since(at) < VERSION_MEMORY)
    }

    /// Adds the software versions that a peer has seen on the server list.
    fn apply_version_history(&self, history: Option<SyncedVersionHistory>) {
        if let Some(history) = history {
            let (known_since, versions) = history.into_parts(BootInstant::now());
            self.catalog.adopt_version_history(known_since, versions);
        }
    }

    /// Returns whether the responding node cannot serve as a source: its reads of the store are failing or, if this
    /// node has verified the configuration, the other one never did or did so more than [`MAX_VERIFICATION_LAG`]
    /// earlier.
    fn is_unusable_source(&self, response: &SyncResponse) -> bool {
        let own_age = self.catalog.config_age(BootInstant::now());
        let peer_age = response.config_age_ms.map(Duration::from_millis);
        let is_behind = own_age
            .is_some_and(|own| peer_age.is_none_or(|peer| peer > own + MAX_VERIFICATION_LAG));
        response.is_disconnected || is_behind
    }

    /// Applies the response to a request sent at `sent_at`, including the loads of all nodes other than this one.
    ///
    /// `own` are the loads sent with the request; `received` is updated with the stamps of the lists in the response.
    /// The peer computed the ages in the response after `sent_at`. They are subtracted from `sent_at`, so that data is
    /// never taken for newer than it is.
    fn apply_response(
        &self,
        mut response: SyncResponse,
        sent_at: BootInstant,
        own: &[LoadEntry],
        received: &mut ReceivedStamps,
    ) {
        if let Some(configuration) = response
            .config
            .take()
            .and_then(|bytes| self.unpacked_configuration(&bytes))
        {
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
        if known >= response.config_version
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
        if let Some(list) = SyncedList::take_from(&mut response) {
            let age_ms = response.servers_age_ms;
            let changed = received.servers.apply(&self.catalog, list, sent_at);
            if !changed.is_empty() {
                info!(self.logs.log(), "servers told"; "changed" => changed.join(","),
                    "age_ms" => age_ms);
            }
        }
        self.apply_version_history(response.version_history);
        if let Some(nodes) = response.nodes {
            self.apply_node_list(nodes);
            received.nodes = Some(response.nodes_stamp);
        }
        let all = sum_loads(
            response
                .centres
                .iter()
                .map(|centre| centre.loads.as_slice()),
        );
        // The peer computed the ages after the request was sent, so they are never taken for less than they are.
        let all = aged(&all, BootInstant::now().since(sent_at));
        (self.other_loads)(subtract_own(all, own));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Stamps of the lists last received on a connection, sent back so that unchanged lists are left out of responses.
#[derive(Debug, Default)]
struct ReceivedStamps {
    servers: ReceivedList,
    nodes: Option<Stamp>,
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
    /// `is_relay` is kept `true` while this node is the relay, which reads the store for its data centre. `loads` are
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
        is_relay: Arc<AtomicBool>,
        loads: (OwnLoads, OtherLoads),
        quarantine: &Arc<Quarantine>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.own.address).await?;
        let backup_centre = backup_centre(&settings.data_centres, &settings.own.data_centre);
        let shared = Arc::new(Shared {
            own: settings.own,
            catalog: Arc::clone(catalog),
            load_table: LoadTable::default(),
            streams: StreamTable::default(),
            tunnel_table: TunnelTable::default(),
            direct_paths: OnceLock::new(),
            quarantine: Arc::clone(quarantine),
            logs: logs.clone(),
            nodes: Mutex::default(),
            unreachable: Mutex::default(),
            packed: Mutex::default(),
            backup_centre,
            is_relay,
            own_loads: loads.0,
            other_loads: loads.1,
        });
        shared.apply_node_list(Vec::new());
        let mut tasks = vec![
            tokio::spawn(serve::accept(Arc::clone(&shared), listener)),
            tokio::spawn(follow_directory(
                Arc::clone(&shared),
                Arc::clone(&directory),
            )),
            tokio::spawn(run_sync(Arc::clone(&shared))),
        ];
        for data_centre in settings.data_centres {
            if data_centre != shared.own.data_centre {
                tasks.push(tokio::spawn(run_load_exchange(
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

    /// Returns the directory of the streams that began at any gateway.
    pub fn streams(&self) -> Arc<dyn StreamDirectory> {
        Arc::clone(&self.shared) as Arc<dyn StreamDirectory>
    }

    /// Returns a function that returns the number of gateways on the last known node list, this one included.
    pub fn counter(&self) -> Arc<dyn Fn() -> u32 + Send + Sync> {
        let shared = Arc::clone(&self.shared);
        Arc::new(move || u32::try_from(lock(&shared.nodes).list.len()).unwrap_or(u32::MAX))
    }

    /// Removes this gateway from the directory, then stops all tasks that [`Peers::start`] spawned.
    pub async fn close(self) {
        let name = &self.shared.own.name;
        if let Err(err) = self.directory.withdraw(name, DIRECTORY_TIMEOUT).await {
            warn!(self.shared.logs.log(), "node entry could not be removed from the node list"; "cause" => %err);
        }
        for task in self.tasks {
            task.abort();
        }
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

/// Registers this node in the directory, retrying until that succeeds, then keeps the node list current. Registers it
/// again if the directory has lost its entry.
///
/// The list is read once at the start and then only while this node is the relay; others receive it from their relay.
async fn follow_directory(shared: Arc<Shared>, directory: Arc<dyn NodeDirectory>) {
    register(&shared, &*directory).await;
    let mut has_list = false;
    let mut is_unreachable = false;
    loop {
        if shared.is_unregistered() {
            register(&shared, &*directory).await;
            lock(&shared.nodes).unlisted_since = None;
        }
        if has_list && !shared.is_relay.load(Ordering::Relaxed) {
            pause(MAX_DIRECTORY_PAUSE).await;
            continue;
        }
        match directory.read(DIRECTORY_TIMEOUT).await {
            Ok(list) => {
                shared.apply_node_list(list);
                has_list = true;
                if is_unreachable {
                    info!(shared.logs.log(), "dependency regained"; "dependency" => "node list");
                    is_unreachable = false;
                }
                pause(NODE_LIST_INTERVAL).await;
            }
            Err(err) => {
                if !is_unreachable {
                    warn!(shared.logs.log(), "dependency lost"; "dependency" => "node list", "cause" => %err);
                    is_unreachable = true;
                }
                pause(MAX_DIRECTORY_PAUSE).await;
            }
        }
    }
}

async fn register(shared: &Shared, directory: &dyn NodeDirectory) {
    while let Err(err) = directory.announce(&shared.own, DIRECTORY_TIMEOUT).await {
        warn!(shared.logs.log(), "node could not be registered in the node list"; "cause" => %err);
        pause(MAX_DIRECTORY_PAUSE).await;
    }
}

/// Sleeps for 70 to 100 % of `time`, chosen at random, so that nodes that started together don't call the store
/// together.
async fn pause(time: Duration) {
    tokio::time::sleep(time.mul_f64(rand::random_range(0.7..1.0))).await;
}

/// Syncs from the first source that answers and can serve, and acts as relay while there is none.
async fn run_sync(shared: Arc<Shared>) {
    let mut was_served_by_peer = false;
    loop {
        // A node disconnected from the store syncs from any other node for one period of RELAY_RECHECK_INTERVAL. Then,
        // for one turn, it asks only the nodes that rank before it in its data centre and acts as relay if none
        // answers, so that it tries the store again. Otherwise it would never learn that the store is reachable again.
        let asks_all_nodes = shared.catalog.is_disconnected() && !was_served_by_peer;
        let has_synced = sync_with_any(&shared, asks_all_nodes).await;
        was_served_by_peer = has_synced && asks_all_nodes;
        if !has_synced {
            act_as_relay(&shared);
            tokio::time::sleep(SYNC_INTERVAL).await;
        }
    }
}

/// Tries sources in order until [`sync_with`] succeeds with one of them, which takes at least
/// [`RELAY_RECHECK_INTERVAL`]; returns whether one did.
///
/// The sources are the nodes that rank before this one in its data centre or, if `asks_all_nodes`, all other nodes.
async fn sync_with_any(shared: &Shared, asks_all_nodes: bool) -> bool {
    let (nodes, _) = shared.nodes();
    let sources = sync_sources(&nodes, &shared.own, asks_all_nodes);
    let sources = sources
        .into_iter()
        .filter(|node| !shared.is_unreachable(node));
    for node in sources.take(MAX_NODES_TRIED) {
        match sync_with(shared, node, asks_all_nodes).await {
            Ok(()) => return true,
            Err(cause) => shared.mark_unreachable(node, &cause),
        }
    }
    false
}

/// Takes the role of the relay and sums the loads received from the nodes of this data centre and from other relays.
fn act_as_relay(shared: &Shared) {
    shared.set_relay(true);
    let own = (shared.own_loads)();
    let now = BootInstant::now();
    shared.load_table.record_own(own.clone(), now);
    let centres = shared.load_table.all_centres(&shared.own.data_centre, now);
    let all = sum_loads(centres.iter().map(|centre| centre.loads.as_slice()));
    (shared.other_loads)(subtract_own(all, &own));
}

/// Sends sync requests to `node` for at least [`RELAY_RECHECK_INTERVAL`], and then until another node is the first
/// reachable relay of this data centre. That can be this node itself, which then takes over as relay.
///
/// If `asks_all_nodes`, the requests report this node as disconnected from the store, so that a node of any data centre
/// returns the full catalog state, and they end after that interval in any case.
///
/// # Errors
///
/// Returns the reason if a request fails or `node` cannot serve as a source.
async fn sync_with(shared: &Shared, node: &NodeEntry, asks_all_nodes: bool) -> Result<(), String> {
    let mut link = Link::open(node).await?;
    let mut received = ReceivedStamps::default();
    let mut next_record = 0;
    let mut crash_cursor = CrashCursor::new(&shared.quarantine);
    let began = BootInstant::now();
    loop {
        let sent_at = BootInstant::now();
        let own = (shared.own_loads)();
        let mut request = shared.sync_request(own.clone(), &received);
        request.is_disconnected = asks_all_nodes;
        let sources = [RecordSource::Own];
        (request.streams, next_record) =
            shared.streams.records_from(next_record, &sources, sent_at);
        crash_cursor.add_records(&shared.quarantine, &mut request, sent_at);
        request.next_crash_record = Some(crash_cursor.next_received);
        let mut response: SyncResponse = link.request(&request).await?;
        if shared.is_unusable_source(&response) {
            return Err("peer cannot reach the store".to_owned());
        }
        shared.mark_reachable(node);
        shared.set_relay(false);
        crash_cursor.apply(&shared.quarantine, &mut response);
        shared.apply_response(response, sent_at, &own, &mut received);
        let is_over = sent_at.since(began) > RELAY_RECHECK_INTERVAL;
        if is_over && (asks_all_nodes || shared.has_other_relay(&shared.own.data_centre, node)) {
            return Ok(());
        }
        crash_cursor.wait(SYNC_INTERVAL).await;
    }
}

/// While this node is the relay, exchanges load sums with the relay of `data_centre`.
async fn run_load_exchange(shared: Arc<Shared>, data_centre: String) {
    loop {
        if shared.is_relay.load(Ordering::Relaxed)
            && let Some(node) = shared.first_relay(&data_centre)
            && let Err(cause) = exchange_loads(&shared, &node, &data_centre).await
        {
            shared.mark_unreachable(&node, &cause);
        }
        tokio::time::sleep(SYNC_INTERVAL).await;
    }
}

/// Exchanges load sums with `node` until this node is no longer the relay or, after [`RELAY_RECHECK_INTERVAL`],
/// `data_centre` has another first reachable relay.
async fn exchange_loads(
    shared: &Shared,
    node: &NodeEntry,
    data_centre: &str,
) -> Result<(), String> {
    let mut link = Link::open(node).await?;
    // Stays empty, since the relay of another data centre returns only loads, and no lists.
    let received = ReceivedStamps::default();
    let sources = [RecordSource::Own, RecordSource::Member];
    let mut next_record = 0;
    let mut crash_cursor = CrashCursor::new(&shared.quarantine);
    let began = BootInstant::now();
    while shared.is_relay.load(Ordering::Relaxed) {
        let now = BootInstant::now();
        let loads = shared.load_table.own_centre(now);
        let mut request = shared.sync_request(loads, &received);
        if shared.backup_centre.as_deref() == Some(data_centre) {
            (request.streams, next_record) =
                shared.streams.records_from(next_record, &sources, now);
        }
        crash_cursor.add_records(&shared.quarantine, &mut request, now);
        let response: SyncResponse = link.request(&request).await?;
        shared.mark_reachable(node);
        shared.apply_version_history(response.version_history);
        let theirs = response
            .centres
            .into_iter()
            .find(|centre| centre.data_centre == data_centre);
        if let Some(theirs) = theirs {
            let received_at = BootInstant::now();
            let loads = aged(&theirs.loads, received_at.since(now));
            shared
                .load_table
                .record_centre(data_centre, loads, received_at);
        }
        let is_over = BootInstant::now().since(began) > RELAY_RECHECK_INTERVAL;
        if is_over && shared.has_other_relay(data_centre, node) {
            return Ok(());
        }
        crash_cursor.wait(SYNC_INTERVAL).await;
    }
    Ok(())
}
