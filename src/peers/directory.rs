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

/// A directory of running gateways, kept in the store.
#[async_trait]
pub trait NodeDirectory: Send + Sync + 'static {
    /// Registers `own`, replacing the former entry of that name. Fails if the store has not answered within `timeout`.
    async fn announce(&self, own: &NodeEntry, timeout: Duration) -> Result<(), SourceError>;

    /// Removes the entry of the gateway called `name`.
    async fn withdraw(&self, name: &str, timeout: Duration) -> Result<(), SourceError>;

    /// Reads the entries of all gateways.
    async fn read(&self, timeout: Duration) -> Result<Vec<NodeEntry>, SourceError>;
}
