//! Section `[membership]`: how nodes learn of each other.

use crate::settings::Section;
use std::time::Duration;

/// How nodes learn of each other.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between two pings on an open connection to another node.
    pub ping: Duration,
}

impl Settings {
    /// Reads the section `[membership]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        Self {
            ping: section.millis("ping_ms", 1_000, 100..=60_000),
        }
    }
}
