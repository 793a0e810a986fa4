//! This gateway's part among the others: relay of its data centre, or asking its relay.

use super::board::Board;
use super::board::add_up;
use super::board::without;
use super::directory::NodeDirectory;
use super::directory::NodeEntry;
use super::link::Link;
use super::message::Ask;
use super::message::LoadEntry;
use super::message::Stamp;
use super::message::Tell;
use super::message::pack;
use super::message::unpack;
use super::serve;
use crate::catalog::BackendServer;
use crate::catalog::Beliefs;
use crate::catalog::Catalog;
use crate::clock::Moment;
use crate::decide::relay_order;
use crate::decide::sync_sources;
use crate::logs::Logs;
use bytes::Bytes;
use slog::info;
use slog::warn;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Time between two questions; loads change by about a request a server in it.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reads of the node list by a relay.
const NODES_INTERVAL: Duration = Duration::from_secs(6);
/// Time for which a node that did not answer is not asked again.
const LOST_PAUSE: Duration = Duration::from_secs(3);
/// Time after which a node looks whether an older one than its relay is back.
const RELAY_TERM: Duration = Duration::from_secs(5);
/// How much older a relay's proof may be than this node's own before the relay counts as cut off from the store: more
/// than lies between two reads and two questions.
const BLIND_LAG: Duration = Duration::from_millis(1_500);
/// Nodes that are tried in a row before this node reads for itself: where all are cut off, it is the store.
const TRIED_MOST: usize = 3;
/// Longest wait for the node list's store.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest pause after a failed call to the node list's store.
const DIRECTORY_PAUSE: Duration = Duration::from_millis(800);

/// Who this gateway is among the others.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// This gateway, as the others are to find it.
    pub own: NodeEntry,
    /// Names of all data centres.
    pub data_centres: Vec<String>,
}

/// Gives this node's own loads, sorted by server.
pub type OwnLoads = Arc<dyn Fn() -> Vec<LoadEntry> + Send + Sync>;
/// Takes in the loads of all other nodes together, sorted by server.
pub type OtherLoads = Arc<dyn Fn(Vec<LoadEntry>) + Send + Sync>;

/// What all tasks of this part share.
pub(super) struct Shared {
    pub(super) own: NodeEntry,
    pub(super) beliefs: Arc<Beliefs>,
    pub(super) board: Board,
    pub(super) logs: Logs,
    nodes: Mutex<Nodes>,
    lost: Mutex<Vec<(String, Moment)>>,
    /// The newest configuration that was asked for, by version.
    packed: Mutex<Option<(u64, Bytes)>>,
    is_relay: Arc<AtomicBool>,
    own_loads: OwnLoads,
    other_loads: OtherLoads,
}

#[derive(Debug, Default)]
struct Nodes {
    list: Vec<NodeEntry>,
    version: u64,
}

impl Shared {
    pub(super) fn stamp(&self, version: u64) -> Stamp {
        Stamp {
            born_ms: self.own.born_ms,
            version,
        }
    }

    pub(super) fn nodes(&self) -> (Vec<NodeEntry>, u64) {
        let nodes = lock(&self.nodes);
        (nodes.list.clone(), nodes.version)
    }

    /// Packs a configuration, once for all that ask for it.
    pub(super) fn packed(&self, catalog: &Catalog) -> Option<Bytes> {
        let mut packed = lock(&self.packed);
        if let Some((version, bytes)) = &*packed
            && *version == catalog.version()
        {
            return Some(bytes.clone());
        }
        match pack(catalog) {
            Ok(bytes) => {
                let bytes = Bytes::from(bytes);
                *packed = Some((catalog.version(), bytes.clone()));
                Some(bytes)
            }
            Err(cause) => {
                warn!(self.logs.log(), "configuration not told"; "cause" => cause);
                None
            }
        }
    }

    /// Takes in a node list; this node is on it whatever it says.
    fn note_nodes(&self, mut list: Vec<NodeEntry>) {
        list.retain(|node| node.name != self.own.name);
        list.push(self.own.clone());
        list.sort_by(|a, b| a.name.cmp(&b.name));
        let mut nodes = lock(&self.nodes);
        if nodes.list != list {
            nodes.list = list;
            nodes.version += 1;
            info!(self.logs.log(), "node list changed"; "nodes" => nodes.list.len());
        }
    }

