//! What a node knows of the other nodes and of the backend servers.
//!
//! No promise depends on views agreeing; they only decide which node owns a backend server, which is a rule of thumb
//! for efficiency. See `docs/MEMBERSHIP.md`.

mod accept;
mod configs;
mod dial;
mod gauges;
mod hosts;
mod link;
mod link_out;
mod live;
mod loads;
mod members;
mod peers;
mod poll;
mod reachability;
mod record;
mod refusals;
mod seal;
mod settings;
mod shared;
mod table;
#[cfg(test)]
mod tests;
mod view;

pub use accept::Acceptor;
pub use configs::NodeConfig;
pub use configs::NodeConfigTable;
pub use dial::GOSSIP_PATH;
pub use hosts::HostDirectory;
pub use loads::BackendLoad;
pub use loads::LoadTable;
pub use loads::NodeLoadSummary;
pub use members::Members;
pub use members::READY_GOSSIP;
pub use poll::Poller;
pub use poll::READY_HOSTS;
pub use settings::Settings;
pub use view::Backend;
pub use view::Node;
pub use view::View;

use std::sync::Arc;

/// Where the other slices get the view of hosts.
pub trait Membership: Send + Sync {
    /// Gives the view as it is now.
    fn view(&self) -> Arc<View>;
}
