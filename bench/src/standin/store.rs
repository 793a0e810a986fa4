//! The store of the users' platform, in memory: topics with records and the newest value of each key, and faults.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::future::BoxFuture;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::http;
use crate::http::Abort;
use crate::http::HandlerResult;
use crate::http::ResponseBody;
use crate::http::Server;
use crate::query::Query;
use crate::standin::faults::ExtraDelay;
use crate::standin::faults::FaultRate;
use crate::standin::peer_relay::RelayPorts;
use crate::truth::lock;

/// Header that counts how often the store was restored from a copy.
const ERA_HEADER: &str = "store-era";
/// Topic of the entries of gateways.
const NODES_TOPIC: &str = "keyed.nodes";
/// Topic of the entries of servers.
const SERVERS_TOPIC: &str = "keyed.servers";
/// Maximum number of keys on one page of newest records unless a test sets a smaller one.
const PAGE_KEYS: usize = 500;
/// Maximum size in bytes of the keys and values on one page, which has at least one record.
const PAGE_BYTES: usize = 1_024 * 1_024;
/// Maximum size in KiB of the records that one read returns unless the call sets `max-kb`.
const MAX_READ_KB: u64 = 1_024;

/// Faults that can be set while the store runs.
#[derive(Debug, Default)]
pub struct StoreFaults {
    /// HTTP status that all calls are refused with; 0 serves them, 1 leaves them without a response.
    refuse_with: AtomicU16,
    delay: ExtraDelay,
    lost_responses: FaultRate,
    lost_append_delay: ExtraDelay,
    /// Bytes a second at which responses to reads are sent; 0 if they are sent at once.
    read_rate: AtomicU64,
}

impl StoreFaults {
    /// Refuses every call with `status`; serves again if `None`.
    pub fn set_refusal(&self, status: Option<u16>) {
        self.refuse_with.store(status.unwrap_or(0), Relaxed);
    }

    /// Leaves every call without a response or an effect; serves again if `false`.
    pub fn set_silent(&self, is_silent: bool) {
        self.refuse_with.store(u16::from(is_silent), Relaxed);
    }

    /// Delays the handling of each call, and so its response.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.set(delay);
    }

    /// Delays each response to a read by the time that its bytes take at this rate; sends them at once if `None`.
    pub fn set_read_rate(&self, bytes_per_s: Option<u64>) {
        self.read_rate.store(bytes_per_s.unwrap_or(0), Relaxed);
    }

    async fn wait_for_bytes(&self, bytes: u64) {
        let rate = self.read_rate.load(Relaxed);
        if rate > 0 {
            tokio::time::sleep(Duration::from_secs_f64(bytes as f64 / rate as f64)).await;
        }
    }

    /// Sends no response to this number of appends in a thousand, after their records are written.
    pub fn set_lost_responses(&self, permille: u32) {
        self.lost_responses.set(permille);
    }

    /// Writes the records of appends whose response is lost only after `delay`.
    pub fn set_lost_append_delay(&self, delay: Duration) {
        self.lost_append_delay.set(delay);
    }
}

#[derive(Clone, Debug, Default)]
struct Topic {
    /// Offset of the first retained record.
    first_offset: u64,
    records: Vec<Bytes>,
    /// Key, newest value and its offset, sorted by key.
    newest: Vec<(String, Bytes, u64)>,
}

#[derive(Debug)]
struct Shared {
    faults: StoreFaults,
    /// Maximum number of keys on one page of newest records.
    page_keys: AtomicUsize,
    /// Sorted by name.
    topics: Mutex<Vec<(String, Topic)>>,
    /// Number of times that the store was restored from a copy.
    era: AtomicU64,
    calls: AtomicU64,
    /// Bytes of records in responses to reads.
    sent_bytes: AtomicU64,
}

/// The records of the store at some time.
#[derive(Clone, Debug)]
pub struct StoreCopy(Vec<(String, Topic)>);

/// The running store.
#[derive(Debug)]
pub struct StoreService {
    server: Server,
    /// Servers on further addresses ([`StoreService::add_view`]).
    views: Mutex<Vec<Server>>,
    shared: Arc<Shared>,
}