    fn note_lost(&self, node: &NodeEntry, cause: &str) {
        let now = Moment::now();
        let mut lost = lock(&self.lost);
        let is_known = lost.iter().any(|(name, _)| *name == node.name);
        lost.retain(|(name, _)| *name != node.name);
        lost.push((node.name.clone(), now));
        if !is_known {
            info!(self.logs.log(), "dependency lost"; "dependency" => "peer", "peer" => &node.name,
                "cause" => cause);
        }
    }

    fn note_reached(&self, node: &NodeEntry) {
        let mut lost = lock(&self.lost);
        let before = lost.len();
        lost.retain(|(name, _)| *name != node.name);
        if lost.len() < before {
            info!(self.logs.log(), "dependency regained"; "dependency" => "peer", "peer" => &node.name);
        }
    }

    fn is_lost(&self, node: &NodeEntry) -> bool {
        let now = Moment::now();
        let lost = lock(&self.lost);
        lost.iter()
            .any(|(name, at)| *name == node.name && now.since(*at) < LOST_PAUSE)
    }

    /// Finds the first relay of `data_centre` that may be asked.
    fn first_relay(&self, data_centre: &str) -> Option<NodeEntry> {
        let nodes = lock(&self.nodes);
        let mut relays = relay_order(&nodes.list, data_centre).into_iter();
        relays.find(|node| !self.is_lost(node)).cloned()
    }

    /// Tells whether another node than `relay` is the first relay of `data_centre`.
    fn has_other_relay(&self, data_centre: &str, relay: &NodeEntry) -> bool {
        let first = self.first_relay(data_centre);
        first.is_some_and(|first| first.name != relay.name)
    }

    fn set_relay(&self, is_relay: bool) {
        if self.is_relay.swap(is_relay, Ordering::Relaxed) != is_relay {
            let part = if is_relay { "relay" } else { "member" };
            info!(self.logs.log(), "part among nodes changed"; "part" => part);
        }
    }

    fn decoded(&self, bytes: &[u8]) -> Option<Catalog> {
        unpack(bytes)
            .inspect_err(|cause| {
                warn!(self.logs.log(), "told configuration unusable"; "cause" => cause);
            })
            .ok()
    }

    fn ask(&self, loads: Vec<LoadEntry>, told: &Told) -> Ask {
        Ask {
            node: self.own.name.clone(),
            data_centre: self.own.data_centre.clone(),
            loads,
            is_cut_off: false,
            config_version: self.beliefs.catalog().map(|catalog| catalog.version()),
            servers_stamp: told.servers,
            nodes_stamp: told.nodes,
        }
    }

    /// Tells whether the teller can't read the store, or knows less of the configuration than this node learnt from the store by itself.
    fn is_blind(&self, tell: &Tell) -> bool {
        let own_age = self.beliefs.config_age(Moment::now());
        let told_age = tell.config_age_ms.map(Duration::from_millis);
        let is_behind =
            own_age.is_some_and(|own| told_age.is_none_or(|told| told > own + BLIND_LAG));
        tell.is_cut_off || is_behind
    }

