//! Section `[timeline]`: what is written.

use crate::settings::Section;
use slog::Level;
use std::time::Duration;

/// What is written to the log and the time line.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Least severe level that is written.
    pub level: Level,
    /// How far the stamp of a message may be ahead of this host's clock.
    pub max_drift: Duration,
}

impl Settings {
    /// How far a stamp may be ahead where nothing is set.
    pub const DEFAULT_MAX_DRIFT: Duration = Duration::from_secs(60);

    /// Reads the section `[timeline]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        Self {
            level: section.value_or(
                "level",
                Level::Info,
                "critical, error, warning, info, debug or trace",
            ),
            max_drift: section.millis(
                "max_drift_ms",
                Self::DEFAULT_MAX_DRIFT.as_millis() as u64,
                100..=86_400_000,
            ),
        }
    }
}
