//! Catalog state: a gateway's local copy of the configuration and the list of backend servers, with version and age.
//!
//! The platform's adapter reads and decodes the sources. This module decides which data takes effect and how long it
//! may be used without being verified as current. See `docs/PLATFORM.md`.

mod config;
mod evacuation;
mod follow;
mod read;
mod roster;
mod state;
#[cfg(test)]
pub(crate) mod tests;
mod timeout;
mod version_history;

pub use config::ColdLimits;
pub use config::Configuration;
pub use config::EngineLimits;
pub use config::Limits;
pub use config::RetryMode;
pub use config::Route;
pub use config::Service;
pub use config::Share;
pub use config::Team;
pub use evacuation::EvacuatedCentre;
pub use evacuation::EvacuationChange;
pub use evacuation::EvacuationRead;
pub use evacuation::Evacuations;
pub use follow::ConfigRead;
pub use follow::ConfigSource;
pub use follow::Duties;
pub use follow::Follower;
pub use follow::OperatorRead;
pub use follow::Position;
pub use follow::ReadPace;
pub use follow::Schedule;
pub use follow::ServerList;
pub use follow::ServerRead;
pub use follow::SourceError;
pub(crate) use follow::apply_evacuations;
pub use read::ConfigSnapshot;
pub use read::ListChange;
pub use read::ListRead;
pub use read::ListSnapshot;
pub use read::PeerHistory;
pub use read::PeerList;
pub use roster::BackendServer;
pub use roster::PeerServer;
pub use roster::ReportStatus;
pub use roster::Roster;
pub use roster::ServerEntry;
pub use roster::ServerRecord;
pub use state::Catalog;
pub use state::CatalogBounds;
pub use state::ConfigChange;
pub use timeout::AdaptiveTimeout;
pub use version_history::OnlyVersion;
pub use version_history::SERVING_AFTER_LEAVING;
pub use version_history::SeenVersion;
pub use version_history::VERSION_MEMORY;
pub use version_history::VersionHistory;
