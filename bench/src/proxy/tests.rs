//! Tests of the fault proxy over loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::proxy::Fault;
use crate::proxy::Proxy;
use crate::proxy::Rule;
use crate::proxy::Selector;
use crate::proxy::response_swap::BufferContent;
use crate::proxy::response_swap::inspect_buffer;

const READ_TIMEOUT: Duration = Duration::from_secs(5);
const NO_BYTES_WAIT: Duration = Duration::from_millis(200);

async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.split();
                let _ = tokio::io::copy(&mut rx, &mut tx).await;
            });
        }
    });
    address
}

async fn proxied_echo_server() -> (Arc<Proxy>, SocketAddr) {
    let proxy = Proxy::new();
    proxy.name_source("127.0.0.1".parse().unwrap(), "caller", "outside");
    let address = proxy.link("echo", "dc1", echo_server().await).await;
    (proxy, address.unwrap())
}

fn rule(fault: Fault) -> Rule {
    Rule {
        from: Selector::Name("caller".to_owned()),
        to: Selector::Zone("dc1".to_owned()),
        fault,
    }
}

async fn send_ping(stream: &mut TcpStream) {
    stream.write_all(b"ping").await.unwrap();
}

async fn expect_ping(stream: &mut TcpStream) {
    let mut buf = [0; 4];
    let read = timeout(READ_TIMEOUT, stream.read_exact(&mut buf)).await;
    read.expect("the echo arrives in time").unwrap();
    assert_eq!(&buf, b"ping");
}

async fn expect_no_bytes(stream: &mut TcpStream) {
    let mut buf = [0; 4];
    assert!(timeout(NO_BYTES_WAIT, stream.read(&mut buf)).await.is_err());
}

#[tokio::test]
async fn forwards_and_counts_bytes() {
    let (proxy, address) = proxied_echo_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    send_ping(&mut stream).await;
    expect_ping(&mut stream).await;
    assert_eq!(proxy.bytes("caller", "echo"), 4);
    stream.shutdown().await.unwrap();
    let end = timeout(READ_TIMEOUT, stream.read(&mut [0; 4])).await;
    assert_eq!(end.unwrap().unwrap(), 0);
    proxy.close().await;
}

#[tokio::test]
async fn silent_open_drops_bytes_of_open_connections_even_after_clearing() {
    let (proxy, address) = proxied_echo_server().await;
    let mut old_stream = TcpStream::connect(address).await.unwrap();
    send_ping(&mut old_stream).await;
    expect_ping(&mut old_stream).await;

    let id = proxy.set_rule(rule(Fault::SilentOpen));
    send_ping(&mut old_stream).await;
    expect_no_bytes(&mut old_stream).await;
    let mut new_stream = TcpStream::connect(address).await.unwrap();
    send_ping(&mut new_stream).await;
    expect_ping(&mut new_stream).await;

    proxy.clear_rule(id);
    send_ping(&mut old_stream).await;
    expect_no_bytes(&mut old_stream).await;
    proxy.close().await;
}

#[tokio::test]
async fn held_bytes_arrive_once_the_rule_is_cleared() {
    for fault in [Fault::HoldForward, Fault::HoldBack, Fault::SilentAll] {
        let (proxy, address) = proxied_echo_server().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let id = proxy.set_rule(rule(fault));
        send_ping(&mut stream).await;
        expect_no_bytes(&mut stream).await;
        let expected_bytes = if fault == Fault::HoldBack { 4 } else { 0 };
        assert_eq!(proxy.bytes("caller", "echo"), expected_bytes);
        proxy.clear_rule(id);
        expect_ping(&mut stream).await;
        proxy.close().await;
    }
}

#[tokio::test]
async fn cut_resets_open_connections_and_refuses_new_ones() {
    let (proxy, address) = proxied_echo_server().await;
    let mut old_stream = TcpStream::connect(address).await.unwrap();
    send_ping(&mut old_stream).await;
    expect_ping(&mut old_stream).await;
    proxy.set_rule(rule(Fault::Cut));
    let read = timeout(READ_TIMEOUT, old_stream.read(&mut [0; 4])).await;
    assert!(read.unwrap().is_err());
    if let Ok(mut new_stream) = TcpStream::connect(address).await {
        let read = timeout(READ_TIMEOUT, new_stream.read(&mut [0; 4])).await;
        assert!(!matches!(read.unwrap(), Ok(1..)));
    }
    proxy.clear();
    let mut new_stream = TcpStream::connect(address).await.unwrap();
    send_ping(&mut new_stream).await;
    expect_ping(&mut new_stream).await;
    proxy.close().await;
}

#[tokio::test]
async fn swap_responses_swaps_two_responses() {
    let (proxy, address) = proxied_echo_server().await;
    proxy.set_rule(rule(Fault::SwapResponses));
    let mut a = TcpStream::connect(address).await.unwrap();
    let mut b = TcpStream::connect(address).await.unwrap();
    let response_a = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na";
    let response_b = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb";
    a.write_all(response_a).await.unwrap();
    b.write_all(response_b).await.unwrap();
    let (mut got_a, mut got_b) = (vec![0; response_b.len()], vec![0; response_a.len()]);
    timeout(READ_TIMEOUT, a.read_exact(&mut got_a))
        .await
        .unwrap()
        .unwrap();
    timeout(READ_TIMEOUT, b.read_exact(&mut got_b))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(got_a, response_b);
    assert_eq!(got_b, response_a);
    proxy.close().await;
}

#[test]
fn finds_the_end_of_a_response() {
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";
    assert_eq!(
        inspect_buffer(chunked),
        BufferContent::Complete(chunked.len())
    );
    assert_eq!(
        inspect_buffer(&chunked[..chunked.len() - 1]),
        BufferContent::Partial
    );
    assert_eq!(
        inspect_buffer(b"HTTP/1.1 200 OK\r\n"),
        BufferContent::Partial
    );
    assert_eq!(inspect_buffer(b"\x00\x00"), BufferContent::Other);
}
