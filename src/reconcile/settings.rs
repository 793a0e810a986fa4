//! Settings section `[reconcile]`: how engines are brought into their wanted state.

use crate::settings::Section;
use std::time::Duration;

/// Settings for bringing engines into their wanted state.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between two comparisons of an engine's reported state with its wanted state.
    pub interval: Duration,
    /// Maximum number of simultaneous loads from the weight store, over all nodes together.
    pub max_concurrent_loads: usize,
    /// Maximum time that one load takes. The length of a load turn is a multiple of it.
    pub max_load_time: Duration,
}

impl Settings {
    /// Reads the settings from section `[reconcile]`.
    pub fn read(section: &mut Section<'_>) -> Self {
        Self {
            interval: section.millis("interval_ms", 500, 50..=60_000),
            max_concurrent_loads: section.number("weight_loads", 2, 1..=10_000) as usize,
            max_load_time: section.millis("load_limit_ms", 60_000, 200..=3_600_000),
        }
    }
}
