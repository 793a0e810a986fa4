//! Tests of the parts of the data path that need no connection.

mod send_gate;
mod stream_cuts;

use super::attempt::OutboundRequest;
use super::dialect::RateLimitNotice;
use super::events::EventError;
use super::events::EventSplitter;
use super::headers::has_connection_close;
use super::headers::keep_alive_timeout;
use super::headers::remove_hop_by_hop;
use super::request_identity::whole_request_id;
use super::response_memory::MAX_RESPONSE_BYTES;
use super::response_memory::MAX_TOTAL_BYTES;
use super::response_memory::ResponseMemory;
use super::server_rates::ServerRates;
use super::settings::GatewaySettings;
use crate::catalog::BackendServer;
use crate::catalog::ServerEntry;
use crate::decide::PromptPart;
use crate::net::CollectError;
use crate::net::full_body;
use crate::peers::LoadEntry;
use crate::peers::ServerRequests;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Method;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use std::time::Duration;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no number\n\nid: 4\ndata: c\n\n";

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| {
            let name = HeaderName::from_static(name);
            (name, HeaderValue::from_static(value))
        })
        .collect()
}

#[test]
fn events_do_not_depend_on_chunk_size() {
    for size in 1..STREAM.len() {
        let mut splitter = EventSplitter::new(&ResponseMemory::default().of_server("a"));
        let mut bytes = Vec::new();
        let mut last = None;

        for chunk in STREAM.chunks(size) {
            if let Some(events) = splitter.push(chunk).unwrap() {
                bytes.extend_from_slice(&events.bytes);
                last = events.last_id.or(last);
            }
        }

        assert_eq!(bytes, STREAM, "chunks of {size} bytes");
        assert_eq!(last, Some(4));
        assert!(!splitter.has_partial_event());
    }
}

#[test]
fn a_partial_event_is_buffered() {
    let mut splitter = EventSplitter::new(&ResponseMemory::default().of_server("a"));

    let events = splitter
        .push(b"id: 7\ndata: a\n\nid: 8\nda")
        .unwrap()
        .unwrap();

    assert_eq!(events.bytes.as_ref(), b"id: 7\ndata: a\n\n");
    assert_eq!((events.first_id, events.last_id), (Some(7), Some(7)));
    assert!(splitter.has_partial_event());
}

