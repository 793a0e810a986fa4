//! Tests of the parts of the data path that need no connection.

use super::events::EventSplitter;
use super::headers::has_connection_close;
use super::headers::keep_alive_timeout;
use super::headers::remove_hop_by_hop;
use super::settings::GatewaySettings;
use hyper::HeaderMap;
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
        let mut splitter = EventSplitter::default();
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
    let mut splitter = EventSplitter::default();

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
fn the_error_lists_every_problem_of_the_settings() {
    let err = GatewaySettings::parse("[gateway]\nname = a\n[bounds]\ndrain_ms = 1\nspeed = 2\n");

    let text = err.unwrap_err().to_string();
    for named in ["caller_address", "drain_ms", "speed"] {
        assert!(text.contains(named), "{text}");
    }
}
