//! Section `[entry]`: how callers are served.

use crate::settings::Section;
use std::time::Duration;

/// How callers are served.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Most attempts for one request.
    pub max_attempts: usize,
    /// Time at shutdown during which callers are still served, so that the platform's balancer sees that the node is
    /// not ready before connections are closed.
    pub linger: Duration,
    /// Longest wait at shutdown for answers in flight.
    pub drain_limit: Duration,
}

impl Settings {
    /// Reads the section `[entry]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let max_body = section.number("max_body_bytes", 4 << 20, 1_024..=1 << 30);
        Self {
            max_body_bytes: usize::try_from(max_body).unwrap_or(usize::MAX),
            max_attempts: section.number("max_attempts", 3, 1..=10) as usize,
            linger: section.millis("linger_ms", 1_000, 0..=60_000),
            drain_limit: section.millis("drain_limit_ms", 300_000, 100..=3_600_000),
        }
    }
}
