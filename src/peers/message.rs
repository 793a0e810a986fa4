//! Messages between gateways, in CBOR over WebSocket.

use super::cut_off::CutOffNodes;
use super::directory::NodeEntry;
use super::load_entry::LoadEntry;
use super::load_entry::TeamRequests;
use super::streams::StreamRecords;
use crate::catalog::BackendServer;
use crate::catalog::Evacuations;
use crate::catalog::SeenVersion;
use crate::catalog::ServerEntry;
use crate::catalog::VersionHistory;
use crate::clock::BootInstant;
use crate::quarantine::CrashRecord;
use crate::quarantine::SightingRecord;
use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::Read;
use std::io::Write;
use std::time::Duration;

/// Version of what gateways say to each other, raised with each ability that the build before lacks. Builds that don't
/// tell theirs have version 0. `docs/PROTOCOLS.md` lists the versions.
pub(super) const PROTOCOL: u32 = 4;
/// First version whose responses tell which data centres are evacuated.
pub(super) const EVACUATIONS_PROTOCOL: u32 = 2;

/// First version that takes records of streams as soon as they begin, and needs none in sync requests.
pub(super) const STREAM_PUSH_PROTOCOL: u32 = 4;

/// Maximum size of a decompressed message; bounds the memory that a corrupt one can use.
const MAX_UNPACKED_BYTES: u64 = 32 * 1024 * 1024;

/// A team with more than a fair share of a service, as sent between gateways.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct SyncedHeavyTeam {
    pub(super) service: String,
    pub(super) team: String,
    /// Its part of the service's requests, in thousandths.
    pub(super) share_milli: u32,
    /// Part down to which heavy teams are rejected first, in thousandths.
    pub(super) floor_milli: u32,
}

/// Total load that all gateways of one data centre put on each backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct CentreLoads {
    /// Name of the data centre.
    pub(super) data_centre: String,
    /// Sorted by backend server name.
    pub(super) loads: Vec<LoadEntry>,
    /// Requests of teams in the data centre, for a relay.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) teams: Vec<TeamRequests>,
}

/// Sync request that a gateway sends to another one a few times a second.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct SyncRequest {
    /// Name of the requesting node.
    pub(super) node: String,
    /// Data centre of the requesting node.
    pub(super) data_centre: String,
    /// Loads of the requesting node alone, or of its whole data centre if it is a relay that sends the request
    /// to the relay of another data centre.
    pub(super) loads: Vec<LoadEntry>,
    /// Requests of teams at the same nodes; empty where shares of teams are not asked for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) teams: Vec<TeamRequests>,
    /// Whether the requesting node cannot read the store; it then gets the full catalog state from a node of any data
    /// centre.
    #[serde(default, rename = "is_cut_off")]
    pub(super) is_disconnected: bool,
    /// Services of which the requesting node or, in a request to the relay of another data centre, nodes of its data centre
    /// reach no server.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) cut_off: Vec<CutOffNodes>,
    /// Version of the configuration in force at the requesting node.
    pub(super) config_version: Option<u64>,
    /// Stamp of the last server list that the requesting node received on this connection.
    pub(super) servers_stamp: Option<Stamp>,
    /// Stamp of the last node list that the requesting node received on this connection.
    pub(super) nodes_stamp: Option<Stamp>,
    /// Streams that began at the requesting node or, in a request to the relay of another data centre, anywhere in the
    /// requesting node's data centre.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) streams: Vec<StreamRecords>,
    /// Whether the requesting node has followed the server list for so short a time that it asks for its history.
    #[serde(default)]
    pub(super) wants_version_history: bool,
    /// What the requesting node or those that it serves as relay have learned about crashes of servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) crash_records: Vec<CrashRecord>,
    /// What they saw of servers that seem to have crashed, and of those that were lost with them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) sightings: Vec<SightingRecord>,
    /// Number of the responding node's first record about crashes that the requesting node has not received on this
    /// connection; `None` if it wants none.
    #[serde(default)]
    pub(super) next_crash_record: Option<u64>,
    /// [`PROTOCOL`] of the requesting node.
    #[serde(default)]
    pub(super) protocol: u32,
    /// Entry of the requesting node while the node list that it has received lacks it. The relay registers it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) entry: Option<NodeEntry>,
    /// Whether the requesting node, a relay, wants what the responding node has read from the store.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(super) wants_catalog: bool,
    /// Whether the requesting node leaves now, so that the relay removes its entry.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(super) is_leaving: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// What a node does in its data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) enum Role {
    /// It reads the store and sums the loads for all nodes there.
    Relay,
    /// It syncs from the node of this name.
    Member(String),
    /// It has just started, and asks the node of this name first, if any.
    Undecided(Option<String>),
}