    /// Takes in what the relay told in answer to a question that was asked at `asked`.
    fn take(&self, tell: Tell, asked: Moment, own: &[LoadEntry], told: &mut Told) {
        if let Some(catalog) = tell.config.and_then(|bytes| self.decoded(&bytes)) {
            let version = catalog.version();
            let change = self.beliefs.apply_config(catalog);
            info!(self.logs.log(), "configuration told"; "version" => version,
                "age_ms" => tell.config_age_ms, "outcome" => change.as_str());
        }
        let known = self.beliefs.catalog().map(|catalog| catalog.version());
        // The teller's proof is for its own version; it says nothing about an older one here.
        if known >= tell.config_version
            && let Some(age_ms) = tell.config_age_ms
        {
            self.beliefs
                .prove_config(asked.before(Duration::from_millis(age_ms)));
        }
        if let Some(age_ms) = tell.servers_age_ms {
            let read = asked.before(Duration::from_millis(age_ms));
            let servers = tell.servers.map(|servers| {
                let told = servers.into_iter().map(|server| BackendServer {
                    id: server.id,
                    entry: server.entry,
                });
                told.collect()
            });
            let is_first = told.servers != Some(tell.servers_stamp);
            if servers.is_some() || !is_first {
                let changed = self.beliefs.take_told_servers(servers, read);
                if !changed.is_empty() {
                    info!(self.logs.log(), "servers told"; "changed" => changed.join(","),
                        "age_ms" => age_ms);
                }
                told.servers = Some(tell.servers_stamp);
                if let Some(position) = tell.servers_position {
                    self.beliefs.note_servers_position(position);
                }
            }
        }
        if let Some(nodes) = tell.nodes {
            self.note_nodes(nodes);
            told.nodes = Some(tell.nodes_stamp);
        }
        let all = add_up(tell.centres.iter().map(|centre| centre.loads.as_slice()));
        (self.other_loads)(without(all, own));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the relay told last.
#[derive(Debug, Default)]
struct Told {
    servers: Option<Stamp>,
    nodes: Option<Stamp>,
}

/// This gateway's connections to the others.
pub struct Peers {
    shared: Arc<Shared>,
    directory: Arc<dyn NodeDirectory>,
    tasks: Vec<JoinHandle<()>>,
}

impl Peers {
    /// Announces this gateway and starts to ask and answer; `is_relay` is kept true while it reads for its data centre.
    ///
    /// # Errors
    ///
    /// Passes on why the address for other nodes can't be bound.
    pub async fn start(
        settings: PeerSettings,
        beliefs: &Arc<Beliefs>,
        logs: &Logs,
        directory: Arc<dyn NodeDirectory>,
        is_relay: Arc<AtomicBool>,
        loads: (OwnLoads, OtherLoads),
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.own.address).await?;
        let shared = Arc::new(Shared {
            own: settings.own,
            beliefs: Arc::clone(beliefs),
            board: Board::default(),
            logs: logs.clone(),
            nodes: Mutex::default(),
            lost: Mutex::default(),
            packed: Mutex::default(),
            is_relay,
            own_loads: loads.0,
            other_loads: loads.1,
        });
        shared.note_nodes(Vec::new());
        let mut tasks = vec![
            tokio::spawn(serve::accept(Arc::clone(&shared), listener)),
            tokio::spawn(keep_directory(Arc::clone(&shared), Arc::clone(&directory))),
            tokio::spawn(keep_relay(Arc::clone(&shared))),
        ];
        for data_centre in settings.data_centres {
            if data_centre != shared.own.data_centre {
                tasks.push(tokio::spawn(keep_centre(Arc::clone(&shared), data_centre)));
            }
        }
        Ok(Self {
            shared,
            directory,
            tasks,
        })
    }

    /// Gives the number of gateways that there are, as far as known.
    pub fn counter(&self) -> Arc<dyn Fn() -> u32 + Send + Sync> {
        let shared = Arc::clone(&self.shared);
        Arc::new(move || u32::try_from(lock(&shared.nodes).list.len()).unwrap_or(u32::MAX))
    }

    /// Takes this gateway off the list and ends its connections.
    pub async fn close(self) {
        let name = &self.shared.own.name;
        if let Err(err) = self.directory.withdraw(name, DIRECTORY_TIMEOUT).await {
            warn!(self.shared.logs.log(), "node not withdrawn"; "cause" => %err);
        }
        for task in self.tasks {
            task.abort();
        }
    }
}

/// Announces this node, then reads the list at times while it is the relay.
async fn keep_directory(shared: Arc<Shared>, directory: Arc<dyn NodeDirectory>) {
    while let Err(err) = directory.announce(&shared.own, DIRECTORY_TIMEOUT).await {
        warn!(shared.logs.log(), "node not announced"; "cause" => %err);
        pause(DIRECTORY_PAUSE).await;
    }
    let mut is_known = false;
    let mut is_lost = false;
    loop {
        if is_known && !shared.is_relay.load(Ordering::Relaxed) {
            pause(DIRECTORY_PAUSE).await;
            continue;
        }
        match directory.read(DIRECTORY_TIMEOUT).await {
            Ok(list) => {
                shared.note_nodes(list);
                is_known = true;
                if is_lost {
                    info!(shared.logs.log(), "dependency regained"; "dependency" => "node list");
                    is_lost = false;
                }
                pause(NODES_INTERVAL).await;
            }
            Err(err) => {
                if !is_lost {
                    warn!(shared.logs.log(), "dependency lost"; "dependency" => "node list", "cause" => %err);
                    is_lost = true;
                }
                pause(DIRECTORY_PAUSE).await;
            }
        }
    }
}

/// Sleeps for about `time`; spread, so that nodes that started together don't act together.
async fn pause(time: Duration) {
    tokio::time::sleep(time.mul_f64(rand::random_range(0.7..1.0))).await;
}

/// Asks the first relay that answers; where that is this node, it reads for its data centre.
async fn keep_relay(shared: Arc<Shared>) {
    let mut was_helped = false;
    loop {
        // After a term with another's help this node tries the store itself, or it would never know that it is back.
        let is_cut_off = shared.beliefs.is_cut_off() && !was_helped;
        let is_told = ask_in_turn(&shared, is_cut_off).await;
        was_helped = is_told && is_cut_off;
        if !is_told {
            be_relay(&shared);
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    }
}

/// Asks nodes one after the other until one has told for a term; tells whether one has.
async fn ask_in_turn(shared: &Shared, is_cut_off: bool) -> bool {
    let (nodes, _) = shared.nodes();
    let sources = sync_sources(&nodes, &shared.own, is_cut_off);
    let sources = sources.into_iter().filter(|node| !shared.is_lost(node));
    for node in sources.take(TRIED_MOST) {
        match ask_for_a_term(shared, node, is_cut_off).await {
            Ok(()) => return true,
            Err(cause) => shared.note_lost(node, &cause),
        }
    }
    false
}

/// Adds up what the nodes of this data centre and the other relays told.
fn be_relay(shared: &Shared) {
    shared.set_relay(true);
    let own = (shared.own_loads)();
    shared.board.note_own(own.clone());
    let now = Moment::now();
    let centres = shared.board.all_centres(&shared.own.data_centre, now);
    let all = add_up(centres.iter().map(|centre| centre.loads.as_slice()));
    (shared.other_loads)(without(all, &own));
}

async fn ask_for_a_term(shared: &Shared, node: &NodeEntry, is_cut_off: bool) -> Result<(), String> {
    let mut link = Link::open(node).await?;
    let mut told = Told::default();
    let began = Moment::now();
    loop {
        let asked = Moment::now();
        let own = (shared.own_loads)();
        let mut ask = shared.ask(own.clone(), &told);
        ask.is_cut_off = is_cut_off;
        let tell = link.ask(&ask).await?;
        if shared.is_blind(&tell) {
            return Err("it does not reach the store".to_owned());
        }
        shared.note_reached(node);
        shared.set_relay(false);
        shared.take(tell, asked, &own, &mut told);
        let is_over = asked.since(began) > RELAY_TERM;
        if is_over && (is_cut_off || shared.has_other_relay(&shared.own.data_centre, node)) {
            return Ok(());
        }
        tokio::time::sleep(ASK_INTERVAL).await;
    }
}

/// While this node is the relay, exchanges sums with the relay of `data_centre`.
async fn keep_centre(shared: Arc<Shared>, data_centre: String) {
    loop {
        if shared.is_relay.load(Ordering::Relaxed)
            && let Some(node) = shared.first_relay(&data_centre)
            && let Err(cause) = exchange(&shared, &node, &data_centre).await
        {
            shared.note_lost(&node, &cause);
        }
        tokio::time::sleep(ASK_INTERVAL).await;
    }
}

async fn exchange(shared: &Shared, node: &NodeEntry, data_centre: &str) -> Result<(), String> {
    let mut link = Link::open(node).await?;
    let told = Told::default();
    let began = Moment::now();
    while shared.is_relay.load(Ordering::Relaxed) {
        let loads = shared.board.own_centre(Moment::now());
        let tell = link.ask(&shared.ask(loads, &told)).await?;
        shared.note_reached(node);
        let theirs = tell
            .centres
            .into_iter()
            .find(|centre| centre.data_centre == data_centre);
        if let Some(theirs) = theirs {
            let now = Moment::now();
            shared.board.note_centre(data_centre, theirs.loads, now);
        }
        let is_over = Moment::now().since(began) > RELAY_TERM;
        if is_over && shared.has_other_relay(data_centre, node) {
            return Ok(());
        }
        tokio::time::sleep(ASK_INTERVAL).await;
    }
    Ok(())
}
