//! Section `[owner]`: settings for owned backend servers.

use super::queue::QueueBounds;
use crate::settings::Section;
use std::time::Duration;

/// Settings for owned backend servers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Timeout for the first byte of a backend server's answer.
    pub first_byte_timeout: Duration,
    /// Share of the bound's excess over the mean that is held back because the mean is out of date, in thousandths.
    pub margin_permille: u32,
    /// Maximum age of a load that another owner published; an older one is ignored.
    pub load_max_age: Duration,
    /// Maximum wait in the queue before an interactive request is sent to another backend server.
    pub spill_wait: Duration,
    /// Maximum wait in the queue for batch requests, and for those that may not be sent to another backend server.
    pub queue_wait: Duration,
    /// Maximum number of requests in the queue of one backend server.
    pub queue_length: usize,
    /// Maximum number of requests of one team and class in the queue of one backend server.
    pub team_queue_length: usize,
    /// Waiting time after which batch requests go before some interactive ones.
    pub ageing: Duration,
    /// Share of a backend server's limit that batch requests may use, in thousandths.
    pub batch_permille: u32,
    /// Memory limit of the spill table, in bytes.
    pub spill_table_bytes: usize,
    /// Interval between polls of an owned backend server for its load.
    pub poll_interval: Duration,
    /// Time in which a new backend server is brought to its full limit.
    pub slow_start: Duration,
    /// Rate at which engines prefill uncached tokens, for the choice between a prefill and a cache transfer.
    pub prefill_tokens_per_s: u32,
    /// Rate at which engines export and import caches, in tokens per second.
    pub kv_tokens_per_s: u32,
}

impl Settings {
    /// Reads the section `[owner]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        Self {
            first_byte_timeout: section.millis("first_byte_timeout_ms", 10_000, 10..=600_000),
            margin_permille: narrow(section.number("margin_permille", 400, 0..=900)),
            load_max_age: section.millis("load_max_age_ms", 2_000, 100..=60_000),
            spill_wait: section.millis("spill_wait_ms", 50, 0..=10_000),
            queue_wait: section.millis("queue_wait_ms", 5_000, 0..=600_000),
            queue_length: section.number("queue_length", 512, 1..=1 << 20) as usize,
            team_queue_length: section.number("team_queue_length", 128, 1..=1 << 20) as usize,
            ageing: section.millis("ageing_ms", 2_000, 0..=600_000),
            batch_permille: narrow(section.number("batch_permille", 500, 1..=1_000)),
            spill_table_bytes: section.number("spill_table_bytes", 4 << 20, 128..=1 << 30) as usize,
            poll_interval: section.millis("poll_interval_ms", 250, 50..=60_000),
            slow_start: section.millis("slow_start_ms", 1_000, 0..=600_000),
            prefill_tokens_per_s: narrow(section.number(
                "prefill_tokens_per_s",
                20_000,
                1..=1 << 30,
            )),
            kv_tokens_per_s: narrow(section.number("kv_tokens_per_s", 200_000, 1..=1 << 30)),
        }
    }

    /// Returns the bounds of the queues.
    pub(super) fn queue_bounds(&self) -> QueueBounds {
        QueueBounds {
            max_len: self.queue_length,
            max_team_len: self.team_queue_length,
            ageing: self.ageing,
        }
    }
}

/// Narrows a number whose range has been checked to 32 bits.
fn narrow(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
