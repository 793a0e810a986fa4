//! What gateways tell each other: loads, and what one of them read from the store for all.
//!
//! In each data centre the node that has run longest is the relay: it reads the store, adds up the loads of its data
//! centre and exchanges the sums with the relays of the others. Every other node asks its relay a few times a second.
//! A node that reaches no older one is its own relay. See `docs/PLATFORM.md`.

mod directory;
mod link;
mod load_table;
mod message;
mod node;
mod serve;
#[cfg(test)]
mod tests;

pub use directory::NodeDirectory;
pub use directory::NodeEntry;
pub use load_table::LoadTable;
pub use message::LoadEntry;
pub use node::OtherLoads;
pub use node::OwnLoads;
pub use node::PeerSettings;
pub use node::Peers;
