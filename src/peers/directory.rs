//! The gateways that there are, as they announced themselves.

use crate::catalog::SourceError;
use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// One gateway.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NodeEntry {
    /// Name of the host.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Where other gateways connect.
    pub address: SocketAddr,
    /// Unix time of the process's start in milliseconds.
    #[serde(rename = "born_ms")]
    pub start_time_ms: u64,
    /// Bandwidth of the host's link in Mbit/s.
    pub link_mbps: u64,
}

/// Where gateways announce themselves.
#[async_trait]
pub trait NodeDirectory: Send + Sync + 'static {
    /// Puts `own` on the list in place of its former entry.
    async fn announce(&self, own: &NodeEntry, limit: Duration) -> Result<(), SourceError>;

    /// Takes the gateway called `name` off the list.
    async fn withdraw(&self, name: &str, limit: Duration) -> Result<(), SourceError>;

    /// Reads the whole list.
    async fn read(&self, limit: Duration) -> Result<Vec<NodeEntry>, SourceError>;
}
