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
const TURN_LOADS: u64 = 2;
/// Share of a turn in which loads begin, as a divisor.
const BEGIN_SHARE: u64 = 4;

/// The turns, with the engines among which they are shared out.
///
/// A turn goes by the engines that were wanted when the turn before it was first looked at: a change that arrives at one
/// owner sooner than at another must not move turns that have begun.
#[derive(Debug, Default)]
pub(super) struct Turns {
    number: Option<u64>,
    /// Engines of the present turn, sorted.
    engines: Vec<String>,
    /// Engines of the next turn, sorted.
    next: Vec<String>,
}

impl Turns {
    /// Takes in what the configuration wants now; must be called before each use.
    pub(super) fn look(&mut self, config: &State, settings: &Settings, now_ms: u64) {
        let number = now_ms / turn_ms(settings);
        if self.number == Some(number) {
            return;
        }
        let next = std::mem::replace(&mut self.next, engines(config));
        let follows = self.number.is_some_and(|former| former + 1 == number);
        // Who has not seen the turn before does not know its engines.
        self.engines = if follows { next } else { Vec::new() };
        self.number = Some(number);
    }

    /// Gives the number of the turn in which `engine` may begin a load now, or nothing where it may not.
    pub(super) fn turn(&self, settings: &Settings, engine: &str, now_ms: u64) -> Option<u64> {
        let found = self
            .engines
            .binary_search_by(|name| name.as_str().cmp(engine));
        let place = found.ok()? as u64;
        let groups = self.engines.len().div_ceil(settings.weight_loads) as u64;
        let turn_ms = turn_ms(settings);
        let turn = now_ms / turn_ms;
        let is_own_turn = turn % groups == place % groups;
        let is_early = now_ms % turn_ms < turn_ms / BEGIN_SHARE;
        (is_own_turn && is_early).then_some(turn)
    }
}

fn turn_ms(settings: &Settings) -> u64 {
    settings.load_limit.as_millis() as u64 * TURN_LOADS
}

/// Names the engines for which models or adapters are wanted, sorted.
fn engines(config: &State) -> Vec<String> {
    let has_loads = |backend: &&Backend| !backend.models.is_empty() || !backend.adapters.is_empty();
    let wanted = config.backends().filter(has_loads);
    wanted.map(|backend| backend.name.clone()).collect()
}
