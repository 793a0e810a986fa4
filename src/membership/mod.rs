//! Membership: which nodes and backend servers exist, and which nodes are live and reachable.
//!
//! The platform's host list says which hosts exist. Nodes exchange messages (gossip) over WebSocket connections to find
//! out which nodes are live. Each node combines both into a [`View`].
//!
//! Views of different nodes may differ for a while, and no guarantee of the system depends on their agreement. A view
//! only decides which node owns a backend server, and that ownership only serves efficiency. See `docs/MEMBERSHIP.md`.

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

/// Gives other modules access to the current view of the hosts.
pub trait Membership: Send + Sync {
    /// Returns the current view.
    fn view(&self) -> Arc<View>;
}
