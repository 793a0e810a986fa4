//! What is taken over into the catalog in one step, and what it returns of one moment. A time, the data that it is the time of and their
//! position belong together: apart, one could be newer than the others.

use super::config::Configuration;
use super::evacuation::Evacuations;
use super::follow::Position;
use super::follow::ServerRead;
use super::roster::BackendServer;
use super::roster::PeerServer;
use super::version_history::SeenVersion;
use super::version_history::VersionHistory;
use crate::clock::BootInstant;
use std::sync::Arc;
use std::time::Duration;

/// A read of the server list by this node.
#[derive(Debug)]
pub struct ListRead {
    /// Start of the read.
    pub began: BootInstant,
    /// Position from which it was read, as the catalog had it then.
    pub from: Option<Position>,
    /// Position up to which it was read.
    pub position: Position,
    /// The records.
    pub records: ServerRead,
}

/// What a read of the server list changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ListChange {
    /// Names of the servers that changed.
    pub servers: Vec<String>,
    /// Whether the store was restored from a copy since the read before.
    pub is_restored: bool,
}

/// A peer's server list.
#[derive(Clone, Debug)]
pub struct PeerList {
    /// All servers, or `None` if none has changed since the peer's list that was applied last.
    pub servers: Option<Vec<PeerServer>>,
    /// Start of the read from which the list comes.
    pub read_at: BootInstant,
    /// Position up to which the peer has read.
    pub position: Option<Position>,
    /// Which versions the peer has seen on the list, if it tells that.
    pub history: Option<PeerHistory>,
}

/// Which software versions a peer has seen on the server list.
#[derive(Clone, Debug)]
pub struct PeerHistory {
    /// Time since which the peer has followed the list without a gap.
    pub known_since: BootInstant,
    /// The versions, each with the time at which it was last listed.
    pub versions: Vec<SeenVersion>,
}

/// The configuration with what it is worth, all of one moment.
#[derive(Clone, Debug)]
pub struct ConfigSnapshot {
    /// The configuration in force; `None` before the first one.
    pub configuration: Option<Arc<Configuration>>,
    /// Time since it was last verified as current; `None` if it never was.
    pub age: Option<Duration>,
    /// Position up to which the configuration source has been read.
    pub position: Option<Position>,
    /// The known evacuations of data centres.
    pub evacuations: Arc<Evacuations>,
}

/// The server list with what it is worth, all of one moment.
#[derive(Clone, Debug)]
pub struct ListSnapshot {
    /// All listed servers, draining ones included, sorted by name.
    pub servers: Arc<Vec<BackendServer>>,
    /// Version of the list.
    pub version: u64,
    /// Start of the last read that confirmed it; `None` before the first, and while servers may be listed that it lacks.
    pub read_at: Option<BootInstant>,
    /// Position up to which it was read.
    pub position: Option<Position>,
    /// Servers in their grace period, sorted by name, with the ends of these periods.
    pub grace_ends: Vec<(String, BootInstant)>,
    /// Software versions on the list, now and before.
    pub history: VersionHistory,
}
