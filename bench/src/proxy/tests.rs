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
use crate::proxy::exchange::Held;
use crate::proxy::exchange::held;

const BOUND: Duration = Duration::from_secs(5);
const QUIET: Duration = Duration::from_millis(200);

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

async fn linked() -> (Arc<Proxy>, SocketAddr) {
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

async fn say(stream: &mut TcpStream) {
    stream.write_all(b"ping").await.unwrap();
}

async fn hear(stream: &mut TcpStream) {
    let mut buf = [0; 4];
    let read = timeout(BOUND, stream.read_exact(&mut buf)).await;
    read.expect("the echo comes in time").unwrap();
    assert_eq!(&buf, b"ping");
}

async fn hear_nothing(stream: &mut TcpStream) {
    let mut buf = [0; 4];
    assert!(timeout(QUIET, stream.read(&mut buf)).await.is_err());
}

#[tokio::test]
async fn carries_and_counts() {
    let (proxy, address) = linked().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    say(&mut stream).await;
    hear(&mut stream).await;
    assert_eq!(proxy.bytes("caller", "echo"), 4);
    stream.shutdown().await.unwrap();
    let end = timeout(BOUND, stream.read(&mut [0; 4])).await;
    assert_eq!(end.unwrap().unwrap(), 0);
    proxy.close().await;
}

#[tokio::test]
async fn silent_open_hits_open_connections_for_good() {
    let (proxy, address) = linked().await;
    let mut old = TcpStream::connect(address).await.unwrap();
    say(&mut old).await;
    hear(&mut old).await;

    let id = proxy.set_rule(rule(Fault::SilentOpen));
    say(&mut old).await;
    hear_nothing(&mut old).await;
    let mut new = TcpStream::connect(address).await.unwrap();
    say(&mut new).await;
    hear(&mut new).await;

    proxy.clear_rule(id);
    say(&mut old).await;
    hear_nothing(&mut old).await;
    proxy.close().await;
}

#[tokio::test]
async fn one_way_loss_holds_bytes_until_cleared() {
    for fault in [Fault::HoldForward, Fault::HoldBack, Fault::SilentAll] {
        let (proxy, address) = linked().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let id = proxy.set_rule(rule(fault));
        say(&mut stream).await;
        hear_nothing(&mut stream).await;
        let back = if fault == Fault::HoldBack { 4 } else { 0 };
        assert_eq!(proxy.bytes("caller", "echo"), back);
        proxy.clear_rule(id);
        hear(&mut stream).await;
        proxy.close().await;
    }
}

#[tokio::test]
async fn cut_resets_and_refuses() {
    let (proxy, address) = linked().await;
    let mut old = TcpStream::connect(address).await.unwrap();
    say(&mut old).await;
    hear(&mut old).await;
    proxy.set_rule(rule(Fault::Cut));
    let read = timeout(BOUND, old.read(&mut [0; 4])).await;
    assert!(read.unwrap().is_err());
    if let Ok(mut new) = TcpStream::connect(address).await {
        let read = timeout(BOUND, new.read(&mut [0; 4])).await;
        assert!(!matches!(read.unwrap(), Ok(1..)));
    }
    proxy.clear();
    let mut new = TcpStream::connect(address).await.unwrap();
    say(&mut new).await;
    hear(&mut new).await;
    proxy.close().await;
}

#[tokio::test]
async fn cross_swaps_two_answers() {
    let (proxy, address) = linked().await;
    proxy.set_rule(rule(Fault::SwapResponses));
    let mut a = TcpStream::connect(address).await.unwrap();
    let mut b = TcpStream::connect(address).await.unwrap();
    let answer_a = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na";
    let answer_b = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb";
    a.write_all(answer_a).await.unwrap();
    b.write_all(answer_b).await.unwrap();
    let (mut got_a, mut got_b) = (vec![0; answer_b.len()], vec![0; answer_a.len()]);
    timeout(BOUND, a.read_exact(&mut got_a))
        .await
        .unwrap()
        .unwrap();
    timeout(BOUND, b.read_exact(&mut got_b))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(got_a, answer_b);
    assert_eq!(got_b, answer_a);
    proxy.close().await;
}

#[test]
fn finds_the_end_of_an_answer() {
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";
    assert_eq!(held(chunked), Held::Whole(chunked.len()));
    assert_eq!(held(&chunked[..chunked.len() - 1]), Held::Part);
    assert_eq!(held(b"HTTP/1.1 200 OK\r\n"), Held::Part);
    assert_eq!(held(b"\x00\x00"), Held::Other);
}
