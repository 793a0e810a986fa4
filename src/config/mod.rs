//! Configuration in force, followed from the `config` stream of the platform's log.
//!
//! Every node applies the stream in order through the same deterministic function. The offset of the newest record
//! applied is the version. See `docs/CONFIGURATION.md`.

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

/// Stream of the platform's log that holds configuration.
pub const STREAM: &str = "config";

/// Where the other slices get the configuration in force.
pub trait ConfigSource: Send + Sync {
    /// Gives the configuration in force now.
    fn state(&self) -> Arc<State>;

    /// Gives the offset of the record at which applying stopped because this program does not know it.
    fn stopped_at(&self) -> Option<u64> {
        None
    }
}

/// Where the operations address gets the node's status.
pub trait StatusSource: Send + Sync {
    /// Gives the status as it is now.
    fn status(&self) -> NodeStatus;

    /// Lists the configured objects in force with their versions.
    fn objects(&self) -> Vec<ObjectStatus>;
}
