//! State that all connections of a node share: records, reachability of peers, and the tables that messages update.

use super::HostDirectory;
use super::LoadTable;
use super::NodeConfigTable;
use super::Settings;
use super::gauges::Gauges;
use super::reachability::Reachability;
use super::record::Record;
use super::refusals::RefusalCounters;
use super::table::ApplyOutcome;
use super::table::Table;
use crate::operations::Metrics;
use crate::settings::NodeSettings;
use crate::timeline::Timeline;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;
use tokio::sync::watch;

/// The part of the shared state that is protected by one lock.
pub(super) struct State {
    /// Newest known record of each node.
    pub(super) table: Table,
    /// State of the connections that this node opens to its peers.
    pub(super) reachability: Reachability,
    /// Names of the nodes of the region in the host list, sorted. Loads are sent only to them.
    pub(super) region: Vec<String>,
    /// Number of connections on which this node sends loads.
    pub(super) load_links: usize,
    /// Names of the nodes of the data centre in the host list, sorted.
    pub(super) near: Vec<String>,
    /// Factor by which the heartbeat interval is longer on connections to other data centres.
    pub(super) far_factor: u32,
}

/// State that all connections of a node share.
pub(super) struct Shared {
    pub(super) settings: Settings,
    /// Name, location, addresses and key of this node.
    pub(super) node: NodeSettings,
    pub(super) timeline: Arc<Timeline>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) refusals: RefusalCounters,
    pub(super) gauges: Gauges,
    /// Loads of the region's backend servers.
    pub(super) loads: Arc<LoadTable>,
    /// Configuration versions that nodes have in force.
    pub(super) configs: Arc<NodeConfigTable>,
    /// The newest known host list.
    pub(super) hosts: Arc<HostDirectory>,
    /// Counter that is incremented on each change, so that connections send the change at once.
    pub(super) changes: watch::Sender<u64>,
    is_closed: AtomicBool,
    state: Mutex<State>,
}

impl Shared {
    pub(super) fn new(
        settings: &Settings,
        node: &NodeSettings,
        incarnation: u64,
        hosts: Arc<HostDirectory>,
        timeline: Arc<Timeline>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            settings: settings.clone(),
            node: node.clone(),
            timeline,
            refusals: RefusalCounters::new(&metrics),
            gauges: Gauges::new(&metrics),
            metrics,
            loads: Arc::new(LoadTable::new(&node.name, incarnation)),
            configs: Arc::new(NodeConfigTable::new(&node.name)),
            hosts,
            changes: watch::channel(0).0,
            is_closed: AtomicBool::new(false),
            state: Mutex::new(State {
                table: Table::new(&node.name, incarnation),
                reachability: Reachability::default(),
                region: Vec::new(),
                load_links: 0,
                near: Vec::new(),
                far_factor: 1,
            }),
        }
    }

    /// Locks the state. The guard must not be held across an await.
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes all connections, also those that other nodes opened.
    pub(super) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.notify_changes();
    }

    /// Returns whether connections have to close.
    pub(super) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Wakes the connections and the membership task, so that they check for changes.
    pub(super) fn notify_changes(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Runs `f` on the table and wakes the connections if the table has changed.
    pub(super) fn update_table<T>(&self, f: impl FnOnce(&mut Table) -> T) -> T {
        let mut state = self.state();
        let before = state.table.change_count();
        let result = f(&mut state.table);
        let after = state.table.change_count();
        drop(state);
        if after != before {
            self.notify_changes();
        }
        result
    }

    /// Applies the records of a peer's message, and counts those that are refused.
    pub(super) fn apply_records(&self, records: &[Record]) {
        let now = Instant::now();
        let applied: Vec<ApplyOutcome> =
            self.update_table(|table| records.iter().map(|r| table.apply(r, now)).collect());
        for (record, applied) in records.iter().zip(applied) {
            match applied {
                ApplyOutcome::NameTaken => {
                    self.refusals.name_taken.inc();
                    slog::error!(self.timeline.log(), "another process uses this node's name";
                        "incarnation" => record.incarnation);
                }
                ApplyOutcome::OldIncarnation => self.refusals.old_record.inc(),
                ApplyOutcome::Newer | ApplyOutcome::Known | ApplyOutcome::Refuted => {}
            }
        }
    }
}
