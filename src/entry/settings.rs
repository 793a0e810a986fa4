//! Section `[entry]`: settings for callers' requests.

use crate::settings::Section;
use std::time::Duration;

/// Settings for callers' requests.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of attempts for one request.
    pub max_attempts: usize,
    /// Retries earned by each success, in thousandths.
    pub retry_permille: u64,
    /// Time without a byte after which a stream is resumed over another connection.
    pub stream_stall: Duration,
    /// Time at shutdown during which callers are still served, so that the platform's load balancer can notice that the
    /// node is not ready before connections are closed.
    pub linger: Duration,
    /// Maximum wait at shutdown for answers in flight.
    pub drain_limit: Duration,
}

impl Settings {
    /// Reads the section `[entry]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        let max_body = section.number("max_body_bytes", 4 << 20, 1_024..=1 << 30);
        Self {
            max_body_bytes: usize::try_from(max_body).unwrap_or(usize::MAX),
            max_attempts: section.number("max_attempts", 3, 1..=10) as usize,
            retry_permille: section.number("retry_permille", 200, 0..=1_000),
            stream_stall: section.millis("stream_stall_ms", 3_000, 50..=600_000),
            linger: section.millis("linger_ms", 1_000, 0..=60_000),
            drain_limit: section.millis("drain_limit_ms", 300_000, 100..=3_600_000),
        }
    }
}
