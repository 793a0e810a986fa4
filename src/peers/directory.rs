//! The directory in which running gateways register themselves.

use crate::catalog::SourceError;
use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// A gateway's entry in the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NodeEntry {
    /// Name of the host.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Address on which it accepts connections from other gateways.
    pub address: SocketAddr,
    /// Unix time of the process's start in milliseconds.
    #[serde(rename = "born_ms")]
    pub start_time_ms: u64,
    /// Bandwidth of the host's link in Mbit/s.
    pub link_mbps: u64,
}

/// A change of the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// Adds an entry, or replaces the former one of that name.
    Put(NodeEntry),
    /// Removes the entry of the gateway of this name.
    Remove(String),
}

impl DirectoryChange {
    /// Returns the name of the gateway.
    pub fn name(&self) -> &str {
        match self {
            Self::Put(entry) => &entry.name,
            Self::Remove(name) => name,
        }
    }
}

/// What one read of the directory returned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DirectoryRead {
    /// The entries of gateways.
    pub entries: Vec<NodeEntry>,
    /// Whether the read ended early, so that a gateway that is missing here may have an entry.
    pub is_partial: bool,
}

/// A directory of running gateways, kept in the store.
#[async_trait]
pub trait NodeDirectory: Send + Sync + 'static {
    /// Makes all of `changes` or none, in one call. Fails if the store has not answered within `timeout`.
    async fn write(
        &self,
        changes: &[DirectoryChange],
        timeout: Duration,
    ) -> Result<(), SourceError>;

    /// Reads the entries of all gateways.
    async fn read(&self, timeout: Duration) -> Result<DirectoryRead, SourceError>;
}
