//! Brings engines into the state that the configuration declares for them.
//!
//! The owner of an engine compares the engine's reported state with the wanted state and sends one order at a time
//! until they are equal. It always acts on the difference between the two states, not on a change of the configuration
//! (level-triggered reconciliation). So if a late order of a former owner is carried out, the next comparison detects
//! and undoes its effect. See `docs/CONFIGURATION.md`.

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
