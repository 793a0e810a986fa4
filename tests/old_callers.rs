//! Tests a node process with callers of HTTP/1.0, who know no chunks, behind a relay that closes where it should reset: only a
//! length tells them that an answer is complete.

#![expect(
    clippy::unwrap_used,
    reason = "A test panics on any unexpected result."
)]

use bytes::Bytes;
use currantbend_bench::fleet::Fleet;
use currantbend_bench::fleet::FleetOptions;
use currantbend_bench::http;
use currantbend_bench::http::Abort;
use currantbend_bench::http::HandlerResult;
use currantbend_bench::http::Server;
use currantbend_bench::standin::engine::EngineOptions;
use currantbend_bench::standin::relay::Habits;
use currantbend_bench::standin::relay::OnAbsent;
use currantbend_bench::standin::relay::OnReset;
use currantbend_bench::standin::relay::Relay;
use currantbend_bench::wire::platform::Host;
use currantbend_bench::wire::platform::HostRole;
use currantbend_bench::wire::platform::HostState;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time within which each connection ends.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Interval between requests until one is answered.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before each part of an answer that breaks off.
const PART_PAUSE: Duration = Duration::from_millis(50);
/// Time after which a stream has begun and is not complete.
const STREAM_PAUSE: Duration = Duration::from_millis(500);
/// Number of tokens of an answer.
const TOKENS: u32 = 60;
/// Last event of a complete stream.
const LAST_EVENT: &str = "data: [DONE]\n\n";

/// Starts one node and one engine, which generates an answer's tokens in 1.2 s, and waits until both serve callers.
async fn start_fleet(name: &str) -> Fleet {
    let options = FleetOptions {
        case: name.to_owned(),
        node_binary: PathBuf::from(env!("CARGO_BIN_EXE_currantbend")),
        out: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
        data_centres: 1,
        backend_data_centres: 1,
        nodes: 1,
        engines: 1,
        plain_servers: 0,
        engine: EngineOptions {
            token_ms: 20,
            ..EngineOptions::default()
        },
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options).await.unwrap();
    read_served(&fleet).await;
    fleet
}