#[test]
fn hop_by_hop_headers_are_removed() {
    let mut headers = headers(&[
        ("connection", "x-own, close"),
        ("x-own", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("x-kept", "2"),
    ]);

    remove_hop_by_hop(&mut headers);

    assert_eq!(headers.len(), 1);
    assert!(headers.contains_key("x-kept"));
}

#[test]
fn keep_alive_timeout_and_connection_close_are_read() {
    let announced = headers(&[("keep-alive", "max=9, timeout=5"), ("connection", "Close")]);

    assert_eq!(keep_alive_timeout(&announced), Some(Duration::from_secs(5)));
    assert!(has_connection_close(&announced));
    assert_eq!(keep_alive_timeout(&headers(&[])), None);
    assert!(!has_connection_close(&headers(&[])));
}

#[test]
fn bounds_may_be_fractions() {
    let text = "[gateway]\nname = a\ndata_centre = b\npeer_address = 127.0.0.1:1\n\
         caller_address = 127.0.0.1:2\nready_address = 127.0.0.1:3\nmetrics_address = 127.0.0.1:4\n\
         store_address = 127.0.0.1:5\n[bounds]\nconfig_apply_ms = 2000.5\ndrain_ms = 1999.25\n\
         revoke_ms = 5000.0\nheartbeat_ms = 1200.125\ngrace_s = 7.5\nretry_window_s = 9.5\n\
         evacuation_ms = 4000.75\n";

    let bounds = GatewaySettings::parse(text).unwrap().bounds;

    assert_eq!(bounds.config_apply, Duration::from_micros(2_000_500));
    assert_eq!(bounds.drain, Duration::from_micros(1_999_250));
    assert_eq!(bounds.revoke, Duration::from_secs(5));
    assert_eq!(bounds.heartbeat, Duration::from_micros(1_200_125));
    assert_eq!(bounds.grace, Duration::from_millis(7_500));
    assert_eq!(bounds.retry_window, Duration::from_millis(9_500));
    assert_eq!(bounds.evacuation, Some(Duration::from_micros(4_000_750)));
}

#[test]
fn the_error_lists_every_problem_of_the_settings() {
    let err = GatewaySettings::parse("[gateway]\nname = a\n[bounds]\ndrain_ms = 1\nspeed = 2\n");

    let text = err.unwrap_err().to_string();
    for named in ["caller_address", "drain_ms", "speed"] {
        assert!(text.contains(named), "{text}");
    }
}

#[tokio::test]
async fn responses_that_are_read_at_the_same_time_share_bounded_memory() {
    let memory = ResponseMemory::default();
    let block = Bytes::from(vec![0; 1024 * 1024]);
    // Each body stays open after seven blocks, so that all are read at the same time.
    let body = || {
        let frames = std::iter::repeat_n(block.clone(), 7);
        let frames = stream::iter(frames.map(|block| Ok::<_, std::io::Error>(Frame::data(block))));
        StreamBody::new(Box::pin(frames.chain(stream::pending())))
    };

    let servers = (0..12).map(|number| memory.of_server(&format!("s-{number}")));
    let reading = servers.map(|server| server.collect(body(), |_| {}));
    let reading = futures_util::future::join_all(
        reading.map(|reading| tokio::time::timeout(Duration::from_millis(200), reading)),
    );
    // Each result keeps its memory until it is written.
    let results = reading.await;

    let refused = results
        .iter()
        .filter(|result| matches!(result, Ok(Err(CollectError::TooLarge))));
    assert_eq!(refused.count(), 12 - MAX_TOTAL_BYTES / (7 * 1024 * 1024));
    let small = memory.of_server("small");
    let small = small.collect(full_body("whole"), |_| {}).await;
    let small = small.unwrap().collect().await.unwrap();
    assert_eq!(small.to_bytes(), "whole");
}

// One server took all memory, and the responses of others broke off.
#[tokio::test]
async fn a_server_that_sends_without_end_leaves_memory_for_others() {
    let memory = ResponseMemory::default();
    let (faulty, sound) = (memory.of_server("a"), memory.of_server("b"));
    let part = vec![b'x'; MAX_RESPONSE_BYTES / 10];

    let mut splitters: Vec<_> = (0..200).map(|_| EventSplitter::new(&faulty)).collect();
    let results: Vec<_> = splitters.iter_mut().map(|all| all.push(&part)).collect();
    let small = sound.collect(full_body(part.clone()), |_| {}).await;

    let taken = results.iter().filter(|result| result.is_ok()).count();
    assert!(results.contains(&Err(EventError::NoMemory)));
    assert!(taken * part.len() <= MAX_TOTAL_BYTES - part.len());
    assert_eq!(small.unwrap().size_hint().exact(), Some(part.len() as u64));
}

#[tokio::test]
async fn a_response_beyond_the_bound_is_broken() {
    let memory = ResponseMemory::default();
    let body = full_body(vec![0; MAX_RESPONSE_BYTES + 1]);

    let result = memory.of_server("a").collect(body, |_| {}).await;

    assert!(matches!(result, Err(CollectError::TooLarge)));
}

fn server(id: &str, start_time_ms: u64) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        entry: ServerEntry {
            service: "llm".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "north".to_owned(),
            software_version: None,
            slots: 8,
            is_draining: false,
            cold_left: Duration::ZERO,
            sequence: 1,
            start_time_ms,
        },
    }
}

/// Returns what another gateway says of server `a`.
fn remote(limit_milli: Option<u64>, limit_age_ms: u64) -> LoadEntry {
    LoadEntry {
        server: "a".to_owned(),
        in_flight: 0,
        requests: Some(ServerRequests {
            chosen: 0,
            sent: 0,
            limit_milli,
            limit_age_ms,
        }),
        pace: None,
        speed: None,
    }
}