impl StoreService {
    /// Starts the store on the address `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::new());
        let server = Server::start(listen, handler(&shared, None)).await?;
        Ok(Self {
            server,
            views: Mutex::default(),
            shared,
        })
    }

    /// Serves on the address `listen` too, and hands out the entries of gateways and servers with `ports` there, so that a gateway
    /// that calls it reaches them over relays of its own. Returns the address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn add_view(&self, listen: SocketAddr, ports: RelayPorts) -> io::Result<SocketAddr> {
        let view = Server::start(listen, handler(&self.shared, Some(ports))).await?;
        let address = view.address();
        lock(&self.views).push(view);
        Ok(address)
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns its fault settings.
    pub fn faults(&self) -> &StoreFaults {
        &self.shared.faults
    }

    /// Returns the number of calls that reached it.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Relaxed)
    }

    /// Returns the number of bytes in its responses to reads.
    pub fn sent_bytes(&self) -> u64 {
        self.shared.sent_bytes.load(Relaxed)
    }

    /// Writes a record, as the operator or a backend server does; a value of `None` deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let record = keyed_record(key, value.unwrap_or_default());
        self.shared.with_topic(topic, |topic| topic.append(record));
    }

    /// Writes a record whose bytes need not have a key. A record without one changes no key's newest value.
    pub fn put_bytes(&self, topic: &str, record: Bytes) {
        self.shared.with_topic(topic, |topic| topic.append(record));
    }

    /// Ends each page of newest records after this number of keys, or earlier by its bytes.
    pub fn set_page_keys(&self, keys: usize) {
        self.shared.page_keys.store(keys, Relaxed);
    }

    /// Deletes the records of a topic; the newest value of each key stays.
    pub fn drop_history(&self, topic: &str) {
        self.shared.with_topic(topic, |topic| {
            topic.first_offset += topic.records.len() as u64;
            topic.records.clear();
        });
    }

    /// Returns a copy of all records.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(lock(&self.shared.topics).clone())
    }

    /// Restores the records of `copy`; what was written since is lost, and its offsets are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut topics = lock(&self.shared.topics);
        self.shared.era.fetch_add(1, Relaxed);
        *topics = copy.0;
    }

    /// Returns the keys of a topic, sorted.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        self.shared.with_topic(topic, |topic| {
            topic.newest.iter().map(|(key, _, _)| key.clone()).collect()
        })
    }

    /// Stops at once and aborts all connections.
    pub async fn abort(self) {
        self.server.abort().await;
        let views = std::mem::take(&mut *lock(&self.views));
        for view in views {
            view.abort().await;
        }
    }
}

/// Returns the handler of calls at an address; entries have `ports` there, or their own if `None`.
fn handler(shared: &Arc<Shared>, ports: Option<RelayPorts>) -> http::Handler {
    let shared = Arc::clone(shared);
    Arc::new(move |req| -> BoxFuture<'static, HandlerResult> {
        let shared = Arc::clone(&shared);
        Box::pin(async move {
            let mut res = shared.handle(req, ports).await?;
            if !res.headers().contains_key(ERA_HEADER) {
                shared.set_era(&mut res);
            }
            Ok(res)
        })
    })
}

/// Returns an entry of a gateway or server with other ports in its address; `None` if it is none.
fn with_ports(topic: &str, entry: &[u8], ports: RelayPorts) -> Option<Bytes> {
    let mut entry: serde_json::Value = serde_json::from_slice(entry).ok()?;
    let address = entry.get_mut("address")?;
    let mut changed: SocketAddr = address.as_str()?.parse().ok()?;
    changed.set_port(match topic {
        NODES_TOPIC => ports.peers,
        SERVERS_TOPIC => ports.server(changed.port()),
        _ => return None,
    });
    *address = changed.to_string().into();
    Some(entry.to_string().into())
}

/// Encodes a keyed record: the length of the key in one byte, the key and the value.
///
/// The length prefix that each record has in the bodies of appends and reads is not included.
pub fn keyed_record(key: &str, value: &[u8]) -> Bytes {
    let mut buf = BytesMut::new();
    buf.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
    buf.put_slice(key.as_bytes());
    buf.put_slice(value);
    buf.freeze()
}

