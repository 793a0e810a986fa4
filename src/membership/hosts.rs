//! The host list as it was last read by this node or by another one.
//!
//! In a large fleet each node asks the platform seldom. Whoever reads a change first passes it on by gossip, so that all
//! have it soon though the whole list, megabytes in the largest fleet, is read by few.

use super::View;
use crate::border::generated::gossip::HostChange;
use crate::border::generated::platform::Host;
use crate::border::generated::platform::HostList;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use tokio::sync::watch;

/// Changes that are kept to be passed on.
const MAX_KEPT_CHANGES: usize = 64;

/// The host list with its latest changes.
pub struct HostDirectory {
    state: Mutex<State>,
    tx: watch::Sender<Arc<View>>,
}

#[derive(Default)]
struct State {
    version: Option<u64>,
    // Sorted by name.
    hosts: Vec<Host>,
    changes: Vec<HostChange>,
}

impl HostDirectory {
    /// Makes a board without a list.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            tx: watch::channel(Arc::default()).0,
        })
    }

    /// Gives the list, and each one that follows it.
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.tx.subscribe()
    }

    /// Gives the version of the list, if there is one.
    pub fn version(&self) -> Option<u64> {
        self.lock().version
    }

    /// Takes a list that was read from the platform.
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

    /// Applies a change that another node read, where it follows on this list; tells whether it did.
    pub(super) fn apply(&self, change: &HostChange) -> bool {
        let mut state = self.lock();
        if state.version != Some(change.f) || change.v <= change.f {
            return false;
        }
        let Some(set) = parse(&change.s) else {
            return false;
        };
        state.hosts.retain(|host| {
            !change.g.contains(&host.name) && !set.iter().any(|new| new.name == host.name)
        });
        state.hosts.extend(set);
        state.hosts.sort_by(|a, b| a.name.cmp(&b.name));
        state.version = Some(change.v);
        state.record_change(change.clone());
        self.publish(&state);
        true
    }

    /// Lists the changes that lead from `version` to the list's own version, as far as they are kept.
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

fn difference(old: &[Host], new: &[Host], from: u64, version: u64) -> HostChange {
    let text = |host: &Host| serde_json::to_string(host).unwrap_or_default();
    let find = |hosts: &[Host], name: &str| {
        let found = hosts.binary_search_by(|host| host.name.as_str().cmp(name));
        found.ok().map(|i| text(&hosts[i]))
    };
    let set = new.iter().map(|host| (host, text(host)));
    let set = set.filter(|(host, text)| find(old, &host.name).as_ref() != Some(text));
    let gone = old.iter().filter(|host| find(new, &host.name).is_none());
    HostChange {
        f: from,
        v: version,
        s: set.map(|(_, text)| text).collect(),
        g: gone.map(|host| host.name.clone()).collect(),
    }
}

fn parse(texts: &[String]) -> Option<Vec<Host>> {
    let hosts = texts.iter().map(|text| serde_json::from_str(text).ok());
    hosts.collect()
}
