//! Nodes that start, stop and leave, and peers whose connections, frames or records are refused.

use super::fixtures::TestNode;
use super::fixtures::directory;
use super::fixtures::free_address;
use super::fixtures::key;
use super::fixtures::list;
use super::fixtures::node_settings;
use super::fixtures::settings;
use super::fixtures::wait;
use crate::border::generated::gossip::Message;
use crate::membership::BackendLoad;
use crate::membership::HostDirectory;
use crate::membership::dial;
use crate::membership::link::MAX_FRAME_BYTES;
use crate::membership::seal::Seal;
use crate::membership::seal::Side;
use crate::membership::shared::Shared;
use crate::operations::Metrics;
use crate::timeline::Timeline;
use futures_util::SinkExt;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;

async fn start_three_nodes() -> (Arc<HostDirectory>, [TestNode; 3]) {
    let addresses = [free_address(), free_address(), free_address()];
    let nodes = [
        ("n1", addresses[0]),
        ("n2", addresses[1]),
        ("n3", addresses[2]),
    ];
    let hosts = HostDirectory::new();
    let one = |i: usize| TestNode::start(nodes[i].0, nodes[i].1, key('1'), &hosts);
    let started = [one(0).await, one(1).await, one(2).await];
    hosts.replace(list(1, &nodes));
    for node in &started {
        node.wait_for_view(&["n1", "n2", "n3"]).await;
    }
    (hosts, started)
}

/// Opens a connection to `to` as a node named `from` that has the deployment's key.
async fn open_connection(from: &str, to: &TestNode) -> (WebSocketStream<TcpStream>, Seal) {
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let node = node_settings(from, address, key('1'));
    let shared = Shared::new(
        &settings(),
        &node,
        1,
        HostDirectory::new(),
        Arc::new(Timeline::silent()),
        Arc::new(Metrics::new()),
    );
    let view = Arc::clone(&directory(&[(&to.name, to.address)]).subscribe().borrow());
    let (socket, nonces) = dial::handshake(&shared, &view.nodes()[0]).await.unwrap();
    let seal = Seal::new(&key('1'), Side::Dialer, &nonces.0, &nonces.1);
    (socket, seal)
}

/// Encodes a message without records, loads or host changes.
fn encode_message(from: &str, incarnation: u64) -> Vec<u8> {
    let message = Message {
        v: 1,
        f: from.to_owned(),
        i: incarnation,
        h: 1_000,
        t: String::new(),
        d: None,
        c: None,
        x: None,
        r: Vec::new(),
        l: Vec::new(),
        o: Vec::new(),
    };
    let mut buf = Vec::new();
    ciborium::into_writer(&message, &mut buf).unwrap();
    buf
}

async fn send(socket: &mut WebSocketStream<TcpStream>, frame: Vec<u8>) {
    // The receiver may close the connection before the whole frame is sent.
    let _ = socket
        .send(tungstenite::Message::Binary(frame.into()))
        .await;
}

#[tokio::test]
async fn a_killed_node_is_removed_from_the_views_while_still_listed_and_is_added_after_a_restart() {
    let (hosts, [n1, n2, n3]) = start_three_nodes().await;
    let address = n3.address;

    n3.kill().await;
    n1.wait_for_view(&["n1", "n2"]).await;
    n2.wait_for_view(&["n1", "n2"]).await;

    let n3 = TestNode::start("n3", address, key('1'), &hosts).await;
    for node in [&n1, &n2, &n3] {
        node.wait_for_view(&["n1", "n2", "n3"]).await;
    }
}

#[tokio::test]
async fn a_leaving_node_is_removed_from_the_views_while_it_still_runs() {
    let (_hosts, [n1, n2, n3]) = start_three_nodes().await;

    n3.members.leave();

    for node in [&n1, &n2, &n3] {
        node.wait_for_view(&["n1", "n2"]).await;
    }
}

#[tokio::test]
async fn a_leaving_node_without_others_stays_in_its_own_view_so_that_it_can_finish() {
    let address = free_address();
    let hosts = directory(&[("n1", address)]);
    let n1 = TestNode::start("n1", address, key('1'), &hosts).await;
    n1.wait_for_view(&["n1"]).await;
    wait(|| n1.readiness.unmet().is_empty()).await;

    n1.members.leave();

    n1.wait_for_view(&["n1"]).await;
}

