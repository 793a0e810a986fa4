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

/// Gives the number of the turn in which `engine` may begin a load now, or nothing where it may not.
pub(super) fn turn(config: &State, settings: &Settings, engine: &str, now_ms: u64) -> Option<u64> {
    let has_loads = |backend: &&Backend| !backend.models.is_empty() || !backend.adapters.is_empty();
    let engines: Vec<&str> = config
        .backends()
        .filter(has_loads)
        .map(|backend| backend.name.as_str())
        .collect();
    let place = engines.binary_search(&engine).ok()?;
    let groups = engines.len().div_ceil(settings.weight_loads) as u64;
    let turn_ms = settings.load_limit.as_millis() as u64 * TURN_LOADS;
    let turn = now_ms / turn_ms;
    let is_own_turn = turn % groups == place as u64 % groups;
    let is_early = now_ms % turn_ms < turn_ms / BEGIN_SHARE;
    (is_own_turn && is_early).then_some(turn)
}
