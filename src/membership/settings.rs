//! Settings section `[membership]`: connections and messages between nodes.

use crate::settings::Section;
use std::time::Duration;

/// Intervals, timeouts and limits of the connections between nodes.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Interval of pings on an open connection that carries attempts to another node.
    pub ping: Duration,
    /// Interval of heartbeats to nodes of the same data centre.
    pub heartbeat: Duration,
    /// Time after which a suspected node that has not refuted the suspicion is marked as dead.
    pub dead_after: Duration,
    /// Minimum time between two load summaries on one connection.
    pub load_interval: Duration,
    /// Maximum number of peers in the same data centre.
    pub near_peers: usize,
    /// Maximum number of peers in each other data centre.
    pub far_peers: usize,
    /// Maximum number of connections that are being opened at the same time.
    pub max_connects: usize,
}

impl Settings {
    /// Reads the section `[membership]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        Self {
            ping: section.millis("ping_ms", 1_000, 100..=60_000),
            heartbeat: section.millis("heartbeat_ms", 300, 50..=10_000),
            dead_after: section.millis("dead_after_ms", 1_000, 100..=60_000),
            load_interval: section.millis("load_interval_ms", 100, 20..=60_000),
            near_peers: section.number("near_peers", 3, 1..=64) as usize,
            far_peers: section.number("far_peers", 2, 1..=16) as usize,
            max_connects: section.number("max_connects", 4, 1..=64) as usize,
        }
    }
}
