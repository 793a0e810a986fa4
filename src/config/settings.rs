//! Section `[config]`: how configuration is followed.

use crate::settings::Section;
use std::time::Duration;

/// How configuration is followed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest wait of one read of the log, or of one question to a neighbour, for a record to arrive.
    pub poll_wait: Duration,
    /// Pause after a failed read.
    pub retry_pause: Duration,
    /// Longest wait for a neighbour's answer, beyond the wait for a record.
    pub peer_timeout: Duration,
    /// Nodes of a data centre that tail the log.
    pub relays: usize,
    /// Age from which a neighbour's knowledge of the log counts as old, so that the log itself is asked.
    pub max_age: Duration,
    /// Records between two snapshots.
    pub snapshot_records: u64,
    /// Longest time between two snapshots; well within the time that the log keeps records.
    pub snapshot_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            poll_wait: Duration::from_millis(1_000),
            retry_pause: Duration::from_millis(250),
            peer_timeout: Duration::from_millis(500),
            relays: 2,
            max_age: Duration::from_millis(2_500),
            snapshot_records: 500,
            snapshot_interval: Duration::from_millis(3_600_000),
        }
    }
}

impl Settings {
    /// Reads the section `[config]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let default = Self::default();
        let ms = |time: Duration| time.as_millis() as u64;
        Self {
            poll_wait: section.millis("poll_wait_ms", ms(default.poll_wait), 10..=60_000),
            retry_pause: section.millis("retry_pause_ms", ms(default.retry_pause), 10..=60_000),
            peer_timeout: section.millis("peer_timeout_ms", ms(default.peer_timeout), 10..=60_000),
            relays: section.number("relays", default.relays as u64, 1..=100) as usize,
            max_age: section.millis("max_age_ms", ms(default.max_age), 100..=600_000),
            snapshot_records: section.number(
                "snapshot_records",
                default.snapshot_records,
                2..=1_000_000,
            ),
            snapshot_interval: section.millis(
                "snapshot_interval_ms",
                ms(default.snapshot_interval),
                1_000..=86_400_000,
            ),
        }
    }
}
