//! Brings engines into the state that the configuration wants.
//!
//! The owner of an engine compares what the engine reports with what is wanted and gives one order at a time until they
//! agree. Orders are level-triggered, so that a late order of a former owner is undone by the next comparison. See
//! `docs/CONFIGURATION.md`.

mod difference;
mod load_turns;
mod settings;
mod task;
#[cfg(test)]
mod tests;

pub use difference::planned_orders;
pub use settings::Settings;
pub use task::Reconciler;
pub use task::ReconcilerParts;