/// Returns the limit that is told of server `a`, and its age.
fn told(rates: &ServerRates) -> Option<(Option<u64>, u64)> {
    let mut loads = Vec::new();
    rates.add_to_loads(&mut loads);
    let requests = loads.first()?.requests?;
    Some((requests.limit_milli, requests.limit_age_ms))
}

#[test]
fn a_limit_that_comes_back_from_the_relay_is_not_taken_for_a_new_one() {
    let rates = ServerRates::default();
    let server = server("a", 1);
    rates.record_notice(&server, RateLimitNotice::PerSecond(4.0));

    std::thread::sleep(Duration::from_millis(350));
    rates.record_remote(&[remote(Some(4_000), 300)], std::slice::from_ref(&server));

    let (limit, age_ms) = told(&rates).unwrap();
    assert_eq!(limit, Some(4_000));
    assert!(age_ms >= 350, "{age_ms}");
}

#[test]
fn a_newer_word_of_another_gateway_ends_a_limit() {
    let rates = ServerRates::default();
    let server = server("a", 1);
    rates.record_notice(&server, RateLimitNotice::PerSecond(4.0));

    std::thread::sleep(Duration::from_millis(350));
    rates.record_remote(&[remote(None, 0)], std::slice::from_ref(&server));

    assert!(!rates.has_limit(&server));
    assert_eq!(told(&rates).unwrap().0, None);
}

#[test]
fn a_limit_that_is_forgotten_elsewhere_is_not_adopted() {
    let rates = ServerRates::default();
    let server = server("a", 1);

    rates.record_remote(
        &[remote(Some(4_000), 11_000)],
        std::slice::from_ref(&server),
    );

    assert!(!rates.has_limit(&server));
}

#[test]
fn a_server_that_starts_again_begins_without_its_limit() {
    let rates = ServerRates::default();
    rates.record_notice(&server("a", 1), RateLimitNotice::PerSecond(0.0));

    assert!(rates.has_limit(&server("a", 1)));
    assert!(rates.may_send(&server("a", 2), 0.99));
    assert!(!rates.has_limit(&server("a", 2)));
}

fn outbound(target: &str, request_id: &str, body: &'static [u8]) -> OutboundRequest {
    OutboundRequest {
        method: Method::POST,
        target: target.to_owned(),
        headers: headers(&[]),
        body: Bytes::from_static(body),
        request_id: request_id.to_owned(),
    }
}

#[test]
fn a_request_that_is_sent_again_keeps_its_identity_and_others_differ() {
    let part = PromptPart { id: 7, tokens: 80 };
    let first = whole_request_id(&outbound("/a/b", "r-1", b"body"), Some("t"), &[part]);

    let again = whole_request_id(&outbound("/a/b", "r-2", b"body"), Some("t"), &[part]);
    let others = [
        whole_request_id(&outbound("/a/c", "r-1", b"body"), Some("t"), &[part]),
        whole_request_id(&outbound("/a/b?c", "r-1", b"body"), Some("t"), &[part]),
        whole_request_id(&outbound("/a/b", "r-1", b"bod"), Some("t"), &[part]),
        whole_request_id(&outbound("/a/b", "r-1", b"body"), Some("u"), &[part]),
        whole_request_id(&outbound("/a/b", "r-1", b"body"), None, &[part]),
        whole_request_id(&outbound("/a/b", "r-1", b"body"), Some("t"), &[]),
        whole_request_id(&outbound("/a/bt", "r-1", b"body"), Some(""), &[part]),
    ];

    assert_eq!(first, again);
    for (number, other) in others.iter().enumerate() {
        assert_ne!(first, *other, "{number}");
    }
}

#[test]
fn the_identity_of_a_request_is_the_same_in_all_releases() {
    let id = whole_request_id(&outbound("/a/b", "r-1", b"body"), Some("t"), &[]);

    assert_eq!(format!("{id:016x}"), "f52168144bed6cf3");
}
