//! Answers the questions of other gateways, one task a connection.

use super::message::Ask;
use super::message::Tell;
use super::message::ToldServer;
use super::message::decode;
use super::message::encode;
use super::node::Shared;
use crate::clock::Moment;
use futures_util::SinkExt;
use futures_util::StreamExt;
use slog::debug;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;

/// Time without a question after which a connection is closed: the asker has a new one by then.
const QUIET_LIMIT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

pub(super) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(Arc::clone(&shared), stream));
            }
            Err(err) => {
                slog::warn!(shared.logs.log(), "accept failed"; "purpose" => "peers", "cause" => %err);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    if let Err(cause) = answer_all(&shared, stream).await {
        debug!(shared.logs.log(), "peer connection ended"; "cause" => cause);
    }
}

async fn answer_all(shared: &Shared, stream: TcpStream) -> Result<(), String> {
    stream.set_nodelay(true).map_err(|err| err.to_string())?;
    let accepting = tokio_tungstenite::accept_async(stream);
    let accepted = tokio::time::timeout(QUIET_LIMIT, accepting).await;
    let socket = accepted.map_err(|_| "no opening".to_owned())?;
    let mut socket = socket.map_err(|err| err.to_string())?;
    loop {
        let received = tokio::time::timeout(QUIET_LIMIT, socket.next()).await;
        let message = match received.map_err(|_| "quiet".to_owned())? {
            None => return Ok(()),
            Some(message) => message.map_err(|err| err.to_string())?,
        };
        let Message::Binary(bytes) = message else {
            continue;
        };
        let ask: Ask = decode(&bytes)?;
        let tell = encode(&tell(shared, ask))?;
        let sending = socket.send(Message::binary(tell));
        let sent = tokio::time::timeout(QUIET_LIMIT, sending).await;
        sent.map_err(|_| "not read".to_owned())?
            .map_err(|err| err.to_string())?;
    }
}

/// Takes a question in and makes its answer.
pub(super) fn tell(shared: &Shared, ask: Ask) -> Tell {
    let now = Moment::now();
    let is_member = ask.data_centre == shared.own.data_centre || ask.is_disconnected;
    if is_member {
        shared.board.note_member(&ask.node, ask.loads, now);
    } else {
        shared.board.note_centre(&ask.data_centre, ask.loads, now);
    }
    let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let configuration = shared.catalog.configuration();
    let config_version = configuration
        .as_ref()
        .map(|configuration| configuration.version());
    let (servers, list_version) = shared.catalog.listed();
    let servers_stamp = shared.stamp(list_version);
    let (nodes, nodes_version) = shared.nodes();
    let nodes_stamp = shared.stamp(nodes_version);
    // The relay of another data centre reads for itself; it wants the loads alone.
    let wants_servers = is_member && ask.servers_stamp != Some(servers_stamp);
    let wants_nodes = is_member && ask.nodes_stamp != Some(nodes_stamp);
    let wants_config = is_member && config_version > ask.config_version;
    Tell {
        is_disconnected: shared.catalog.is_disconnected(),
        config_age_ms: shared.catalog.config_age(now).map(millis),
        config_version,
        config_position: shared.catalog.config_position(),
        config: configuration
            .filter(|_| wants_config)
            .and_then(|configuration| shared.packed(&configuration)),
        servers_age_ms: shared.catalog.list_age(now).map(millis),
        servers_position: shared.catalog.servers_position(),
        servers_stamp,
        servers: wants_servers.then(|| {
            let told = servers.iter().map(|server| ToldServer {
                id: server.id.clone(),
                entry: server.entry.clone(),
            });
            told.collect()
        }),
        nodes_stamp,
        nodes: wants_nodes.then_some(nodes),
        centres: shared.board.all_centres(&shared.own.data_centre, now),
    }
}