/// Loads as sent to a node that holds a server list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct ListedLoads {
    /// Requests in flight at each server of the list, in its order.
    in_flight: Vec<u32>,
    /// Loads that need more than a number: those of servers with limits, or on no list. Sorted by server name.
    others: Vec<LoadEntry>,
}

impl ListedLoads {
    /// Converts `loads`, sorted by server name, for a node that holds the list `servers`.
    pub(super) fn new(loads: Vec<LoadEntry>, servers: &[BackendServer]) -> Self {
        let mut in_flight = vec![0; servers.len()];
        let mut others = Vec::new();
        for load in loads {
            let index = servers.binary_search_by(|server| server.id.cmp(&load.server));
            match index {
                Ok(index) if load.requests.is_none() => in_flight[index] = load.in_flight,
                _ => others.push(load),
            }
        }
        Self { in_flight, others }
    }

    /// Returns the loads, sorted by server name; `servers` are the names on the list.
    pub(super) fn into_entries(self, servers: &[String]) -> Vec<LoadEntry> {
        let listed = servers.iter().zip(self.in_flight);
        let listed = listed
            .filter(|(_, in_flight)| *in_flight > 0)
            .map(|(server, in_flight)| LoadEntry {
                server: server.clone(),
                in_flight,
                requests: None,
                pace: None,
                speed: None,
            });
        let mut entries: Vec<LoadEntry> = listed.chain(self.others).collect();
        entries.sort_by(|a, b| a.server.cmp(&b.server));
        entries
    }
}

/// The software versions on the server list and those that left it, as sent between gateways.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct SyncedVersionHistory {
    /// Time for which the responding node has followed the list without a gap.
    pub(super) known_for_ms: u64,
    /// Service, version and time in milliseconds since the version was last listed.
    pub(super) versions: Vec<(String, Option<String>, u64)>,
}

impl SyncedVersionHistory {
    /// Converts the history for a message; returns `None` if the list has not been read.
    pub(super) fn new(history: &VersionHistory, now: BootInstant) -> Option<Self> {
        let age_ms = |at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let former = history.former().iter().map(|former| {
            let age_ms = age_ms(former.last_listed_at);
            (
                former.service.clone(),
                former.software_version.clone(),
                age_ms,
            )
        });
        let listed = history.listed().iter().cloned();
        let listed = listed.map(|(service, software_version)| (service, software_version, 0));
        Some(Self {
            known_for_ms: age_ms(history.known_since()?),
            versions: former.chain(listed).collect(),
        })
    }

    /// Converts the history received at `now`: when the peer began to follow the list, and when each version was last
    /// listed. The message was under way, so all are taken for later than they were.
    pub(super) fn into_parts(self, now: BootInstant) -> (BootInstant, Vec<SeenVersion>) {
        let at = |age_ms| now.before(Duration::from_millis(age_ms));
        let versions = self.versions.into_iter();
        let former = versions.map(|(service, software_version, age_ms)| SeenVersion {
            service,
            software_version,
            last_listed_at: at(age_ms),
        });
        (at(self.known_for_ms), former.collect())
    }
}

/// Version of a list held by one process; versions of different processes are not comparable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct Stamp {
    /// Unix time of the process's start in milliseconds.
    #[serde(rename = "born_ms")]
    pub(super) start_time_ms: u64,
    pub(super) version: u64,
}

/// A backend server as sent between gateways.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct SyncedServer {
    pub(super) id: String,
    pub(super) entry: ServerEntry,
    /// Time until the end of the server's grace period at the responding node, if it is in one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) grace_left_ms: Option<u64>,
}

