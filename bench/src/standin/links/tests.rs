//! Tests of links that are cut, over loopback.

use std::io;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::CutMode;
use super::CutServers;
use super::CuttableStream;
use super::ServerLinks;

const USER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which something that hasn't happened is taken not to happen.
const NEVER: Duration = Duration::from_millis(150);

type Stream = CuttableStream<TcpStream>;

async fn connect(links: &Arc<ServerLinks>, listener: &TcpListener) -> io::Result<Stream> {
    let address = listener.local_addr()?;
    links.connect(address, TcpStream::connect(address)).await
}

/// Returns links, a server's listener, and an open connection with its server's side.
async fn connected() -> (Arc<ServerLinks>, TcpListener, Stream, TcpStream) {
    let links = ServerLinks::new(USER_TIMEOUT);
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let stream = connect(&links, &listener).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    (links, listener, stream, server)
}

async fn happens<T>(future: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(NEVER, future).await.ok()
}

#[tokio::test]
async fn a_silent_cut_hangs_open_connections_for_good_and_new_ones_until_its_end() {
    let (links, listener, mut stream, mut server) = connected().await;

    links.cut(CutMode::Silent, CutServers::All);
    server.write_all(b"pong").await.unwrap();
    let read = happens(stream.read_u8()).await;
    let opened = happens(connect(&links, &listener)).await;
    links.heal();
    let read_later = happens(stream.read_u8()).await;
    let opened_later = happens(connect(&links, &listener)).await;

    assert!(read.is_none());
    assert!(opened.is_none());
    assert!(read_later.is_none());
    assert!(opened_later.is_some_and(|opened| opened.is_ok()));
}

#[tokio::test]
async fn a_hung_connection_fails_once_a_written_byte_is_unacknowledged_for_the_user_timeout() {
    let (links, _listener, mut stream, mut server) = connected().await;

    links.cut(CutMode::Silent, CutServers::All);
    let before = happens(stream.read_u8()).await;
    stream.write_all(b"ping").await.unwrap();
    let early = happens(stream.read_u8()).await;
    let late = tokio::time::timeout(USER_TIMEOUT * 2, stream.read_u8()).await;
    let written = stream.write_all(b"ping").await;
    let received = happens(server.read_u8()).await;

    assert!(before.is_none());
    assert!(early.is_none());
    assert_eq!(late.unwrap().unwrap_err().kind(), ErrorKind::TimedOut);
    assert_eq!(written.unwrap_err().kind(), ErrorKind::TimedOut);
    assert!(received.is_none());
}

#[tokio::test]
async fn a_server_does_not_learn_that_a_hung_connection_was_dropped() {
    let (links, _listener, stream, mut server) = connected().await;

    links.cut(CutMode::Silent, CutServers::All);
    drop(stream);
    links.heal();
    let received = happens(server.read_u8()).await;

    assert!(received.is_none());
}

#[tokio::test]
async fn a_reset_ends_open_connections_at_both_ends_and_refuses_new_ones_until_its_end() {
    let (links, listener, mut stream, mut server) = connected().await;

    let reading = tokio::spawn(async move { stream.read_u8().await });
    tokio::task::yield_now().await;
    links.cut(CutMode::Reset, CutServers::All);
    let read = happens(reading).await.unwrap().unwrap();
    let received = happens(server.read_u8()).await;
    let opened = connect(&links, &listener).await;
    links.heal();
    let opened_later = connect(&links, &listener).await;

    assert_eq!(read.unwrap_err().kind(), ErrorKind::ConnectionReset);
    assert!(received.is_some_and(|received| received.is_err()));
    assert_eq!(
        opened.err().map(|err| err.kind()),
        Some(ErrorKind::ConnectionRefused)
    );
    assert!(opened_later.is_ok());
}

#[tokio::test]
async fn open_connections_go_on_where_only_new_ones_are_refused() {
    let (links, listener, mut stream, mut server) = connected().await;

    links.cut(CutMode::Refuse, CutServers::All);
    stream.write_all(b"ping").await.unwrap();
    let received = happens(server.read_u8()).await;
    server.write_all(b"pong").await.unwrap();
    let read = happens(stream.read_u8()).await;
    let opened = connect(&links, &listener).await;

    assert!(received.is_some_and(|received| received.is_ok()));
    assert!(read.is_some_and(|read| read.is_ok()));
    assert_eq!(
        opened.err().map(|err| err.kind()),
        Some(ErrorKind::ConnectionRefused)
    );
}

#[tokio::test]
async fn a_cut_from_some_servers_leaves_the_others_in_reach() {
    let (links, listener, mut stream, mut server) = connected().await;
    let other = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();

    let addresses = vec![other.local_addr().unwrap()];
    links.cut(CutMode::Silent, CutServers::Some(addresses));
    server.write_all(b"pong").await.unwrap();
    let read = happens(stream.read_u8()).await;
    let opened = happens(connect(&links, &listener)).await;
    let opened_other = happens(connect(&links, &other)).await;

    assert!(read.is_some_and(|read| read.is_ok()));
    assert!(opened.is_some_and(|opened| opened.is_ok()));
    assert!(opened_other.is_none());
}
