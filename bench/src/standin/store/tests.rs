//! Tests of what the store hands out to single gateways.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::StatusCode;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use std::net::SocketAddr;

use super::StoreService;
use crate::http;
use crate::http::Client;
use crate::standin::peer_relay::RelayPorts;

const PORTS: RelayPorts = RelayPorts {
    peers: 10_200,
    first_server: Some(10_200),
};

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn entry(port: u16) -> Vec<u8> {
    format!("{{\"address\":\"127.1.2.3:{port}\",\"zone\":\"a\"}}").into_bytes()
}

async fn store() -> StoreService {
    let store = StoreService::start(any_port()).await.unwrap();
    store.put("keyed.nodes", "g-1", Some(&entry(7340)));
    store.put("keyed.servers", "i-1", Some(&entry(8111)));
    store.put("keyed.servers", "i-2", Some(b"no entry"));
    store
}

async fn get(address: SocketAddr, path: &str) -> Bytes {
    let req = http::request("GET", path, Bytes::new());
    let res = Client::new(address).send(req).await.unwrap();
    http::read_body(res.into_body()).await.unwrap()
}

/// The newest values of a topic, by key.
async fn newest(address: SocketAddr, topic: &str) -> Vec<Vec<u8>> {
    let page = get(address, &format!("/api/log-newest?topic={topic}")).await;
    let page: serde_json::Value = serde_json::from_slice(&page).unwrap();
    let items = page["items"].as_array().unwrap().iter();
    items
        .map(|item| STANDARD.decode(item["value"].as_str().unwrap()).unwrap())
        .collect()
}

#[tokio::test]
async fn a_view_hands_out_entries_with_the_ports_of_its_gateway() {
    let store = store().await;
    let view = store.add_view(any_port(), PORTS).await.unwrap();

    assert_eq!(newest(view, "keyed.nodes").await, [entry(10_200)]);
    let servers = [entry(10_211), b"no entry".to_vec()];
    assert_eq!(newest(view, "keyed.servers").await, servers);
    let records = get(view, "/api/log-read?topic=keyed.servers&from=0").await;
    let shown = String::from_utf8_lossy(&records).into_owned();
    assert!(shown.contains("127.1.2.3:10211"), "{shown}");
    assert!(!shown.contains("8111"), "{shown}");
}

#[tokio::test]
async fn the_stores_own_address_hands_out_entries_as_they_are() {
    let store = store().await;
    store.add_view(any_port(), PORTS).await.unwrap();

    let address = store.address();
    assert_eq!(newest(address, "keyed.nodes").await, [entry(7340)]);
    let servers = [entry(8111), b"no entry".to_vec()];
    assert_eq!(newest(address, "keyed.servers").await, servers);
}

/// Reads a topic page by page with each key percent-encoded; returns the keys of each page.
async fn pages(address: SocketAddr, topic: &str) -> Vec<Vec<String>> {
    let mut pages: Vec<Vec<String>> = Vec::new();
    let mut path = format!("/api/log-newest?topic={topic}");
    loop {
        let page = get(address, &path).await;
        let page: serde_json::Value = serde_json::from_slice(&page).unwrap();
        let items = page["items"].as_array().unwrap().iter();
        let keys: Vec<String> = items
            .map(|item| item["key"].as_str().unwrap().to_owned())
            .collect();
        let after = utf8_percent_encode(keys.last().unwrap(), NON_ALPHANUMERIC);
        path = format!("/api/log-newest?topic={topic}&after={after}");
        pages.push(keys);
        if page["has-more"] == false {
            return pages;
        }
    }
}

#[tokio::test]
async fn pages_end_by_number_and_by_bytes() {
    let store = StoreService::start(any_port()).await.unwrap();
    let large = vec![b'x'; 600 * 1_024];
    for key in ["a&b", "a+b", "a b", "a%41"] {
        store.put("keyed.few", key, Some(b"v"));
        store.put("keyed.large", key, Some(&large));
    }
    store.set_page_keys(3);

    let few = pages(store.address(), "keyed.few").await;
    let large = pages(store.address(), "keyed.large").await;

    assert_eq!(few, [vec!["a b", "a%41", "a&b"], vec!["a+b"]]);
    assert_eq!(large, [["a b"], ["a%41"], ["a&b"], ["a+b"]]);
}

#[tokio::test]
async fn a_query_that_cannot_be_decoded_is_refused() {
    let store = store().await;
    for after in ["%", "%4", "%zz", "%ff"] {
        let path = format!("/api/log-newest?topic=keyed.nodes&after={after}");
        let req = http::request("GET", &path, Bytes::new());
        let res = Client::new(store.address()).send(req).await.unwrap();
        assert_eq!(res.status(), StatusCode::BAD_REQUEST, "{after}");
    }
}