/// Returns the key and the value of a keyed record; `None` if it has no key or a shorter one than it says.
pub(crate) fn split_record(record: &Bytes) -> Option<(String, Bytes)> {
    let value_start = 1 + usize::from(*record.first()?);
    let key = String::from_utf8_lossy(record.get(1..value_start)?).into_owned();
    Some((key, record.slice(value_start..)))
}

impl Topic {
    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn append(&mut self, record: Bytes) {
        let offset = self.end_offset();
        let Some((key, value)) = split_record(&record) else {
            self.records.push(record);
            return;
        };
        let found = self
            .newest
            .binary_search_by(|(known, _, _)| known.cmp(&key));
        match (found, value.is_empty()) {
            (Ok(i), true) => {
                self.newest.remove(i);
            }
            (Ok(i), false) => self.newest[i] = (key, value, offset),
            (Err(_), true) => {}
            (Err(i), false) => self.newest.insert(i, (key, value, offset)),
        }
        self.records.push(record);
    }
}

impl Shared {
    fn new() -> Self {
        Self {
            faults: StoreFaults::default(),
            page_keys: AtomicUsize::new(PAGE_KEYS),
            topics: Mutex::default(),
            era: AtomicU64::default(),
            calls: AtomicU64::default(),
            sent_bytes: AtomicU64::default(),
        }
    }

    fn with_topic<T>(&self, name: &str, f: impl FnOnce(&mut Topic) -> T) -> T {
        let mut topics = lock(&self.topics);
        let i = match topics.binary_search_by(|(known, _)| known.as_str().cmp(name)) {
            Ok(i) => i,
            Err(i) => {
                topics.insert(i, (name.to_owned(), Topic::default()));
                i
            }
        };
        f(&mut topics[i].1)
    }

