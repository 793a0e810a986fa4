//! Chooses the backend server that a request is sent to first.
//!
//! The policy is a trait object, so that it can be compared with baseline policies on the same seed; see
//! `docs/ROUTING.md`.

mod hash;
mod least_loaded;
mod loads;
mod owner;
mod policy;
mod random;
pub mod rendezvous;
mod settings;
#[cfg(test)]
mod tests;

pub use loads::Loads;
pub use policy::Policy;
pub use policy::PolicyInput;
pub use policy::PolicyName;
pub use settings::Settings;
