//! Settings section `[config]`: how a node follows the config stream.

use crate::settings::Section;
use std::time::Duration;

/// Settings for following the config stream.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum time that one read of the log, or one request to a neighbour, waits for a new record.
    pub poll_wait: Duration,
    /// Pause before the next read after all sources have failed.
    pub retry_pause: Duration,
    /// Timeout for a neighbour's response, in addition to `poll_wait`.
    pub peer_timeout: Duration,
    /// Number of nodes in each data centre that tail the log.
    pub relays: usize,
    /// Maximum time since a neighbour last held the whole log. Beyond it the neighbour's response counts as stale, and
    /// the node tries its other sources, such as the log itself.
    pub max_age: Duration,
    /// Number of records between two snapshots.
    pub snapshot_records: u64,
    /// Maximum time between two snapshots. Must be well below the retention time of the log.
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
    /// Reads the settings from section `[config]`.
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