/// Adds a server of the plain service whose answers break off.
async fn add_breaking_server(fleet: &Fleet) -> Server {
    let handler =
        Arc::new(|req| -> BoxFuture<'static, HandlerResult> { Box::pin(answer_in_part(req)) });
    let server = Server::start(([127, 0, 0, 1], 0).into(), handler).await;
    let server = server.unwrap();
    fleet.hosts().set(Host {
        name: "breaking".to_owned(),
        address: server.address().to_string(),
        data_centre: "dc1".to_owned(),
        region: "region1".to_owned(),
        role: HostRole::Service,
        state: HostState::Live,
        service: Some(fleet.options().plain.clone()),
        checks_fencing: None,
    });
    server
}

async fn answer_in_part(req: Request<Incoming>) -> HandlerResult {
    if req.uri().path() == "/load" {
        let load = json!({"age_ms": 0, "running": 0, "waiting": 0});
        return Ok(http::json(StatusCode::OK, &load));
    }
    let parts = stream::iter([Ok(Bytes::from_static(b"half of it")), Err(Abort)]);
    let body = http::streamed(parts.then(async |part| {
        tokio::time::sleep(PART_PAUSE).await;
        part
    }));
    let mut response = Response::new(body);
    let id = http::header(req.headers(), "x-request-id");
    http::set_header(&mut response, "x-request-id", id);
    Ok(response)
}

/// Sends requests for a stream until one is answered.
async fn read_served(fleet: &Fleet) {
    let started = Instant::now();
    loop {
        let text = read_to_end(&mut open_chat(fleet).await).await;
        if text.starts_with("HTTP/1.0 200 OK") {
            return;
        }
        assert!(started.elapsed() < MAX_WAIT, "{text}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a request for a stream on a new connection.
async fn open_chat(fleet: &Fleet) -> TcpStream {
    let body = json!({
        "model": fleet.options().model, "messages": [{"role": "user", "content": "list the orders"}],
        "max_tokens": TOKENS, "stream": true,
    });
    open(fleet, "POST /v1/chat/completions", &body.to_string()).await
}

/// Sends a call of the plain service on a new connection.
async fn open_call(fleet: &Fleet) -> TcpStream {
    let line = format!("GET /services/{}/orders", fleet.options().plain);
    open(fleet, &line, "").await
}

/// Sends a request of HTTP/1.0 on a new connection through a relay that closes.
async fn open(fleet: &Fleet, line: &str, body: &str) -> TcpStream {
    let key = &fleet.teams()[0].key;
    let request = format!(
        "{line} HTTP/1.0\r\nauthorization: Bearer {key}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let habits = Habits {
        on_reset: OnReset::Close,
        on_absent: OnAbsent::Close,
        ..Habits::default()
    };
    let node = fleet.directory().nodes()[0].address;
    let relay = Relay::start(([127, 0, 0, 1], 0).into(), node, habits);
    let relay = relay.await.unwrap();
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Reads until the connection ends.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(MAX_WAIT, stream.read_to_end(&mut bytes)).await;
    read.unwrap().unwrap();
    String::from_utf8(bytes).unwrap()
}

/// Returns whether a caller of HTTP/1.0 takes the answer for a whole success.
fn looks_whole(text: &str) -> bool {
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    let has_all =
        length.is_none_or(|length| length.parse().is_ok_and(|length| body.len() >= length));
    head.starts_with("HTTP/1.0 200 OK") && has_all
}

/// Checks that `text` is the node's own answer to a request that may have run, and has none of the answer that broke off.
fn check_refused(text: &str, part: &str) {
    assert!(text.starts_with("HTTP/1.0 502 "), "{text}");
    assert!(text.contains("\r\nx-request-id: "), "{text}");
    assert!(text.contains("\"outcome\":\"unknown\""), "{text}");
    assert!(!text.contains(part), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_complete_stream_has_its_length() {
    let fleet = start_fleet("old-whole").await;

    let text = read_to_end(&mut open_chat(&fleet).await).await;
    fleet.close().await.unwrap();

    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    let length = format!("content-length: {}", body.len());
    assert!(looks_whole(&text), "{text}");
    assert!(head.contains(&length), "{text}");
    assert!(body.ends_with(LAST_EVENT), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_is_lost_looks_whole_behind_a_relay_that_closes() {
    let fleet = start_fleet("old-engine").await;
    let engine = fleet.engine_names().remove(0);

    let mut stream = open_chat(&fleet).await;
    tokio::time::sleep(STREAM_PAUSE).await;
    fleet.remove_engine(&engine).await.unwrap();
    let text = read_to_end(&mut stream).await;
    fleet.close().await.unwrap();

    assert!(!looks_whole(&text), "{text}");
    check_refused(&text, "data: ");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_killed_node_looks_whole_behind_a_relay_that_closes() {
    let fleet = start_fleet("old-kill").await;
    let node = fleet.node_names().remove(0);

    let mut stream = open_chat(&fleet).await;
    tokio::time::sleep(STREAM_PAUSE).await;
    fleet.kill_node(&node).await.unwrap();
    let text = read_to_end(&mut stream).await;
    fleet.close().await.unwrap();

    assert!(!looks_whole(&text), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_length_that_breaks_off_looks_whole_behind_a_relay_that_closes() {
    let fleet = start_fleet("old-plain").await;
    let server = add_breaking_server(&fleet).await;

    let started = Instant::now();
    let mut text = read_to_end(&mut open_call(&fleet).await).await;
    while !text.contains("\"truncated\"") && !looks_whole(&text) && started.elapsed() < MAX_WAIT {
        tokio::time::sleep(POLL_INTERVAL).await;
        text = read_to_end(&mut open_call(&fleet).await).await;
    }
    server.abort().await;
    fleet.close().await.unwrap();

    assert!(!looks_whole(&text), "{text}");
    check_refused(&text, "half of it");
}
