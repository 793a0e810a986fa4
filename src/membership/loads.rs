//! Loads of the region's backend servers, as their owners last published them.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Age at which a summary is ignored, because its node has stopped or can't be reached.
const MAX_SUMMARY_AGE: Duration = Duration::from_secs(5);

/// Load of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendLoad {
    /// Service of the backend server.
    pub service: String,
    /// Name of the backend server.
    pub backend: String,
    /// Requests in flight, as its owner counts them.
    pub load: u32,
}

/// The loads that one node published together.
#[derive(Clone, Debug)]
pub struct NodeLoadSummary {
    /// Name of the node.
    pub node: String,
    /// Incarnation of the node and the number of its summary; the highest pair is the newest.
    pub version: (u64, u64),
    /// When the node published it. For a received summary this is computed from the age that the message states.
    pub published_at: Instant,
    /// The loads of the backend servers that the node owns.
    pub loads: Vec<BackendLoad>,
}

/// The newest load summary of each node of the region.
#[derive(Debug)]
pub struct LoadTable {
    node: String,
    incarnation: u64,
    // Sorted by node.
    summaries: Mutex<Vec<NodeLoadSummary>>,
}

impl LoadTable {
    /// Creates an empty table for the given incarnation of the node named `node`.
    pub fn new(node: &str, incarnation: u64) -> Self {
        Self {
            node: node.to_owned(),
            incarnation,
            summaries: Mutex::default(),
        }
    }

    /// Publishes the loads of all backend servers that this node owns, replacing those that it published before.
    ///
    /// Unchanged loads are published again only after a quarter of the age at which summaries are ignored.
    pub fn publish(&self, loads: &[BackendLoad]) {
        let mut summaries = self.lock();
        let found = find(&summaries, &self.node).ok();
        let previous = found.map(|i| &summaries[i]);
        if previous.is_some_and(|previous| {
            previous.loads == loads && previous.published_at.elapsed() < MAX_SUMMARY_AGE / 4
        }) {
            return;
        }
        let count = previous.map_or(0, |previous| previous.version.1);
        let summary = NodeLoadSummary {
            node: self.node.clone(),
            version: (self.incarnation, count + 1),
            published_at: Instant::now(),
            loads: loads.to_vec(),
        };
        insert(&mut summaries, summary);
    }

    /// Returns the newest known load of each backend server of `service`, sorted by name.
    ///
    /// If two nodes have published a load of the same backend server, the higher one is returned.
    pub fn loads(&self, service: &str) -> Vec<BackendLoad> {
        let summaries = self.lock();
        let fresh = summaries
            .iter()
            .filter(|s| s.published_at.elapsed() < MAX_SUMMARY_AGE);
        let mut loads: Vec<BackendLoad> = fresh
            .flat_map(|summary| &summary.loads)
            .filter(|load| load.service == service)
            .cloned()
            .collect();
        loads.sort_by(|a, b| a.backend.cmp(&b.backend).then(b.load.cmp(&a.load)));
        loads.dedup_by(|later, first| later.backend == first.backend);
        loads
    }

    /// Applies a summary of another node. Returns `false` if it is not newer than the known one.
    pub fn apply(&self, summary: NodeLoadSummary) -> bool {
        let mut summaries = self.lock();
        let known = find(&summaries, &summary.node).ok();
        let is_old = known.is_some_and(|i| summaries[i].version >= summary.version);
        if summary.node == self.node || is_old {
            return false;
        }
        insert(&mut summaries, summary);
        true
    }

    /// Returns the summaries that are not too old to be used.
    pub fn summaries(&self) -> Vec<NodeLoadSummary> {
        let fresh = |summary: &&NodeLoadSummary| summary.published_at.elapsed() < MAX_SUMMARY_AGE;
        self.lock().iter().filter(fresh).cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<NodeLoadSummary>> {
        self.summaries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn find(summaries: &[NodeLoadSummary], node: &str) -> Result<usize, usize> {
    summaries.binary_search_by(|summary| summary.node.as_str().cmp(node))
}

fn insert(summaries: &mut Vec<NodeLoadSummary>, summary: NodeLoadSummary) {
    match find(summaries, &summary.node) {
        Ok(i) => summaries[i] = summary,
        Err(i) => summaries.insert(i, summary),
    }
}
