//! Section `[membership]`: how nodes learn of each other.

use crate::settings::Section;
use std::time::Duration;

/// How nodes learn of each other.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between two pings on an open connection that carries attempts to another node.
    pub ping: Duration,
    /// Time between two heartbeats to nodes of the own data centre.
    pub heartbeat: Duration,
    /// Time that a suspected node gets to answer before it counts as dead.
    pub dead_after: Duration,
    /// Shortest time between two summaries of loads.
    pub load_interval: Duration,
    /// Most peers in the own data centre.
    pub near_peers: usize,
    /// Most peers in each other data centre.
    pub far_peers: usize,
    /// Most connections that are being opened at once.
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
