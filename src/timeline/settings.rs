//! Section `[timeline]`: what is written.

use crate::settings::Section;
use slog::Level;

/// What is written to the log and the time line.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Least severe level that is written.
    pub level: Level,
}

impl Settings {
    /// Reads the section `[timeline]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        Self {
            level: section.or(
                "level",
                Level::Info,
                "critical, error, warning, info, debug or trace",
            ),
        }
    }
}
