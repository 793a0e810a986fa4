//! Messages between gateways, in CBOR over WebSocket.

use super::directory::NodeEntry;
use crate::catalog::Position;
use crate::catalog::ServerEntry;
use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::Read;

/// Bytes that a packed message may have when unpacked, which bounds what a broken one costs.
const MAX_UNPACKED_BYTES: u64 = 32 * 1024 * 1024;

/// Requests in flight at one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadEntry {
    /// Name of the server.
    pub server: String,
    /// Requests that were sent and have no whole answer.
    pub in_flight: u32,
}

/// Loads of one data centre's gateways together.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct CentreLoads {
    pub(super) data_centre: String,
    /// Sorted by server.
    pub(super) loads: Vec<LoadEntry>,
}

/// What a gateway asks of another, a few times a second.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct SyncRequest {
    pub(super) node: String,
    pub(super) data_centre: String,
    /// The asking node's own loads; of its whole data centre where it is that one's relay and asks another's.
    pub(super) loads: Vec<LoadEntry>,
    /// The asking node can't read the store, and asks for everything wherever the other stands.
    #[serde(default, rename = "is_cut_off")]
    pub(super) is_disconnected: bool,
    /// Version of the configuration that it has.
    pub(super) config_version: Option<u64>,
    /// Stamp of the server list that it was last told.
    pub(super) servers_stamp: Option<Stamp>,
    /// Stamp of the node list that it was last told.
    pub(super) nodes_stamp: Option<Stamp>,
}

/// A version of something that one process keeps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct Stamp {
    /// Unix time of the process's start in milliseconds.
    #[serde(rename = "born_ms")]
    pub(super) start_time_ms: u64,
    pub(super) version: u64,
}

/// A backend server as it is passed on.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct SyncedServer {
    pub(super) id: String,
    pub(super) entry: ServerEntry,
}

/// The answer to a [`SyncRequest`]; ages are as of the moment at which it was made, so that they bound what is told from the
/// moment of the question.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct SyncResponse {
    /// The teller's own reads of the store fail at present.
    #[serde(rename = "is_cut_off")]
    pub(super) is_disconnected: bool,
    /// Age of the teller's proof that its configuration is current.
    pub(super) config_age_ms: Option<u64>,
    /// Version of the teller's configuration.
    pub(super) config_version: Option<u64>,
    /// How far the teller has read the configuration's source.
    pub(super) config_position: Option<Position>,
    /// The configuration where it is newer than the asker's, packed by [`pack`]; it is packed once for all askers.
    pub(super) config: Option<Bytes>,
    /// Age of the teller's newest read of the server list.
    pub(super) servers_age_ms: Option<u64>,
    /// How far the teller has read the server list.
    pub(super) servers_position: Option<Position>,
    pub(super) servers_stamp: Stamp,
    /// The whole list of usable servers, where its stamp differs from the asker's.
    pub(super) servers: Option<Vec<SyncedServer>>,
    pub(super) nodes_stamp: Stamp,
    /// The list of gateways, where its stamp differs from the asker's.
    pub(super) nodes: Option<Vec<NodeEntry>>,
    /// Loads by data centre.
    pub(super) centres: Vec<CentreLoads>,
}

/// Encodes a message.
pub(super) fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, String> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).map_err(|err| err.to_string())?;
    Ok(buf)
}

/// Decodes a message.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    ciborium::from_reader(bytes).map_err(|err| err.to_string())
}

/// Encodes and compresses a large message: a configuration of 1,800 routes would otherwise take over half a second on
/// a link of 10 Mbit/s.
pub(super) fn pack<T: Serialize>(message: &T) -> Result<Vec<u8>, String> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    ciborium::into_writer(message, &mut encoder).map_err(|err| err.to_string())?;
    encoder.finish().map_err(|err| err.to_string())
}

/// Decompresses and decodes a large message.
pub(super) fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let mut unpacked = Vec::new();
    let mut limited = ZlibDecoder::new(bytes).take(MAX_UNPACKED_BYTES);
    // Read to the end, since the checksum of what was packed stands there.
    limited
        .read_to_end(&mut unpacked)
        .map_err(|err| err.to_string())?;
    decode(&unpacked)
}
