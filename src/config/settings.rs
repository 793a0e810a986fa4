//! Section `[config]`: how configuration is followed.

use crate::settings::Section;
use std::time::Duration;

/// How configuration is followed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest wait of one read of the log for a record to arrive.
    pub poll_wait: Duration,
    /// Pause after a failed read.
    pub retry_pause: Duration,
}

impl Settings {
    /// Reads the section `[config]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        Self {
            poll_wait: section.millis("poll_wait_ms", 1_000, 10..=60_000),
            retry_pause: section.millis("retry_pause_ms", 250, 10..=60_000),
        }
    }
}
