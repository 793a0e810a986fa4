//! Appends snapshots to the config stream, well before the log removes the records that they replace.

use super::STREAM;
use super::rank::snapshot_rank;
use super::settings::Settings;
use super::snapshot;
use super::store::Store;
use super::store::now_ms;
use crate::border::LogService;
use crate::membership::Membership;
use crate::settings::DeploymentKey;
use crate::timeline::Timeline;
use std::sync::Arc;
use std::time::Duration;

/// Time between two checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Each rank waits longer than the one before it by the distance between snapshots, in records or in time, divided by
/// this number.
const RANK_DELAY_DIVISOR: u64 = 4;
/// Number of nodes that may write snapshots. A node of a lower rank writes one only if those ranked before it have not
/// written one in time.
const MAX_WRITERS: usize = 4;

/// State of the task that appends snapshots.
pub(super) struct Snapshotter {
    pub(super) node: String,
    pub(super) key: DeploymentKey,
    pub(super) settings: Settings,
    pub(super) log: Arc<dyn LogService>,
    pub(super) store: Arc<Store>,
    pub(super) membership: Arc<dyn Membership>,
    pub(super) timeline: Arc<Timeline>,
}

impl Snapshotter {
    pub(super) async fn run(self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.is_due() {
                self.append().await;
            }
        }
    }

    fn is_due(&self) -> bool {
        let rank = snapshot_rank(&self.membership.view(), &self.node);
        let Some(rank) = rank.filter(|rank| *rank < MAX_WRITERS) else {
            return false;
        };
        let is_caught_up = self
            .store
            .time_since_caught_up()
            .is_some_and(|age| age < self.settings.max_age);
        if !is_caught_up || self.store.stopped_at().is_some() {
            return false;
        }
        let with_rank_delay =
            |distance: u64| distance + distance * rank as u64 / RANK_DELAY_DIVISOR;
        let last = self.store.last_snapshot();
        let records = self.store.next_offset() - last.offset.map_or(0, |offset| offset + 1);
        if records >= with_rank_delay(self.settings.snapshot_records) {
            return true;
        }
        let interval = self.settings.snapshot_interval.as_millis() as u64;
        let elapsed = last.time_ms.map(|time| now_ms().saturating_sub(time));
        elapsed.is_some_and(|elapsed| elapsed >= with_rank_delay(interval))
    }

    async fn append(&self) {
        let state = self.store.state();
        let Some(snapshot) = state.snapshot() else {
            return;
        };
        let Some(record) = snapshot::to_record(&snapshot, &self.key) else {
            return;
        };
        // After an error it is unknown whether the record was appended. If it was, this node will read it from the
        // stream. If not, a snapshot stays due and is written later. A duplicate snapshot is harmless.
        if let Err(err) = self.log.append(STREAM, &record).await {
            slog::warn!(self.timeline.log(), "could not append config snapshot"; "cause" => ?err);
        }
        tokio::time::sleep(self.settings.poll_wait).await;
    }
}
