//! Synchronization between gateways: backend server loads, and the catalog state that one relay reads for all nodes.
//!
//! In each data centre one node is the relay: the one with the fastest link and, among equals, the one that has run
//! longest. The first of the relays reads the store for all, and each relay sums the loads of its data centre and exchanges the sums with the relays of the
//! other data centres. Every other node sends a sync request to its relay a few times a second. A node that can reach
//! no node ranked before it acts as relay itself. See `docs/PLATFORM.md`.

mod crash_cursor;
mod cut_off;
mod directory;
mod directory_sync;
mod exchange;
mod heavy_teams;
mod link;
mod load_entry;
mod load_table;
mod message;
mod mute_nodes;
mod node;
mod node_list;
mod pack_cache;
mod registrations;
mod report_table;
mod serve;
mod server_list;
mod server_paces;
mod stream_archive;
mod stream_push;
mod streams;
mod sync;
mod team_table;
#[cfg(test)]
mod tests;
mod tunnel;
mod tunnel_stream;
mod tunnel_table;

pub use cut_off::CutOffNodes;
pub use directory::DirectoryChange;
pub use directory::DirectoryRead;
pub use directory::NodeDirectory;
pub use directory::NodeEntry;
pub use heavy_teams::ServiceTeams;
pub use load_entry::LoadEntry;
pub use load_entry::ServerPace;
pub use load_entry::ServerRequests;
pub use load_entry::ServerSpeed;
pub use load_entry::TeamRequests;
pub use load_table::LoadTable;
pub use node::FleetLoads;
pub use node::NodeNames;
pub use node::OtherLoads;
pub use node::OwnLoads;
pub use node::OwnTeams;
pub use node::PeerSettings;
pub use node::Peers;
pub use stream_archive::ArchivedStreams;
pub use stream_archive::StreamArchive;
pub use streams::FoundStream;
pub use streams::StreamDirectory;
pub use streams::StreamKey;
pub use streams::StreamStart;
pub use tunnel::DirectPaths;
pub use tunnel::TunnelError;
pub use tunnel::TunnelRefusal;
pub use tunnel::Tunnels;
