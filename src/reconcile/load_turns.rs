//! Spreads loads from the weight store over time, without messages between nodes.
//!
//! The weight store can serve a limited number of loads at a time, over all nodes together. Time is divided into turns
//! of equal length, and the engines for which the configuration lists models or adapters are divided into groups of at
//! most that size. The groups take turns, and an engine may start a load only in a turn of its group. The turn of an
//! engine depends on the configuration and the clock alone, so nodes that disagree about the owner of an engine still
//! agree about its turn.

use super::Settings;
use crate::border::generated::config::Backend;
use crate::config::State;

/// Length of a turn, in multiples of the maximum time of a load. Loads start in the first quarter of a turn only, so
/// that the last of them ends within the turn, with time left for differences between the nodes' clocks.
const LOAD_TIMES_PER_TURN: u64 = 2;
/// Loads may start in the first part of a turn: its length divided by this number.
const START_WINDOW_DIVISOR: u64 = 4;

/// The current turn, with the engines that the turns are divided among.
///
/// The engines of a turn are those that were configured at the first update in the turn before it. A configuration
/// change reaches the owners at different times. If it took effect within a turn, owners could disagree about the
/// groups, and too many engines could load at a time.
#[derive(Debug, Default)]
pub(super) struct LoadTurns {
    /// Number of the current turn, counted from 1970; `None` before the first update.
    number: Option<u64>,
    /// Engines of the current turn, sorted.
    engines: Vec<String>,
    /// Engines of the next turn, sorted.
    next_engines: Vec<String>,
}

impl LoadTurns {
    /// Updates the turn and its engines from the clock and `config`. Must be called before each use of `load_turn`.
    pub(super) fn update(&mut self, config: &State, settings: &Settings, now_ms: u64) {
        let number = now_ms / turn_ms(settings);
        if self.number == Some(number) {
            return;
        }
        let next_engines = std::mem::replace(&mut self.next_engines, engines_with_loads(config));
        let is_consecutive = self.number.is_some_and(|previous| previous + 1 == number);
        // Without an update in the previous turn, the engines of this turn are unknown, so no load may start.
        self.engines = if is_consecutive {
            next_engines
        } else {
            Vec::new()
        };
        self.number = Some(number);
    }

    /// Returns the number of the current turn if `engine` may start a load now, or `None` if it may not.
    pub(super) fn load_turn(&self, settings: &Settings, engine: &str, now_ms: u64) -> Option<u64> {
        let found = self
            .engines
            .binary_search_by(|name| name.as_str().cmp(engine));
        let index = found.ok()? as u64;
        let groups = self.engines.len().div_ceil(settings.max_concurrent_loads) as u64;
        let turn_ms = turn_ms(settings);
        let turn = now_ms / turn_ms;
        let is_own_turn = turn % groups == index % groups;
        let is_start_window = now_ms % turn_ms < turn_ms / START_WINDOW_DIVISOR;
        (is_own_turn && is_start_window).then_some(turn)
    }
}

fn turn_ms(settings: &Settings) -> u64 {
    settings.max_load_time.as_millis() as u64 * LOAD_TIMES_PER_TURN
}

/// Returns the names of the engines for which the configuration lists models or adapters, sorted.
fn engines_with_loads(config: &State) -> Vec<String> {
    let has_loads = |backend: &&Backend| !backend.models.is_empty() || !backend.adapters.is_empty();
    let wanted = config.backends().filter(has_loads);
    wanted.map(|backend| backend.name.clone()).collect()
}
