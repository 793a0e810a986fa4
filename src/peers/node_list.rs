//! The nodes of the fleet as one of them knows them: their list, and which of them can't be reached.

use super::directory::DirectoryChange;
use super::directory::NodeEntry;
use super::pack_cache::PackCache;
use super::registrations::Registrations;
use crate::clock::BootInstant;
use crate::decide::relay_order;
use crate::decide::store_reader;
use crate::logs::Logs;
use bytes::Bytes;
use slog::info;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Time within which a registered node appears in the lists that it receives: two reads by the relay.
const REGISTRATION_LAG: Duration = Duration::from_secs(12);
/// Time during which a node that failed to answer, or can't serve as a source, is not contacted again.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct State {
    /// Known nodes including this one, sorted by name.
    list: Vec<NodeEntry>,
    /// Raised at every change of the list.
    version: u64,
    /// When a list first lacked this node's own entry; `None` if the last list had it.
    unlisted_since: Option<BootInstant>,
    /// When this node last wrote its own entry to the directory.
    registered_at: Option<BootInstant>,
}

/// A node that can't serve as a source.
#[derive(Debug)]
struct Unreachable {
    name: String,
    /// When this was found.
    since: BootInstant,
    /// Whether the node answers, and can't serve only because the store refuses it.
    answers: bool,
}

/// The node list of one node.
pub(super) struct NodeList {
    own: NodeEntry,
    state: Mutex<State>,
    /// Nodes that failed to answer the last request or can't serve as a source.
    unreachable: Mutex<Vec<Unreachable>>,
    packed: PackCache,
    registrations: Registrations,
    logs: Logs,
}

impl NodeList {
    /// Creates the list of a node that knows only itself.
    pub(super) fn new(own: NodeEntry, logs: Logs) -> Self {
        let state = State {
            list: vec![own.clone()],
            version: 0,
            unlisted_since: Some(BootInstant::now()),
            registered_at: None,
        };
        Self {
            own,
            state: Mutex::new(state),
            unreachable: Mutex::default(),
            packed: PackCache::default(),
            registrations: Registrations::default(),
            logs,
        }
    }

    /// Returns the known nodes including this one, sorted by name, and the version of this list.
    pub(super) fn nodes(&self) -> (Vec<NodeEntry>, u64) {
        let state = self.lock();
        (state.list.clone(), state.version)
    }

    /// Returns the version of the list.
    pub(super) fn version(&self) -> u64 {
        self.lock().version
    }

    /// Returns the list packed for other nodes; `None` if it can't be encoded.
    pub(super) fn packed(&self) -> Option<Bytes> {
        let state = self.lock();
        let list = || state.list.clone();
        self.packed.get(state.version, list, &self.logs)
    }

    /// Returns the number of known nodes, this one included.
    pub(super) fn count(&self) -> usize {
        self.lock().list.len()
    }

    /// Returns the changes that this node has yet to write to the directory.
    pub(super) fn registrations(&self) -> &Registrations {
        &self.registrations
    }

    /// Applies a list from the directory or the relay. This node's own entry is always included in its current form, and so
    /// are changes that are not in the directory yet.
    pub(super) fn apply(&self, mut list: Vec<NodeEntry>) {
        list.sort_by(|a, b| a.name.cmp(&b.name));
        for change in self.registrations.pending() {
            apply_change(&mut list, change);
        }
        let is_listed = list.iter().any(|node| self.is_own(node));
        apply_change(&mut list, DirectoryChange::Put(self.own.clone()));
        let mut state = self.lock();
        let now = BootInstant::now();
        state.unlisted_since = (!is_listed).then(|| state.unlisted_since.unwrap_or(now));
        self.replace(&mut state, list);
    }

    /// Applies entries of the directory that are not all: other known nodes stay, and whether this node's own entry is there remains
    /// unknown.
    pub(super) fn apply_partial(&self, entries: Vec<NodeEntry>) {
        let mut state = self.lock();
        let mut list = state.list.clone();
        for entry in entries {
            apply_change(&mut list, DirectoryChange::Put(entry));
        }
        for change in self.registrations.pending() {
            apply_change(&mut list, change);
        }
        apply_change(&mut list, DirectoryChange::Put(self.own.clone()));
        self.replace(&mut state, list);
    }

    fn replace(&self, state: &mut State, list: Vec<NodeEntry>) {
        if state.list != list {
            state.list = list;
            state.version += 1;
            info!(self.logs.log(), "node list changed"; "nodes" => state.list.len());
        }
    }

    /// Adds a node that this one serves as relay, and has it registered. Changes nothing if the same or a later start of
    /// that node is known.
    pub(super) fn add(&self, node: NodeEntry) {
        let mut state = self.lock();
        let known = find(&state.list, &node.name);
        if known.is_some_and(|known| known.start_time_ms >= node.start_time_ms) {
            return;
        }
        let change = DirectoryChange::Put(node);
        let mut list = state.list.clone();
        apply_change(&mut list, change.clone());
        self.replace(&mut state, list);
        drop(state);
        self.registrations.add(change);
    }

    /// Removes a node that leaves, and has its registration removed, unless a later start of it is known.
    pub(super) fn remove(&self, node: &NodeEntry) {
        let mut state = self.lock();
        let known = find(&state.list, &node.name);
        if known.is_some_and(|known| known.start_time_ms > node.start_time_ms) {
            return;
        }
        let change = DirectoryChange::Remove(node.name.clone());
        let mut list = state.list.clone();
        apply_change(&mut list, change.clone());
        self.replace(&mut state, list);
        drop(state);
        self.registrations.add(change);
    }

