//! Section `[timeline]`: settings of the log and the timeline.

use crate::settings::Section;
use slog::Level;
use std::time::Duration;

/// Settings of the log and the timeline.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Least severe level that is written.
    pub level: Level,
    /// Maximum time by which the stamp of a message may be ahead of this host's clock.
    pub max_drift: Duration,
}

impl Settings {
    /// Default of `max_drift`.
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