/// Response to a [`SyncRequest`].
///
/// Ages are computed when the response is built. The requester subtracts them from the time at which it sent the
/// request, which is earlier, so it never takes the data for newer than it is.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct SyncResponse {
    /// Whether the responding node's own reads of the store are currently failing.
    #[serde(rename = "is_cut_off")]
    pub(super) is_disconnected: bool,
    /// Time since the responding node's configuration was last verified as current.
    pub(super) config_age_ms: Option<u64>,
    /// Version of the configuration in force at the responding node.
    pub(super) config_version: Option<u64>,
    /// Offset up to which the responding node has read the configuration source.
    pub(super) config_position: Option<u64>,
    /// Era of that offset.
    #[serde(default)]
    pub(super) config_era: u64,
    /// Configuration encoded by [`pack`], if newer than the requester's. It is packed once and shared by all responses.
    pub(super) config: Option<Bytes>,
    /// Evacuations of data centres; `None` if the responding node has never known of one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) evacuations: Option<SyncedEvacuations>,
    /// Time since the start of the read from which the responding node's server list comes. That read may have been
    /// another node's.
    pub(super) servers_age_ms: Option<u64>,
    /// Offset in the list's source that corresponds to that read.
    pub(super) servers_position: Option<u64>,
    /// Era of that offset.
    #[serde(default)]
    pub(super) servers_era: u64,
    /// Stamp of the responding node's server list.
    pub(super) servers_stamp: Stamp,
    /// Complete list of backend servers, draining ones included, if its stamp differs from the requester's.
    pub(super) servers: Option<Vec<SyncedServer>>,
    /// The same list encoded by [`pack`], for a requester of protocol 1 while no server is in its grace period. It is packed
    /// once and shared by all responses.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) packed_servers: Option<Bytes>,
    /// Stamp of the responding node's list of gateways.
    pub(super) nodes_stamp: Stamp,
    /// List of gateways, if its stamp differs from the requester's and the requester has protocol 0.
    pub(super) nodes: Option<Vec<NodeEntry>>,
    /// The same list encoded by [`pack`], for a requester of protocol 1. It is packed once and shared by all responses.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) packed_nodes: Option<Bytes>,
    /// Loads of the responding node's data centre, or the sum of those of all data centres for a node that it serves; empty
    /// with `listed_loads`.
    pub(super) centres: Vec<CentreLoads>,
    /// Sum of the loads of all data centres by the list of `servers_stamp`, for a node of protocol 1 that it serves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) listed_loads: Option<ListedLoads>,
    /// Servers that work slower than the others of their service, with their time as a multiple of the others' in
    /// thousandths, by the answers to all gateways. Sorted by name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) slow_servers: Vec<(String, u32)>,
    /// Nodes that reach no server of a service: those of the responding node's data centre, or of all for a node that it serves.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) cut_off: Vec<CutOffNodes>,
    /// Teams with more than a fair share of a service, sorted by service and team.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) heavy_teams: Vec<SyncedHeavyTeam>,
    /// Records about crashes of servers from the requested number on.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) crash_records: Vec<CrashRecord>,
    /// What was seen of servers, among the same records.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) sightings: Vec<SightingRecord>,
    /// Number of the record that follows them.
    #[serde(default)]
    pub(super) next_crash_record: u64,
    /// Earlier software versions on the server list, if the requester asks for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) version_history: Option<SyncedVersionHistory>,
    /// [`PROTOCOL`] of the responding node.
    #[serde(default)]
    pub(super) protocol: u32,
    /// What the responding node does in its data centre; `None` in protocol 0.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) role: Option<Role>,
    /// Whether the responding node knows the held parts of prompts; `None` in protocol 0.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) knows_holds: Option<bool>,
}

/// The evacuated data centres, as sent between gateways.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct SyncedEvacuations {
    /// Offset of the configuration source up to which they are known.
    pub(super) offset: u64,
    /// Era of that offset.
    pub(super) era: u64,
    /// Sorted by name.
    pub(super) data_centres: Vec<String>,
}

impl SyncedEvacuations {
    /// Converts `evacuations` for a message; returns `None` if there has been none.
    pub(super) fn new(evacuations: &Evacuations) -> Option<Self> {
        let position = evacuations.position().filter(|_| evacuations.has_any())?;
        let centres = evacuations.evacuated().iter();
        Some(Self {
            offset: position.offset,
            era: position.era,
            data_centres: centres.map(|centre| centre.data_centre.clone()).collect(),
        })
    }
}

/// Encodes a message as CBOR.
pub(super) fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, String> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).map_err(|err| err.to_string())?;
    Ok(buf)
}

/// Decodes a CBOR message.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    ciborium::from_reader(bytes).map_err(|err| err.to_string())
}

/// Encodes and compresses a large message.
///
/// Without compression, a configuration of 1,800 routes takes over half a second on a link of 10 Mbit/s.
pub(super) fn pack<T: Serialize>(message: &T) -> Result<Vec<u8>, String> {
    // The encoder writes few bytes at a time, each of which would cost the compressor a call.
    let bytes = encode(message)?;
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&bytes).map_err(|err| err.to_string())?;
    encoder.finish().map_err(|err| err.to_string())
}

/// Decompresses and decodes a large message.
pub(super) fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let mut unpacked = Vec::new();
    let mut limited = ZlibDecoder::new(bytes).take(MAX_UNPACKED_BYTES);
    // Reads to the end of the stream because the checksum that detects a truncated message is stored there.
    limited
        .read_to_end(&mut unpacked)
        .map_err(|err| err.to_string())?;
    decode(&unpacked)
}
