//! Accepts connections from other gateways and answers their sync requests, in one task per connection.

use super::directory::NodeEntry;
use super::load_entry::LoadEntry;
use super::message::CentreLoads;
use super::message::ListedLoads;
use super::message::PROTOCOL;
use super::message::SyncRequest;
use super::message::SyncResponse;
use super::message::SyncedEvacuations;
use super::message::SyncedVersionHistory;
use super::message::decode;
use super::message::encode;
use super::node::Shared;
use super::server_list::synced_servers;
use super::stream_push::StreamPush;
use super::stream_push::StreamPushResponse;
use super::streams::RecordSource;
use super::streams::StreamLookup;
use super::streams::StreamLookupResponse;
use super::tunnel;
use super::tunnel::TunnelRequest;
use crate::clock::BootInstant;
use crate::quarantine;
use crate::quarantine::Records;
use futures_util::SinkExt;
use futures_util::StreamExt;
use slog::debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;

/// Time without a request after which a connection is closed. By then the requester has given it up and opened
/// a new one. Also the timeout for the WebSocket handshake and for sending a response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, which avoids a busy loop while the process is out of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Age of the server list from which it is told which software versions may still be used by it.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_500);

/// Sources of the records about crashes that a member is sent.
const ALL_RECORDS: [quarantine::RecordSource; 3] = [
    quarantine::RecordSource::Own,
    quarantine::RecordSource::Member,
    quarantine::RecordSource::Relay,
];

/// Accepts connections on `listener` until the task is aborted.
pub(super) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(serve(Arc::clone(&shared), stream, peer));
            }
            Err(err) => {
                slog::warn!(shared.logs.log(), "accept failed"; "purpose" => "peers", "cause" => %err);
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream, peer: SocketAddr) {
    if let Err(cause) = answer_requests(&shared, stream, peer).await {
        debug!(shared.logs.log(), "peer connection ended"; "cause" => cause);
    }
}

async fn answer_requests(
    shared: &Shared,
    stream: TcpStream,
    peer: SocketAddr,
) -> Result<(), String> {
    stream.set_nodelay(true).map_err(|err| err.to_string())?;
    let accepting = tokio_tungstenite::accept_async(stream);
    let accepted = tokio::time::timeout(IDLE_TIMEOUT, accepting).await;
    let socket = accepted.map_err(|_| "WebSocket handshake timed out".to_owned())?;
    let mut socket = socket.map_err(|err| err.to_string())?;
    loop {
        let received = tokio::time::timeout(IDLE_TIMEOUT, socket.next()).await;
        let message = match received.map_err(|_| "quiet".to_owned())? {
            None => return Ok(()),
            Some(message) => message.map_err(|err| err.to_string())?,
        };
        let Message::Binary(bytes) = message else {
            continue;
        };
        let response = match decode::<SyncRequest>(&bytes) {
            Ok(request) => encode(&respond(shared, request))?,
            Err(cause) => {
                if let Ok(request) = decode::<TunnelRequest>(&bytes) {
                    return tunnel::serve(shared, socket, peer.ip(), request).await;
                }
                if let Ok(push) = decode::<StreamPush>(&bytes) {
                    encode(&keep_records(shared, push))?
                } else {
                    let lookup: StreamLookup = decode(&bytes).map_err(|_| cause)?;
                    let software_version = shared.streams.find(lookup.stream, BootInstant::now());
                    encode(&StreamLookupResponse { software_version })?
                }
            }
        };
        let sending = socket.send(Message::binary(response));
        let sent = tokio::time::timeout(IDLE_TIMEOUT, sending).await;
        sent.map_err(|_| "timed out sending the response".to_owned())?
            .map_err(|err| err.to_string())?;
    }
}

/// Keeps records of streams that have just begun at another gateway.
fn keep_records(shared: &Shared, push: StreamPush) -> StreamPushResponse {
    let source = if push.data_centre == shared.own.data_centre {
        RecordSource::Member
    } else {
        RecordSource::OtherCentre
    };
    let now = BootInstant::now();
    shared
        .streams
        .record_received(push.pushed_streams, source, now);
    StreamPushResponse { is_kept: true }
}