#[tokio::test]
async fn loads_reach_the_other_nodes_of_the_region() {
    let (_hosts, [n1, n2, _n3]) = start_three_nodes().await;
    let load = BackendLoad {
        service: "assistant".to_owned(),
        backend: "e1".to_owned(),
        load: 7,
    };

    n1.members.loads().publish(std::slice::from_ref(&load));
    n1.members.configs().publish(12, 34);

    wait(|| n2.members.loads().loads("assistant") == [load.clone()]).await;
    wait(|| {
        n2.members
            .configs()
            .get("n1")
            .is_some_and(|c| c.version == 12)
    })
    .await;
}

#[tokio::test]
async fn a_node_with_another_key_gets_no_connection_and_is_counted() {
    let addresses = [free_address(), free_address()];
    let hosts = directory(&[("n1", addresses[0]), ("n2", addresses[1])]);
    let n1 = TestNode::start("n1", addresses[0], key('1'), &hosts).await;
    let n2 = TestNode::start("n2", addresses[1], key('2'), &hosts).await;

    wait(|| n1.refusals("stranger") > 0 && n2.refusals("stranger") > 0).await;

    assert_eq!(n1.viewed_nodes(), ["n1"]);
    assert_eq!(n2.viewed_nodes(), ["n2"]);
}

#[tokio::test]
async fn a_connection_that_reaches_another_node_is_refused_as_misdirected() {
    // The host list still has n2 at the address that n1 uses.
    let address = free_address();
    let nodes = [("n1", address), ("n2", address), ("n3", free_address())];
    let hosts = directory(&nodes);
    let n1 = TestNode::start("n1", address, key('1'), &hosts).await;
    let n3 = TestNode::start("n3", nodes[2].1, key('1'), &hosts).await;

    wait(|| n1.refusals("misdirected") > 0).await;

    n3.wait_for_view(&["n1", "n3"]).await;
    n1.wait_for_view(&["n1", "n3"]).await;
}

#[tokio::test]
async fn an_oversized_frame_ends_its_connection_and_is_counted() {
    let (_hosts, [n1, _n2, _n3]) = start_three_nodes().await;
    let (mut socket, mut seal) = open_connection("n9", &n1).await;

    let frame = seal.seal(vec![0; MAX_FRAME_BYTES]);
    send(&mut socket, frame).await;

    wait(|| n1.refusals("oversized") == 1).await;
}

#[tokio::test]
async fn an_old_process_of_a_node_is_refused_and_counted() {
    let (_hosts, [n1, _n2, _n3]) = start_three_nodes().await;
    let (mut socket, mut seal) = open_connection("n2", &n1).await;

    // The running n2 has its start time in milliseconds as incarnation, so 1 is that of an older process.
    let frame = seal.seal(encode_message("n2", 1));
    send(&mut socket, frame).await;

    wait(|| n1.refusals("old_incarnation") == 1).await;
    assert_eq!(n1.viewed_nodes(), ["n1", "n2", "n3"]);
}

#[tokio::test]
async fn a_recorded_frame_is_refused_on_another_connection_and_counted() {
    let (_hosts, [n1, _n2, _n3]) = start_three_nodes().await;
    let (_, mut seal) = open_connection("n9", &n1).await;
    let recorded = seal.seal(encode_message("n9", 1));
    let (mut socket, _) = open_connection("n9", &n1).await;

    send(&mut socket, recorded).await;

    wait(|| n1.refusals("stranger") == 1).await;
}

#[tokio::test]
async fn messages_that_name_another_sender_are_refused() {
    let (_hosts, [n1, _n2, _n3]) = start_three_nodes().await;
    let (mut socket, mut seal) = open_connection("n9", &n1).await;

    let frame = seal.seal(encode_message("n2", u64::MAX));
    send(&mut socket, frame).await;

    wait(|| n1.refusals("malformed") == 1).await;
}

/// One node reads a change of the host list from the platform, and the other receives it by gossip. If it did not, a
/// large fleet, whose nodes poll rarely, would work with outdated lists.
#[tokio::test]
async fn a_change_of_the_host_list_is_sent_to_other_nodes() {
    let addresses = [free_address(), free_address()];
    let mut nodes = vec![("n1", addresses[0]), ("n2", addresses[1])];
    let hosts = [directory(&nodes), directory(&nodes)];
    let n1 = TestNode::start("n1", addresses[0], key('1'), &hosts[0]).await;
    let n2 = TestNode::start("n2", addresses[1], key('1'), &hosts[1]).await;
    n1.wait_for_view(&["n1", "n2"]).await;
    n2.wait_for_view(&["n1", "n2"]).await;

    nodes.push(("n3", free_address()));
    hosts[0].replace(list(2, &nodes));

    wait(|| hosts[1].version() == Some(2)).await;
    assert_eq!(
        *hosts[1].subscribe().borrow(),
        *hosts[0].subscribe().borrow()
    );
}
