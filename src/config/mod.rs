//! The configuration in force, replicated from the `config` stream of the platform's log.
//!
//! Every node applies the records of the stream in order with the same deterministic function, so that nodes at the
//! same offset have the same configuration. The offset of the newest record applied is the version. See
//! `docs/CONFIGURATION.md`.

mod apply;
mod eligibility;
mod follow;
mod metrics;
mod neighbours;
mod object;
mod rank;
mod serve;
mod settings;
mod signature;
mod snapshot;
mod snapshotter;
mod state;
mod store;
#[cfg(test)]
mod tests;

pub use apply::RECORD_VERSION;
pub use apply::RefusalReason;
pub use apply::UnsupportedRecord;
pub use apply::Verdict;
pub use eligibility::may_serve;
pub use follow::Follower;
pub use follow::FollowerParts;
pub use follow::READY_CONFIG;
pub use object::ObjectKind;
pub use object::kind_of;
pub use object::name_of;
pub use settings::Settings;
pub use signature::KeyError;
pub use signature::OperatorKey;
pub use signature::is_public_key;
pub use snapshot::unchecked as unchecked_snapshot;
pub use state::State;
pub use state::hex;

use crate::border::generated::config::NodeStatus;
use crate::border::generated::config::ObjectStatus;
use std::sync::Arc;

/// Name of the stream in the platform's log that holds the configuration.
pub const STREAM: &str = "config";

/// Provides the configuration in force to the other modules.
pub trait ConfigSource: Send + Sync {
    /// Returns the configuration in force now.
    fn state(&self) -> Arc<State>;

    /// Returns the offset of the record at which the node stopped applying because this program does not support the
    /// record; `None` if it has not stopped.
    fn stopped_at(&self) -> Option<u64> {
        None
    }
}

/// Provides the node's status to the pages of the operations address.
pub trait StatusSource: Send + Sync {
    /// Returns the current status.
    fn status(&self) -> NodeStatus;

    /// Returns the configured objects in force with their versions.
    fn objects(&self) -> Vec<ObjectStatus>;
}
