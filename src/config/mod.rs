//! Configuration in force, followed from the `config` stream of the platform's log.
//!
//! The offset of the newest record applied is the version. See `docs/CONFIGURATION.md`.

mod follow;
mod settings;
mod state;
#[cfg(test)]
mod tests;

pub use follow::Follower;
pub use follow::READY_CONFIG;
pub use settings::Settings;
pub use state::ApplyError;
pub use state::State;

use std::sync::Arc;

/// Stream of the platform's log that holds configuration.
pub const STREAM: &str = "config";

/// Where the other slices get the configuration in force.
pub trait ConfigSource: Send + Sync {
    /// Gives the configuration in force now.
    fn state(&self) -> Arc<State>;
}