/// Records the loads of a sync request and builds the response.
pub(super) fn respond(shared: &Shared, request: SyncRequest) -> SyncResponse {
    let now = BootInstant::now();
    // A disconnected node of another data centre is served like the nodes of this one, and its loads count here.
    let is_member = request.data_centre == shared.own.data_centre || request.is_disconnected;
    if is_member {
        shared
            .load_table
            .record_member(&request.node, request.loads, now);
        shared
            .team_table
            .record_member(&request.node, request.teams, now);
        shared
            .cut_off_table
            .record_member(&request.node, request.cut_off, now);
    } else {
        shared
            .load_table
            .record_centre(&request.data_centre, request.loads, now);
        shared
            .team_table
            .record_centre(&request.data_centre, request.teams, now);
        shared
            .cut_off_table
            .record_centre(&request.data_centre, request.cut_off, now);
    }
    if let Some(entry) = request.entry {
        shared.apply_entry(&request.node, entry, request.is_leaving);
    }
    let source = if is_member {
        RecordSource::Member
    } else {
        RecordSource::OtherCentre
    };
    shared.streams.record_received(request.streams, source, now);
    let received = Records {
        crashes: request.crash_records,
        sightings: request.sightings,
    };
    let (records, next_crash_record) = exchange_crash_records(
        shared,
        (received, request.next_crash_record),
        is_member,
        now,
    );
    let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let config = shared.catalog.config_snapshot(now);
    let config_version = config
        .configuration
        .as_ref()
        .map(|configuration| configuration.version());
    let list = shared.catalog.list_snapshot();
    let list_age = list.read_at.map(|read_at| now.since(read_at));
    let servers_stamp = shared.stamp(list.version);
    let nodes_stamp = shared.stamp(shared.nodes.version());
    // The relay of another data centre gets only the loads if it reads the store itself.
    let wants_catalog = is_member || request.wants_catalog;
    let wants_servers = wants_catalog && request.servers_stamp != Some(servers_stamp);
    let wants_nodes = is_member && request.nodes_stamp != Some(nodes_stamp);
    let wants_config = wants_catalog && config_version > request.config_version;
    // A list that has changed is no proof of what came and went before it, nor is one that can't be read of what it still uses.
    let is_old = list_age.is_none_or(|age| age > MAX_LIST_AGE);
    let tells_history = wants_servers || is_old || list.history.has_recent_change(now);
    let version_history = (request.wants_version_history || tells_history)
        .then(|| SyncedVersionHistory::new(&list.history, now));
    let is_latest = request.protocol > 0;
    // The time left of grace periods differs from response to response.
    let may_pack = wants_servers && is_latest && list.grace_ends.is_empty();
    let packed_servers = may_pack
        .then(|| {
            let servers = || synced_servers(&list, now);
            shared
                .packed_servers
                .get(list.version, servers, &shared.logs)
        })
        .flatten();
    let (centres, listed_loads) = if !is_member {
        (
            vec![CentreLoads {
                teams: shared.team_table.own_centre(now),
                ..shared.centre_loads(shared.load_table.own_centre(now))
            }],
            None,
        )
    } else if is_latest {
        let loads = ListedLoads::new(shared.load_table.all(now), &list.servers);
        (Vec::new(), Some(loads))
    } else {
        (vec![shared.centre_loads(shared.load_table.all(now))], None)
    };
    SyncResponse {
        is_disconnected: shared.catalog.is_disconnected(),
        config_age_ms: config.age.map(millis),
        config_version,
        config_position: config.position.map(|position| position.offset),
        config_era: config.position.unwrap_or_default().era,
        config: config
            .configuration
            .filter(|_| wants_config)
            .and_then(|configuration| shared.packed_configuration(&configuration)),
        evacuations: SyncedEvacuations::new(&config.evacuations),
        servers_age_ms: list_age.map(millis),
        servers_position: list.position.map(|position| position.offset),
        servers_era: list.position.unwrap_or_default().era,
        servers_stamp,
        servers: (wants_servers && packed_servers.is_none()).then(|| synced_servers(&list, now)),
        packed_servers,
        nodes_stamp,
        nodes: (wants_nodes && !is_latest).then(|| shared.nodes.nodes().0),
        packed_nodes: (wants_nodes && is_latest)
            .then(|| shared.nodes.packed())
            .flatten(),
        crash_records: records.crashes,
        sightings: records.sightings,
        next_crash_record,
        centres,
        listed_loads,
        slow_servers: shared
            .slow_servers()
            .into_iter()
            .map(|(server, slowness)| (server, (slowness * 1_000.0) as u32))
            .collect(),
        cut_off: if is_member {
            shared.cut_off_table.all(now)
        } else {
            shared.cut_off_table.own_centre(now)
        },
        heavy_teams: shared.synced_heavy_teams(),
        version_history: version_history.flatten(),
        protocol: PROTOCOL,
        role: Some(shared.role()),
        knows_holds: Some(shared.quarantine.is_told()),
    }
}

impl Shared {
    /// Returns `loads` as those of this data centre.
    fn centre_loads(&self, loads: Vec<LoadEntry>) -> CentreLoads {
        CentreLoads {
            data_centre: self.own.data_centre.clone(),
            loads,
            teams: Vec::new(),
        }
    }

    /// Applies what a node of this data centre says of its start or end.
    fn apply_entry(&self, requester: &str, entry: NodeEntry, is_leaving: bool) {
        if entry.name != requester || entry.data_centre != self.own.data_centre {
            return;
        }
        if is_leaving {
            self.nodes.remove(&entry);
        } else {
            self.nodes.add(entry);
        }
    }
}

/// Applies the records about crashes that a request brought, and returns those that the requester wants, with the number
/// to continue from.
fn exchange_crash_records(
    shared: &Shared,
    (records, next): (Records, Option<u64>),
    is_member: bool,
    now: BootInstant,
) -> (Records, u64) {
    let source = if is_member {
        quarantine::RecordSource::Member
    } else {
        quarantine::RecordSource::Relay
    };
    shared.quarantine.apply(records, source, now);
    match next {
        Some(next) => shared.quarantine.records_from(next, &ALL_RECORDS, now),
        None => (Records::default(), 0),
    }
}
