//! Holds the state in force and the newest records that led to it, which neighbours may request.

use super::STREAM;
use super::apply::Verdict;
use super::metrics::ConfigMetrics;
use super::state::State;
use crate::border::generated::config::PeerConfig;
use crate::border::generated::config::PeerRecord;
use crate::border::generated::config::Snapshot;
use crate::membership::NodeConfigTable;
use crate::operations::Metrics;
use crate::timeline::Event;
use crate::timeline::EventKind;
use crate::timeline::Timeline;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::sync::watch;

/// Maximum number of records kept for neighbours.
const MAX_KEPT_RECORDS: usize = 1_024;
/// Maximum total size in bytes of the records kept for neighbours; counts their data only.
const MAX_KEPT_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of records in one response to a neighbour.
const MAX_RESPONSE_RECORDS: usize = 500;

/// The state in force, with the records that neighbours may request.
pub(super) struct Store {
    tx: watch::Sender<Arc<State>>,
    inner: Mutex<Inner>,
    configs: Arc<NodeConfigTable>,
    metrics: Arc<Metrics>,
    config_metrics: ConfigMetrics,
    timeline: Arc<Timeline>,
}

#[derive(Default)]
struct Inner {
    records: VecDeque<PeerRecord>,
    /// Total size in bytes of the data of `records`.
    bytes: usize,
    /// Latest instant at which the state was known to include all records of the log; `None` if never.
    caught_up_at: Option<Instant>,
    /// Offset of the unsupported record at which applying stopped; `None` if it has not stopped.
    stopped_at: Option<u64>,
    snapshot: LastSnapshot,
}

/// The newest snapshot that this node has read from the stream or restored.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastSnapshot {
    /// Offset of the snapshot's record; for a restored snapshot, the version that it holds.
    pub(super) offset: Option<u64>,
    /// Time of the append by the log's clock, or of the restore by this node's clock, in milliseconds since 1970.
    pub(super) time_ms: Option<u64>,
}

impl Store {
    pub(super) fn new(
        configs: Arc<NodeConfigTable>,
        metrics: Arc<Metrics>,
        timeline: Arc<Timeline>,
    ) -> Self {
        Self {
            tx: watch::channel(Arc::new(State::default())).0,
            inner: Mutex::default(),
            configs,
            config_metrics: ConfigMetrics::new(&metrics),
            metrics,
            timeline,
        }
    }

    pub(super) fn state(&self) -> Arc<State> {
        Arc::clone(&self.tx.borrow())
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Arc<State>> {
        self.tx.subscribe()
    }

    /// Returns the offset of the record to be applied next.
    pub(super) fn next_offset(&self) -> u64 {
        self.tx.borrow().next_offset()
    }

    /// Returns the offset after the newest version that any node has reported to have in force, 0 if none has.
    pub(super) fn next_reported_offset(&self) -> u64 {
        let reported = self.configs.all();
        reported
            .iter()
            .map(|config| config.version + 1)
            .max()
            .unwrap_or(0)
    }

    pub(super) fn stopped_at(&self) -> Option<u64> {
        self.lock().stopped_at
    }

    pub(super) fn last_snapshot(&self) -> LastSnapshot {
        self.lock().snapshot
    }

    /// Records that the state includes all records that the log held `age` ago.
    pub(super) fn record_caught_up(&self, age: Duration) {
        let at = Instant::now().checked_sub(age);
        let mut inner = self.lock();
        inner.caught_up_at = inner.caught_up_at.max(at);
    }

    /// Returns the time since the state was last known to include all records of the log.
    pub(super) fn time_since_caught_up(&self) -> Option<Duration> {
        self.lock().caught_up_at.map(|at| at.elapsed())
    }

    /// Applies `record` if it is the next one. Returns `false` if applying has stopped at an unsupported record, or if
    /// records before `record` are missing.
    pub(super) fn apply(&self, record: PeerRecord) -> bool {
        let mut inner = self.lock();
        let current = self.state();
        if inner.stopped_at.is_some() {
            return false;
        }
        if record.offset != current.next_offset() {
            // An older record has been applied already. After a gap the caller must first fetch the missing records.
            return record.offset < current.next_offset();
        }
        match current.apply(record.offset, &record.data) {
            Ok((state, verdict)) => {
                self.record_verdict(&record, &verdict);
                if verdict == Verdict::Snapshot {
                    inner.snapshot = LastSnapshot {
                        offset: Some(record.offset),
                        time_ms: Some(record.time_ms),
                    };
                }
                inner.push_record(record);
                self.publish(state);
                true
            }
            Err(unsupported) => {
                slog::error!(self.timeline.log(), "config record not supported, no more records are applied";
                    "stream" => STREAM, "offset" => record.offset, "cause" => %unsupported);
                inner.stopped_at = Some(record.offset);
                self.config_metrics.set_stopped();
                false
            }
        }
    }

    /// Replaces the state with that of `snapshot`, unless the state in force is at least as new or applying has
    /// stopped.
    pub(super) fn restore(&self, snapshot: Snapshot) {
        let mut inner = self.lock();
        if snapshot.at < self.next_offset() || inner.stopped_at.is_some() {
            return;
        }
        let state = State::from_snapshot(snapshot);
        inner.records.clear();
        inner.bytes = 0;
        inner.snapshot = LastSnapshot {
            offset: state.version,
            time_ms: Some(now_ms()),
        };
        self.publish(state);
    }

    /// Builds the response to a neighbour that has all records before `from`: the records from there on, or a snapshot
    /// if some of them are no longer kept.
    pub(super) fn build_response(&self, from: u64) -> PeerConfig {
        let inner = self.lock();
        let state = self.state();
        let first_kept = inner.records.front().map(|record| record.offset);
        let is_retained =
            from >= state.next_offset() || first_kept.is_some_and(|first| first <= from);
        let records = inner.records.iter().filter(|record| record.offset >= from);
        let records = if is_retained {
            records.take(MAX_RESPONSE_RECORDS).cloned().collect()
        } else {
            Vec::new()
        };
        PeerConfig {
            next: state.next_offset(),
            age_ms: inner
                .caught_up_at
                .map_or(u64::MAX, |at| at.elapsed().as_millis() as u64),
            records,
            snapshot: if is_retained { None } else { state.snapshot() },
        }
    }

    fn publish(&self, state: State) {
        self.config_metrics.set_hash(&state);
        if let Some(version) = state.version {
            self.metrics.set_config_version(version);
            self.configs.publish(version, state.short_hash());
        }
        self.tx.send_replace(Arc::new(state));
    }

    fn record_verdict(&self, record: &PeerRecord, verdict: &Verdict) {
        self.config_metrics.record_verdict(verdict);
        match verdict {
            Verdict::Refused(refused) => {
                slog::warn!(self.timeline.log(), "config record refused";
                    "stream" => STREAM, "offset" => record.offset, "cause" => %refused);
            }
            Verdict::Accepted | Verdict::Snapshot => {
                let version = record.offset.to_string();
                let event = Event::new(EventKind::ConfigApplied).detail(&version);
                self.timeline.event(event);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn push_record(&mut self, record: PeerRecord) {
        self.bytes += record.data.len();
        self.records.push_back(record);
        while self.records.len() > MAX_KEPT_RECORDS || self.bytes > MAX_KEPT_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.bytes -= oldest.data.len();
        }
    }
}

/// Returns the time since 1970 in milliseconds.
pub(super) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
