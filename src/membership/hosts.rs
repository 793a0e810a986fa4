//! The newest known host list, read from the platform by this node or received as changes from other nodes.
//!
//! In a large fleet each node polls the platform rarely. The first node that reads a new version sends the difference
//! to other nodes by gossip. All nodes get it soon, although only a few read the whole list, which has a size of
//! megabytes in the largest fleet.

use super::View;
use crate::border::generated::gossip::HostChange;
use crate::border::generated::platform::Host;
use crate::border::generated::platform::HostList;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use tokio::sync::watch;

/// Maximum number of changes that are kept to be sent to other nodes.
const MAX_KEPT_CHANGES: usize = 64;

/// The host list with its most recent changes.
pub struct HostDirectory {
    state: Mutex<State>,
    /// Publishes the view of the current host list.
    tx: watch::Sender<Arc<View>>,
}

#[derive(Default)]
struct State {
    version: Option<u64>,
    // Sorted by name.
    hosts: Vec<Host>,
    /// The last changes, oldest first, at most [`MAX_KEPT_CHANGES`].
    changes: Vec<HostChange>,
}

impl HostDirectory {
    /// Creates a directory that has no host list yet.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            tx: watch::channel(Arc::default()).0,
        })
    }

    /// Subscribes to the view of the host list: its current value and each later one.
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.tx.subscribe()
    }

    /// Returns the version of the host list, or `None` before the first list.
    pub fn version(&self) -> Option<u64> {
        self.lock().version
    }

    /// Replaces the host list by one that was read from the platform.
    ///
    /// The platform's versions may start again, so a list with a lower version also replaces the current one. In that
    /// case no change is recorded for other nodes.
    pub fn replace(&self, list: HostList) {
        let mut state = self.lock();
        let mut hosts = list.hosts;
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(from) = state.version.filter(|from| *from < list.version) {
            let change = difference(&state.hosts, &hosts, from, list.version);
            state.record_change(change);
        }
        state.version = Some(list.version);
        state.hosts = hosts;
        self.publish(&state);
    }

    /// Applies a change received from another node, if it starts at this list's version. Returns whether it was
    /// applied.
    pub(super) fn apply(&self, change: &HostChange) -> bool {
        let mut state = self.lock();
        if state.version != Some(change.f) || change.v <= change.f {
            return false;
        }
        let Some(changed) = parse_hosts(&change.s) else {
            return false;
        };
        state.hosts.retain(|host| {
            !change.g.contains(&host.name) && !changed.iter().any(|new| new.name == host.name)
        });
        state.hosts.extend(changed);
        state.hosts.sort_by(|a, b| a.name.cmp(&b.name));
        state.version = Some(change.v);
        state.record_change(change.clone());
        self.publish(&state);
        true
    }

    /// Returns the changes from `version` up to the current version, as far as they are still kept.
    pub(super) fn changes_after(&self, version: u64) -> Vec<HostChange> {
        let state = self.lock();
        let after = state.changes.iter().filter(|change| change.f >= version);
        after.cloned().collect()
    }

    fn publish(&self, state: &State) {
        let view = View::from_hosts(&state.hosts);
        if **self.tx.borrow() != view {
            self.tx.send_replace(Arc::new(view));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn record_change(&mut self, change: HostChange) {
        if self.changes.len() == MAX_KEPT_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push(change);
    }
}

/// Returns the change from the list `old` of the version `from` to the list `new` of the version `version`. Both lists
/// are sorted by name.
fn difference(old: &[Host], new: &[Host], from: u64, version: u64) -> HostChange {
    let text = |host: &Host| serde_json::to_string(host).unwrap_or_default();
    let find = |hosts: &[Host], name: &str| {
        let found = hosts.binary_search_by(|host| host.name.as_str().cmp(name));
        found.ok().map(|i| text(&hosts[i]))
    };
    let changed = new.iter().map(|host| (host, text(host)));
    let changed = changed.filter(|(host, text)| find(old, &host.name).as_ref() != Some(text));
    let removed = old.iter().filter(|host| find(new, &host.name).is_none());
    HostChange {
        f: from,
        v: version,
        s: changed.map(|(_, text)| text).collect(),
        g: removed.map(|host| host.name.clone()).collect(),
    }
}

/// Parses hosts from their JSON texts; returns `None` if one of them is invalid.
fn parse_hosts(texts: &[String]) -> Option<Vec<Host>> {
    let hosts = texts.iter().map(|text| serde_json::from_str(text).ok());
    hosts.collect()
}
