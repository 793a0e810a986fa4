//! Section `[claims]`: limits and times of claims and tickets.

use crate::settings::Section;
use std::time::Duration;

/// Settings of claims and tickets.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Age above which a key is rejected. The log must retain records for longer than this plus twice `skew`.
    pub window: Duration,
    /// Maximum clock difference between callers, nodes and the log.
    pub skew: Duration,
    /// Number of streams over which keys are distributed. It must be the same on all nodes and must never change.
    pub shards: u64,
    /// Minimum time between two appends of one shard.
    pub commit_interval: Duration,
    /// Maximum time that a call waits for its claim to be decided.
    pub claim_timeout: Duration,
    /// Age from which a claim of another node without an outcome is reported as `claimer-lost`.
    pub lost_after: Duration,
    /// Maximum size of an answer's body that is stored for the caller's retries, in bytes.
    pub max_stored_bytes: usize,
    /// Maximum total size of the answers' bodies that one shard stores in memory, in bytes.
    pub max_shard_bytes: usize,
    /// Maximum number of keys that one shard stores in memory.
    pub max_shard_keys: usize,
    /// Time within which a ticket must be redeemed.
    pub ticket_ttl: Duration,
    /// Maximum number of redeemed tickets that the node stores.
    pub max_tickets: usize,
}

impl Settings {
    /// Reads the settings from the section `[claims]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let day = 86_400_000;
        Self {
            window: section.millis("window_ms", 600_000, 1_000..=day),
            skew: section.millis("skew_ms", 30_000, 0..=day),
            shards: section.number("shards", 8, 1..=1_024),
            commit_interval: section.millis("commit_interval_ms", 60, 1..=10_000),
            claim_timeout: section.millis("claim_timeout_ms", 2_000, 50..=60_000),
            lost_after: section.millis("lost_after_ms", 60_000, 1_000..=day),
            max_stored_bytes: section.number("max_stored_bytes", 16_384, 0..=65_536) as usize,
            max_shard_bytes: section.number("max_shard_bytes", 4 << 20, 0..=1 << 30) as usize,
            max_shard_keys: section.number("max_shard_keys", 200_000, 1..=100_000_000) as usize,
            ticket_ttl: section.millis("ticket_ttl_ms", 60_000, 1_000..=day),
            max_tickets: section.number("max_tickets", 2_000, 1..=1_000_000) as usize,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_mins(10),
            skew: Duration::from_secs(30),
            shards: 8,
            commit_interval: Duration::from_millis(60),
            claim_timeout: Duration::from_secs(2),
            lost_after: Duration::from_mins(1),
            max_stored_bytes: 16_384,
            max_shard_bytes: 4 << 20,
            max_shard_keys: 200_000,
            ticket_ttl: Duration::from_mins(1),
            max_tickets: 2_000,
        }
    }
}
