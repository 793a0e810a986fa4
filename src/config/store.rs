//! The one place that holds the state in force and the records it came from lately.

use super::STREAM;
use super::apply::Verdict;
use super::metrics::ConfigMetrics;
use super::state::State;
use crate::border::generated::config::PeerConfig;
use crate::border::generated::config::PeerRecord;
use crate::border::generated::config::Snapshot;
use crate::membership::ConfigBoard;
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

/// Records that are kept for neighbours.
const KEPT_RECORDS: usize = 1_024;
/// Bytes of records that are kept for neighbours, about.
const KEPT_BYTES: usize = 4 * 1024 * 1024;
/// Records of one answer to a neighbour.
const ANSWER_RECORDS: usize = 500;

/// The state in force with what neighbours may ask for.
pub(super) struct Store {
    tx: watch::Sender<Arc<State>>,
    inner: Mutex<Inner>,
    configs: Arc<ConfigBoard>,
    metrics: Arc<Metrics>,
    own_metrics: ConfigMetrics,
    timeline: Arc<Timeline>,
}

#[derive(Default)]
struct Inner {
    records: VecDeque<PeerRecord>,
    bytes: usize,
    /// When the state last held everything that the log held.
    level: Option<Instant>,
    stopped_at: Option<u64>,
    snapshot: LastSnapshot,
}

/// The newest snapshot in the stream, as far as this node has read.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastSnapshot {
    /// Offset of its record.
    pub(super) offset: Option<u64>,
    /// The log's time of its append, in milliseconds.
    pub(super) time_ms: Option<u64>,
}

impl Store {
    pub(super) fn new(
        configs: Arc<ConfigBoard>,
        metrics: Arc<Metrics>,
        timeline: Arc<Timeline>,
    ) -> Self {
        Self {
            tx: watch::channel(Arc::new(State::default())).0,
            inner: Mutex::default(),
            configs,
            own_metrics: ConfigMetrics::new(&metrics),
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

    /// Gives the offset of the record that is to be applied next.
    pub(super) fn next(&self) -> u64 {
        self.tx.borrow().next()
    }

    /// Gives the offset after the newest version that any node has told of.
    pub(super) fn next_told(&self) -> u64 {
        let told = self.configs.all();
        told.iter()
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

    /// Notes that the state held everything that the log held `age` ago.
    pub(super) fn note_level(&self, age: Duration) {
        let at = Instant::now().checked_sub(age);
        let mut inner = self.lock();
        inner.level = inner.level.max(at);
    }

    /// Gives the time since the state last held everything that the log held.
    pub(super) fn level_age(&self) -> Option<Duration> {
        self.lock().level.map(|at| at.elapsed())
    }

    /// Applies `record` where it is the next one; tells whether applying goes on.
    pub(super) fn apply(&self, record: PeerRecord) -> bool {
        let mut inner = self.lock();
        let current = self.state();
        if inner.stopped_at.is_some() {
            return false;
        }
        if record.offset != current.next() {
            // An older record is in force already; after a gap the caller must ask for what is missing.
            return record.offset < current.next();
        }
        match current.apply(record.offset, &record.data) {
            Ok((state, verdict)) => {
                self.note(&record, &verdict);
                if verdict == Verdict::Snapshot {
                    inner.snapshot = LastSnapshot {
                        offset: Some(record.offset),
                        time_ms: Some(record.time_ms),
                    };
                }
                inner.keep(record);
                self.put(state);
                true
            }
            Err(halt) => {
                slog::error!(self.timeline.log(), "config record not known, applying stops";
                    "stream" => STREAM, "offset" => record.offset, "cause" => %halt);
                inner.stopped_at = Some(record.offset);
                self.own_metrics.stopped();
                false
            }
        }
    }

    /// Takes a whole state over where it is newer than the one in force.
    pub(super) fn adopt(&self, snapshot: Snapshot) {
        let mut inner = self.lock();
        if snapshot.at < self.next() || inner.stopped_at.is_some() {
            return;
        }
        let state = State::from_snapshot(snapshot);
        inner.records.clear();
        inner.bytes = 0;
        inner.snapshot = LastSnapshot {
            offset: state.version,
            time_ms: Some(now_ms()),
        };
        self.put(state);
    }

    /// Answers a neighbour that has everything before `from`.
    pub(super) fn answer(&self, from: u64) -> PeerConfig {
        let inner = self.lock();
        let state = self.state();
        let first_kept = inner.records.front().map(|record| record.offset);
        let is_kept = from >= state.next() || first_kept.is_some_and(|first| first <= from);
        let records = inner.records.iter().filter(|record| record.offset >= from);
        let records = if is_kept {
            records.take(ANSWER_RECORDS).cloned().collect()
        } else {
            Vec::new()
        };
        PeerConfig {
            next: state.next(),
            age_ms: inner
                .level
                .map_or(u64::MAX, |at| at.elapsed().as_millis() as u64),
            records,
            snapshot: if is_kept { None } else { state.snapshot() },
        }
    }

    fn put(&self, state: State) {
        self.own_metrics.in_force(&state);
        if let Some(version) = state.version {
            self.metrics.set_config_version(version);
            self.configs.publish(version, state.short_hash());
        }
        self.tx.send_replace(Arc::new(state));
    }

    fn note(&self, record: &PeerRecord, verdict: &Verdict) {
        self.own_metrics.applied(verdict);
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
    fn keep(&mut self, record: PeerRecord) {
        self.bytes += record.data.len();
        self.records.push_back(record);
        while self.records.len() > KEPT_RECORDS || self.bytes > KEPT_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.bytes -= oldest.data.len();
        }
    }
}

/// Gives the time since 1970 in milliseconds.
pub(super) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
