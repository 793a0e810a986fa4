//! Section `[claims]`: how non-idempotent work is claimed.

use crate::settings::Section;
use std::time::Duration;

/// How non-idempotent work is claimed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Age from which a key is refused.
    pub window: Duration,
}

impl Settings {
    /// Reads the section `[claims]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        Self {
            window: section.millis("window_ms", 600_000, 1_000..=86_400_000),
        }
    }
}
