//! Section `[owner]`: how owned backend servers are treated.

use crate::settings::Section;
use std::time::Duration;

/// How owned backend servers are treated.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest wait for the first byte of a backend server's answer.
    pub first_byte_timeout: Duration,
}

impl Settings {
    /// Reads the section `[owner]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        Self {
            first_byte_timeout: section.millis("first_byte_timeout_ms", 10_000, 10..=600_000),
        }
    }
}
