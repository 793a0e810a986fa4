//! Counts of tunnels, refusals that are remembered, and a tunnel whose helper breaks off.

use crate::catalog::BackendServer;
use crate::catalog::ServerEntry;
use crate::clock::BootInstant;
use crate::decide::RefusalScope;
use crate::peers::NodeEntry;
use crate::peers::tunnel_stream::TunnelStream;
use crate::peers::tunnel_table::CarriedTunnel;
use crate::peers::tunnel_table::TunnelTable;
use futures_util::SinkExt;
use futures_util::StreamExt;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

/// Returns both ends of a tunnel: the requester's as a stream of bytes, and the helper's.
async fn tunnel(table: &TunnelTable) -> (TunnelStream, WebSocketStream<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connecting = TcpStream::connect(address);
    let (stream, accepted) = tokio::join!(connecting, listener.accept());
    let url = format!("ws://{address}/peers");
    let (requester, helper) = tokio::join!(
        tokio_tungstenite::client_async(url, stream.unwrap()),
        tokio_tungstenite::accept_async(accepted.unwrap().0),
    );
    let stream = TunnelStream::new(requester.unwrap().0, table.count_open("h-1"));
    (stream, helper.unwrap())
}

pub(super) fn server(id: &str, service: &str) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        entry: ServerEntry {
            service: service.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            data_centre: "x".to_owned(),
            software_version: None,
            slots: 8,
            is_draining: false,
            cold_left: Duration::ZERO,
            sequence: 1,
            start_time_ms: 1,
        },
    }
}

pub(super) fn node(name: &str, data_centre: &str) -> NodeEntry {
    NodeEntry {
        name: name.to_owned(),
        data_centre: data_centre.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 7340)),
        start_time_ms: 1,
        link_mbps: 1_000,
    }
}

fn has_refused(table: &TunnelTable, helper: &str, to: &BackendServer, now: BootInstant) -> bool {
    table.view(&node(helper, "x"), to, now).has_refused
}

fn host(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, last))
}

#[tokio::test]
async fn bytes_pass_a_tunnel_in_both_directions() {
    let table = TunnelTable::default();
    let (mut stream, mut helper) = tunnel(&table).await;

    stream.write_all(b"ping").await.unwrap();
    stream.flush().await.unwrap();
    let sent = helper.next().await.unwrap().unwrap();
    helper.send(Message::binary(&b"po"[..])).await.unwrap();
    helper.send(Message::binary(&b"ng"[..])).await.unwrap();
    helper.send(Message::Close(None)).await.unwrap();
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.unwrap();

    assert_eq!(sent.into_data(), &b"ping"[..]);
    assert_eq!(received, b"pong");
}

// An answer that ends with its connection looked complete when the helper had died.
#[tokio::test]
async fn a_tunnel_whose_helper_dies_does_not_end_like_a_whole_answer() {
    let table = TunnelTable::default();
    let (mut stream, mut helper) = tunnel(&table).await;

    helper.send(Message::binary(&b"part"[..])).await.unwrap();
    drop(helper);
    let mut received = Vec::new();
    let result = stream.read_to_end(&mut received).await;

    assert_eq!(received, b"part");
    assert!(result.is_err());
}

#[tokio::test]
async fn tunnels_are_counted_until_they_are_closed() {
    let table = TunnelTable::default();

    let (stream, _helper) = tunnel(&table).await;
    let open = table.open_through("h-1");
    drop(stream);

    assert_eq!(open, 1);
    assert_eq!(table.open_through("h-1"), 0);
}

#[test]
fn a_helper_carries_no_more_than_its_room() {
    let table = TunnelTable::default();
    let carried: Vec<_> = (0..300).filter_map(|_| table.carry_for(host(2))).collect();

    let other = table.carry_for(host(3));

    assert_eq!(carried.len(), 256);
    assert!(other.is_none());
    assert_eq!(table.carried(), 256);
    carried.into_iter().for_each(CarriedTunnel::close);
    assert_eq!(table.carried(), 0);
    assert!(table.carry_for(host(3)).is_some());
}

#[test]
fn a_refusal_holds_for_its_server_for_a_second() {
    let table = TunnelTable::default();
    let now = BootInstant::now();

    table.record_refusal("h-1", &server("i-1", "llm"), RefusalScope::Server, now);
    table.record_refusal("h-2", &server("i-1", "llm"), RefusalScope::AllServers, now);

    assert!(has_refused(&table, "h-1", &server("i-1", "llm"), now));
    assert!(!has_refused(&table, "h-1", &server("i-2", "llm"), now));
    assert!(has_refused(&table, "h-2", &server("i-9", "app"), now));
    let later = now.plus(Duration::from_secs(1));
    assert!(!has_refused(&table, "h-1", &server("i-1", "llm"), later));
}

// A gateway that reached all engines was not asked for one because it reached no plain server.
#[test]
fn a_helper_that_reaches_no_server_of_one_service_is_asked_for_another() {
    let table = TunnelTable::default();
    let now = BootInstant::now();

    table.record_refusal("h-1", &server("i-1", "app"), RefusalScope::Service, now);

    assert!(has_refused(&table, "h-1", &server("i-2", "app"), now));
    assert!(!has_refused(&table, "h-1", &server("i-3", "llm"), now));
}
