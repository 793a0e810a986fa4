//! The owner's side: everything that must be known exactly about one backend server is decided here.
//!
//! An owner counts what its backend servers have in flight, hands attempts over to them and checks that each answer
//! is whole. See `docs/OWNERSHIP.md`.

mod answer;
mod handover;
mod settings;
mod slots;
#[cfg(test)]
mod tests;
mod whole;

pub use answer::Answer;
pub use answer::Attempt;
pub use handover::Owner;
pub use settings::Settings;
