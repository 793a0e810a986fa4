//! Tests of what a relay between gateways changes.

use ciborium::Value;
use serde::Serialize;
use std::io::Write;
use std::net::SocketAddr;

use super::EntryRewriter;
use super::Frame;
use super::MASKED;
use super::RelayPorts;
use super::WHOLE_BINARY;
use crate::standin::relay::Rewriter;

const HEAD: &[u8] = b"GET /peers HTTP/1.1\r\nupgrade: websocket\r\n\r\n";
const MASK: [u8; 4] = [7, 200, 31, 90];
const PORT: u16 = 7402;
const PORTS: RelayPorts = RelayPorts {
    peers: PORT,
    first_server: Some(10_200),
};

/// An entry as gateways encode it.
#[derive(Serialize)]
struct Entry {
    name: String,
    address: SocketAddr,
}

/// What is told of a server.
#[derive(Serialize)]
struct Server {
    id: String,
    entry: Entry,
}

#[derive(Serialize)]
struct Servers {
    servers_stamp: u64,
    servers: Vec<Server>,
}

#[derive(Serialize)]
struct Request {
    node: String,
    entry: Option<Entry>,
    nodes_stamp: Option<u64>,
}

#[derive(Serialize)]
struct Response {
    nodes_stamp: u64,
    nodes: Option<Vec<Entry>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    packed_nodes: Option<bytes::Bytes>,
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).unwrap();
    buf
}

fn entries(port: u16) -> Vec<Entry> {
    let entry = |number: u8| Entry {
        name: format!("g-{number}"),
        address: ([127, 1, 2, number], port).into(),
    };
    (1..60).map(entry).collect()
}

fn request(port: u16) -> Vec<u8> {
    encode(&Request {
        node: "g-1".to_owned(),
        entry: entries(port).pop(),
        nodes_stamp: None,
    })
}

fn response(port: u16) -> Vec<u8> {
    encode(&Response {
        nodes_stamp: 7,
        nodes: Some(entries(port)),
        packed_nodes: None,
    })
}

fn servers(port: u16) -> Vec<u8> {
    let servers = entries(port).into_iter().map(|entry| Server {
        id: entry.name.clone(),
        entry,
    });
    encode(&Servers {
        servers_stamp: 7,
        servers: servers.collect(),
    })
}

fn packed(list: &[u8]) -> Vec<u8> {
    let level = flate2::Compression::fast();
    let mut encoder = flate2::write::ZlibEncoder::new(Vec::new(), level);
    encoder.write_all(list).unwrap();
    encode(&Response {
        nodes_stamp: 7,
        nodes: None,
        packed_nodes: Some(encoder.finish().unwrap().into()),
    })
}

fn frame(payload: &[u8], mask: Option<[u8; 4]>) -> Vec<u8> {
    let flag = if mask.is_some() { MASKED } else { 0 };
    let mut frame = vec![WHOLE_BINARY];
    match payload.len() {
        length @ 0..126 => frame.push(flag | length as u8),
        length => {
            frame.push(flag | 126);
            frame.extend((length as u16).to_be_bytes());
        }
    }
    frame.extend(mask.iter().flatten());
    let mut payload = payload.to_vec();
    let end = Frame {
        mask,
        payload: 0,
        end: 0,
    };
    end.apply_mask(&mut payload);
    frame.extend(payload);
    frame
}

/// Returns the payloads of the frames after the head.
fn payloads(bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut rest = bytes.strip_prefix(HEAD).unwrap();
    let mut payloads = Vec::new();
    while let Some(frame) = Frame::first(rest) {
        let mut payload = rest[frame.payload..frame.end].to_vec();
        frame.apply_mask(&mut payload);
        payloads.push(payload);
        rest = &rest[frame.end..];
    }
    assert!(rest.is_empty());
    payloads
}

/// Passes `bytes` in parts of `size`.
fn rewrite(bytes: &[u8], size: usize) -> Vec<u8> {
    let mut rewriter = EntryRewriter::new(PORTS);
    let parts = bytes.chunks(size);
    parts.flat_map(|part| rewriter.rewrite(part)).collect()
}

#[test]
fn entries_get_the_port_of_the_receivers_links() {
    for mask in [None, Some(MASK)] {
        for (sent, expected) in [
            (request(7340), request(PORT)),
            (response(7340), response(PORT)),
        ] {
            let bytes = [HEAD, &frame(&sent, mask)].concat();
            let expected = [expected];
            for size in [1, 100, bytes.len()] {
                assert_eq!(payloads(&rewrite(&bytes, size)), expected);
            }
        }
    }
}

#[test]
fn servers_get_a_port_in_the_block_of_the_receiver() {
    for (sent, expected) in [(8111, 10_211), (10_311, 10_211)] {
        let bytes = [HEAD, &frame(&servers(sent), None)].concat();
        assert_eq!(payloads(&rewrite(&bytes, 50)), [servers(expected)]);
    }
}

#[test]
fn packed_entries_get_the_port_of_the_receivers_links() {
    let sent = packed(&encode(&entries(7340)));

    let passed = rewrite(&[HEAD, &frame(&sent, None)].concat(), 64);

    let message: Value = ciborium::from_reader(payloads(&passed)[0].as_slice()).unwrap();
    let expected = packed(&encode(&entries(PORT)));
    let expected: Value = ciborium::from_reader(expected.as_slice()).unwrap();
    assert_eq!(message, expected);
}

#[test]
fn other_bytes_pass_as_they_are() {
    let no_entry = encode(&Request {
        node: "g-1".to_owned(),
        entry: None,
        nodes_stamp: None,
    });
    let broken = packed(b"no list");
    let payloads: [&[u8]; 5] = [
        b"",
        b"HTTP/1.1 200 OK\r\n\r\nnodes and an entry",
        &[0xa1; 300],
        &no_entry,
        &broken,
    ];
    let mut bytes = HEAD.to_vec();
    for payload in payloads {
        bytes.extend(frame(payload, Some(MASK)));
        bytes.extend(frame(payload, None));
    }
    bytes.extend([0x88, 0]);
    for size in [1, 7, bytes.len()] {
        assert_eq!(rewrite(&bytes, size), bytes);
    }
}