    async fn handle(
        self: &Arc<Self>,
        req: Request<Incoming>,
        ports: Option<RelayPorts>,
    ) -> HandlerResult {
        self.calls.fetch_add(1, Relaxed);
        match self.faults.refuse_with.load(Relaxed) {
            0 => {}
            1 => std::future::pending().await,
            status => {
                let status = StatusCode::from_u16(status).map_err(|_| Abort)?;
                return Ok(http::empty(status));
            }
        }
        self.faults.delay.wait().await;
        let path = req.uri().path().to_owned();
        let Ok(query) = Query::decode(req.uri().query()) else {
            return Ok(http::empty(StatusCode::BAD_REQUEST));
        };
        let topic = query.text("topic").unwrap_or_default();
        match path.as_str() {
            "/api/log-append" => {
                let body = http::read_body(req.into_body()).await.map_err(|_| Abort)?;
                self.append(topic, body, query.number("at")).await
            }
            "/api/log-read" => {
                let from = query.number("from").unwrap_or(0);
                let max_kb = query.number("max-kb").unwrap_or(MAX_READ_KB);
                let max_bytes = max_kb.min(MAX_READ_KB) as usize * 1_024;
                let res = self.read(topic, from, max_bytes, ports);
                Ok(self.paced(res).await)
            }
            "/api/log-newest" => {
                let after = query.text("after").unwrap_or_default();
                let res = self.newest(topic, after, ports);
                Ok(self.paced(res).await)
            }
            _ => Ok(http::empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn append(
        self: &Arc<Self>,
        topic: &str,
        mut body: Bytes,
        at: Option<u64>,
    ) -> HandlerResult {
        if topic == "keyed.op" || topic == SERVERS_TOPIC {
            return Ok(http::empty(StatusCode::FORBIDDEN));
        }
        let mut records = Vec::new();
        while body.len() >= 4 {
            let length = body.get_u32() as usize;
            if length > body.len() {
                return Ok(http::empty(StatusCode::BAD_REQUEST));
            }
            records.push(body.split_to(length));
        }
        let is_response_lost = self.faults.lost_responses.next_is_hit();
        let lost_append_delay = self.faults.lost_append_delay.get();
        if is_response_lost && !lost_append_delay.is_zero() {
            let shared = Arc::clone(self);
            let topic = topic.to_owned();
            tokio::spawn(async move {
                tokio::time::sleep(lost_append_delay).await;
                // Its caller has given up on the response, so nobody learns whether the condition held.
                let _ = shared.append_all(&topic, records, at);
            });
            return std::future::pending().await;
        }
        let (offset, end_offset) = match self.append_all(topic, records, at) {
            Ok(offsets) => offsets,
            Err(end) => {
                let body = json!({"end": end});
                return Ok(http::json(StatusCode::PRECONDITION_FAILED, &body));
            }
        };
        if is_response_lost {
            std::future::pending::<()>().await;
        }
        Ok(http::json(
            StatusCode::OK,
            &json!({"offset": offset, "end": end_offset}),
        ))
    }

    /// Appends records if the topic ends at `at` or `at` is `None`. Returns the offsets of the first record and after the
    /// last one, or where the topic ends if that is elsewhere.
    fn append_all(
        &self,
        topic: &str,
        records: Vec<Bytes>,
        at: Option<u64>,
    ) -> Result<(u64, u64), u64> {
        self.with_topic(topic, |topic| {
            let offset = topic.end_offset();
            if at.is_some_and(|at| at != offset) {
                return Err(offset);
            }
            for record in records {
                topic.append(record);
            }
            Ok((offset, topic.end_offset()))
        })
    }

    /// Returns the response to a read after the time that its bytes take.
    async fn paced(&self, res: Response<ResponseBody>) -> Response<ResponseBody> {
        let bytes = res.body().size_hint().lower();
        self.faults.wait_for_bytes(bytes).await;
        res
    }

    /// Sets the header that counts how often the store was restored. The responses to reads get it while the topics are
    /// locked, so that it belongs to their records.
    fn set_era(&self, res: &mut Response<ResponseBody>) {
        http::set_header(res, ERA_HEADER, &self.era.load(Relaxed).to_string());
    }

    /// Returns the records from offset `from` on, of at most `max_bytes` altogether but at least one.
    fn read(
        &self,
        name: &str,
        from: u64,
        max_bytes: usize,
        ports: Option<RelayPorts>,
    ) -> Response<ResponseBody> {
        self.with_topic(name, |topic| {
            if from < topic.first_offset || from > topic.end_offset() {
                return http::json(StatusCode::GONE, &json!({"first": topic.first_offset}));
            }
            let mut buf = BytesMut::new();
            buf.put_u64(topic.end_offset());
            buf.put_u64(topic.first_offset);
            let mut bytes = 0;
            for record in topic
                .records
                .iter()
                .skip((from - topic.first_offset) as usize)
            {
                bytes += 4 + record.len();
                if bytes > max_bytes && bytes > 4 + record.len() {
                    break;
                }
                let changed = ports.and_then(|ports| {
                    let (key, value) = split_record(record)?;
                    let value = with_ports(name, &value, ports)?;
                    Some(keyed_record(&key, &value))
                });
                let record = changed.as_ref().unwrap_or(record);
                buf.put_u32(record.len() as u32);
                buf.put_slice(record);
            }
            self.sent_bytes.fetch_add(buf.len() as u64, Relaxed);
            let mut res = Response::new(http::full(buf.freeze()));
            self.set_era(&mut res);
            res
        })
    }

    fn newest(&self, name: &str, after: &str, ports: Option<RelayPorts>) -> Response<ResponseBody> {
        self.with_topic(name, |topic| {
            let later = topic
                .newest
                .iter()
                .filter(|(key, _, _)| key.as_str() > after);
            let mut bytes = 0;
            let items: Vec<serde_json::Value> = later
                .clone()
                .take(self.page_keys.load(Relaxed))
                .take_while(|(key, value, _)| {
                    let is_first = bytes == 0;
                    bytes += key.len() + value.len();
                    is_first || bytes <= PAGE_BYTES
                })
                .map(|(key, value, offset)| {
                    let changed = ports.and_then(|ports| with_ports(name, value, ports));
                    let value = changed.as_ref().unwrap_or(value);
                    json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
                })
                .collect();
            let has_more = later.count() > items.len();
            let page = json!({"items": items, "has-more": has_more, "end": topic.end_offset()});
            let length = page.to_string().len() as u64;
            self.sent_bytes.fetch_add(length, Relaxed);
            let mut res = http::json(StatusCode::OK, &page);
            self.set_era(&mut res);
            res
        })
    }
}

#[cfg(test)]
mod tests;