    /// Has this node's own entry written to the directory, unless that happened a moment ago.
    pub(super) fn register_own(&self) {
        let now = BootInstant::now();
        let mut state = self.lock();
        let is_recent = state
            .registered_at
            .is_some_and(|at| now.since(at) < REGISTRATION_LAG);
        if is_recent {
            return;
        }
        state.unlisted_since = None;
        drop(state);
        self.registrations
            .add(DirectoryChange::Put(self.own.clone()));
    }

    /// Records that `written` are in the directory.
    pub(super) fn record_written(&self, written: &[DirectoryChange]) {
        let now = BootInstant::now();
        self.registrations.record_written(written, now);
        if written.iter().any(|change| change.name() == self.own.name) {
            self.lock().registered_at = Some(now);
        }
    }

    /// Returns whether the last list had this node's own entry, or this node has it written.
    pub(super) fn has_own(&self) -> bool {
        self.lock().unlisted_since.is_none()
    }

    /// Returns whether the lists of the last [`REGISTRATION_LAG`] lacked this node's own entry, so that it must be
    /// registered again.
    pub(super) fn has_lost_own(&self) -> bool {
        let unlisted_since = self.lock().unlisted_since;
        unlisted_since.is_some_and(|since| BootInstant::now().since(since) > REGISTRATION_LAG)
    }

    /// Returns whether `node` is the entry of this process. A relay of another version may leave out fields that it doesn't
    /// know.
    fn is_own(&self, node: &NodeEntry) -> bool {
        node.name == self.own.name && node.start_time_ms == self.own.start_time_ms
    }

    /// Records that `node` has just failed to answer or can't serve as a source; logs only the first time since it was
    /// last reachable.
    pub(super) fn mark_unreachable(&self, node: &NodeEntry, cause: &str) {
        self.mark(node, false, cause);
    }

    /// Records that `node` answers, but can't serve as a source since the store refuses it.
    pub(super) fn mark_disconnected(&self, node: &NodeEntry) {
        self.mark(node, true, "peer cannot reach the store");
    }

    fn mark(&self, node: &NodeEntry, answers: bool, cause: &str) {
        let mut unreachable = self.lock_unreachable();
        let is_known = unreachable.iter().any(|known| known.name == node.name);
        unreachable.retain(|known| known.name != node.name);
        unreachable.push(Unreachable {
            name: node.name.clone(),
            since: BootInstant::now(),
            answers,
        });
        if !is_known {
            info!(self.logs.log(), "dependency lost"; "dependency" => "peer", "peer" => &node.name,
                "cause" => cause);
        }
    }

    pub(super) fn mark_reachable(&self, node: &NodeEntry) {
        let mut unreachable = self.lock_unreachable();
        let before = unreachable.len();
        unreachable.retain(|known| known.name != node.name);
        if unreachable.len() < before {
            info!(self.logs.log(), "dependency regained"; "dependency" => "peer", "peer" => &node.name);
        }
    }

    /// Returns whether `node` was marked unreachable less than [`UNREACHABLE_PAUSE`] ago, so that it must not be
    /// contacted.
    pub(super) fn is_unreachable(&self, node: &NodeEntry) -> bool {
        self.is_marked(node, |_| true)
    }

    /// Returns whether `node` failed to answer less than [`UNREACHABLE_PAUSE`] ago.
    pub(super) fn is_silent(&self, node: &NodeEntry) -> bool {
        self.is_marked(node, |known| !known.answers)
    }

    fn is_marked(&self, node: &NodeEntry, concerns: impl Fn(&Unreachable) -> bool) -> bool {
        let now = BootInstant::now();
        let unreachable = self.lock_unreachable();
        unreachable.iter().any(|known| {
            known.name == node.name && now.since(known.since) < UNREACHABLE_PAUSE && concerns(known)
        })
    }

    /// Returns the first node in the relay order of `data_centre` that does not count as unreachable. It can be this
    /// node itself. No node is contacted.
    pub(super) fn first_relay(&self, data_centre: &str) -> Option<NodeEntry> {
        let state = self.lock();
        let mut relays = relay_order(&state.list, data_centre).into_iter();
        relays.find(|node| !self.is_unreachable(node)).cloned()
    }

    /// Returns whether a node other than `relay`, possibly this node itself, is now the first reachable relay of
    /// `data_centre`.
    pub(super) fn has_other_relay(&self, data_centre: &str, relay: &NodeEntry) -> bool {
        let first = self.first_relay(data_centre);
        first.is_some_and(|first| first.name != relay.name)
    }

    /// Returns the name of the node that reads the store for all data centres, as far as they are reachable.
    pub(super) fn store_reader(&self) -> Option<String> {
        let (mut nodes, _) = self.nodes();
        nodes.retain(|node| !self.is_unreachable(node));
        store_reader(&nodes).map(|node| node.name.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_unreachable(&self) -> MutexGuard<'_, Vec<Unreachable>> {
        self.unreachable
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes a change of `list`, which is sorted by name.
fn apply_change(list: &mut Vec<NodeEntry>, change: DirectoryChange) {
    let found = list.binary_search_by(|node| node.name.as_str().cmp(change.name()));
    match (found, change) {
        (Ok(index), DirectoryChange::Put(node)) => list[index] = node,
        (Err(index), DirectoryChange::Put(node)) => list.insert(index, node),
        (Ok(index), DirectoryChange::Remove(_)) => {
            list.remove(index);
        }
        (Err(_), DirectoryChange::Remove(_)) => {}
    }
}

/// Returns the node called `name` in `list`, which is sorted by name.
fn find<'a>(list: &'a [NodeEntry], name: &str) -> Option<&'a NodeEntry> {
    let index = list.binary_search_by(|node| node.name.as_str().cmp(name));
    index.ok().map(|index| &list[index])
}
