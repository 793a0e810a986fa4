//! Spreads loads from the weight store over time, without a message between nodes.
//!
//! The engines for which the configuration wants models or adapters take turns: each turn lets so many of them load as
//! the weight store takes at a time. Whose turn it is follows from the configuration and the clock alone, so that owners
//! who disagree about who owns an engine still agree about its turn.

use super::Settings;
use crate::border::generated::config::Backend;
use crate::config::State;

/// A turn lasts twice as long as a load may take; loads begin in its first quarter only. What is left lets the last of
/// them end, and lets clocks differ.
const LOAD_TIMES_PER_TURN: u64 = 2;
/// Share of a turn in which loads begin, as a divisor.
const START_WINDOW_DIVISOR: u64 = 4;

/// The turns, with the engines among which they are shared out.
///
/// A turn goes by the engines that were wanted when the turn before it was first looked at: a change that arrives at one
/// owner sooner than at another must not move turns that have begun.
#[derive(Debug, Default)]
pub(super) struct LoadTurns {
    number: Option<u64>,
    /// Engines of the present turn, sorted.
    engines: Vec<String>,
    /// Engines of the next turn, sorted.
    next_engines: Vec<String>,
}

impl LoadTurns {
    /// Takes in what the configuration wants now; must be called before each use.
    pub(super) fn update(&mut self, config: &State, settings: &Settings, now_ms: u64) {
        let number = now_ms / turn_ms(settings);
        if self.number == Some(number) {
            return;
        }
        let next_engines = std::mem::replace(&mut self.next_engines, engines_with_loads(config));
        let is_consecutive = self.number.is_some_and(|previous| previous + 1 == number);
        // Who has not seen the turn before does not know its engines.
        self.engines = if is_consecutive {
            next_engines
        } else {
            Vec::new()
        };
        self.number = Some(number);
    }

    /// Gives the number of the turn in which `engine` may begin a load now, or nothing where it may not.
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

/// Names the engines for which models or adapters are wanted, sorted.
fn engines_with_loads(config: &State) -> Vec<String> {
    let has_loads = |backend: &&Backend| !backend.models.is_empty() || !backend.adapters.is_empty();
    let wanted = config.backends().filter(has_loads);
    wanted.map(|backend| backend.name.clone()).collect()
}
