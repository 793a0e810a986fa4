//! Section `[claims]`: how non-idempotent work is claimed.

use crate::settings::Section;
use std::time::Duration;

/// How non-idempotent work is claimed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Age from which a key is refused; the log must hold records for longer than this and twice `skew`.
    pub window: Duration,
    /// How far the clocks of callers, nodes and the log may be apart.
    pub skew: Duration,
    /// Count of streams that keys are spread over; the same on all nodes, for good.
    pub shards: u64,
    /// Time between two appends of one shard.
    pub commit_interval: Duration,
    /// Longest wait for a claim to be decided.
    pub claim_timeout: Duration,
    /// Time after which a claim of another node without an outcome is taken for lost.
    pub lost_after: Duration,
    /// Largest answer that is kept for repeats, in bytes.
    pub max_stored_bytes: usize,
    /// Most bytes of answers that one shard keeps in memory.
    pub max_shard_bytes: usize,
    /// Most keys that one shard keeps in memory.
    pub max_shard_keys: usize,
    /// Time within which a ticket must be redeemed.
    pub ticket_ttl: Duration,
    /// Most redeemed tickets that the node remembers.
    pub max_tickets: usize,
}

impl Settings {
    /// Reads the section `[claims]`.
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
