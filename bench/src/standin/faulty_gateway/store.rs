//! The proxy between a faulty gateway and the store: what it changes is what the gateway believes.

use async_trait::async_trait;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;

use super::Fault;
use super::Proxy;
use crate::http;
use crate::http::Abort;
use crate::http::HandlerResult;
use crate::query::Query;
use crate::standin::store::keyed_record;
use crate::standin::store::split_record;

/// Topic of the configuration.
const CONFIG_TOPIC: &str = "keyed.op";
/// Topic of the servers' entries.
const SERVERS_TOPIC: &str = "keyed.servers";
/// Length of the positions before the records of an answer.
const POSITIONS_LEN: usize = 16;
/// How many times as long as it is a timeout is made.
pub(super) const TIMEOUT_FACTOR: u64 = 20;

pub(super) struct StoreProxy {
    store: SocketAddr,
    faults: Vec<Fault>,
    /// The configuration that was read first.
    first_config: OnceLock<Vec<u8>>,
}

impl StoreProxy {
    pub(super) fn new(store: SocketAddr, faults: &[Fault]) -> Self {
        Self {
            store,
            faults: faults.to_vec(),
            first_config: OnceLock::new(),
        }
    }

    fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    /// Returns the value of a key as the gateway reads it. An empty one says that the key was deleted.
    pub(super) fn change(&self, topic: &str, value: &[u8]) -> Vec<u8> {
        let unchanged = || value.to_vec();
        let Ok(mut json) = serde_json::from_slice::<Value>(value) else {
            return unchanged();
        };
        match topic {
            SERVERS_TOPIC if self.has(Fault::IgnoreVersions) => json["version"] = "v".into(),
            CONFIG_TOPIC if self.has(Fault::KeepConfig) => {
                return self.first_config.get_or_init(unchanged).clone();
            }
            CONFIG_TOPIC if self.has(Fault::OtherService) => send_elsewhere(&mut json),
            CONFIG_TOPIC if self.has(Fault::ExtendDeadline) => extend_timeouts(&mut json),
            _ => return unchanged(),
        }
        json.to_string().into_bytes()
    }

    /// Returns the answer to a read of records: positions, then records with their lengths.
    pub(super) fn change_records(&self, topic: &str, mut body: Bytes) -> Bytes {
        let mut changed = BytesMut::new();
        changed.put_slice(&body.split_to(POSITIONS_LEN.min(body.len())));
        while body.len() >= 4 {
            let length = body.get_u32() as usize;
            let mut record = body.split_to(length.min(body.len()));
            if let Some((key, value)) = split_record(&record) {
                record = keyed_record(&key, &self.change(topic, &value));
            }
            changed.put_u32(record.len() as u32);
            changed.put_slice(&record);
        }
        changed.freeze()
    }

    /// Returns the answer to a read of the newest values.
    fn change_newest(&self, topic: &str, body: &Bytes) -> Bytes {
        let Ok(mut page) = serde_json::from_slice::<Value>(body) else {
            return body.clone();
        };
        for item in page["items"].as_array_mut().into_iter().flatten() {
            let value = item["value"].as_str().unwrap_or_default();
            if let Ok(value) = STANDARD.decode(value) {
                item["value"] = STANDARD.encode(self.change(topic, &value)).into();
            }
        }
        page.to_string().into()
    }
}

#[async_trait]
impl Proxy for StoreProxy {
    async fn pass(self: Arc<Self>, req: Request<Incoming>) -> HandlerResult {
        let (head, body) = req.into_parts();
        let body = http::read_body(body).await.map_err(|_| Abort)?;
        // The store answers what can't be decoded.
        let query = Query::decode(head.uri.query()).unwrap_or_default();
        let topic = query.text("topic").unwrap_or_default().to_owned();
        let path = head.uri.path().to_owned();
        let req = Request::from_parts(head, Full::new(body));
        let mut sender = http::connect(self.store).await.map_err(|_| Abort)?;
        let res = sender.send_request(req).await.map_err(|_| Abort)?;
        let (mut head, body) = res.into_parts();
        let mut body = http::read_body(body).await.map_err(|_| Abort)?;
        if head.status == StatusCode::OK {
            body = match path.as_str() {
                "/api/log-read" => self.change_records(&topic, body),
                "/api/log-newest" => self.change_newest(&topic, &body),
                _ => body,
            };
        }
        head.headers.remove(CONTENT_LENGTH);
        Ok(Response::from_parts(head, http::full(body)))
    }
}

fn routes(config: &mut Value) -> impl Iterator<Item = &mut Value> {
    config["routes"].as_array_mut().into_iter().flatten()
}

/// Sends requests that may be repeated to the service of streams.
fn send_elsewhere(config: &mut Value) {
    let service = routes(config)
        .find(|route| route["kind"] == "streaming")
        .map(|route| route["service"].clone());
    let Some(service) = service else {
        return;
    };
    for route in routes(config).filter(|route| route["kind"] == "safe") {
        route["service"] = service.clone();
    }
}

fn extend_timeouts(config: &mut Value) {
    for route in routes(config) {
        let ms = route["timeout-ms"].as_u64().unwrap_or_default();
        route["timeout-ms"] = (ms * TIMEOUT_FACTOR).into();
    }
}
