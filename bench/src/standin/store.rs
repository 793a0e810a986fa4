//! The store of the users' platform: topics of records in memory, keyed topics, and faults.

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
use hyper::body::Incoming;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::http;
use crate::http::Abort;
use crate::http::HandlerResult;
use crate::http::ResponseBody;
use crate::http::Server;
use crate::standin::faults::ExtraDelay;
use crate::standin::faults::FaultRate;
use crate::truth::lock;

/// Keys on one page of newest records.
const PAGE_KEYS: usize = 500;

/// Faults of the store.
#[derive(Debug, Default)]
pub struct StoreFaults {
    /// Status that everything is refused with; 0 for none, 1 for silence.
    refuse_with: AtomicU16,
    delay: ExtraDelay,
    lost_responses: FaultRate,
    late: ExtraDelay,
}

impl StoreFaults {
    /// Refuses every call with `status`, or serves again.
    pub fn set_refusal(&self, status: Option<u16>) {
        self.refuse_with.store(status.unwrap_or(0), Relaxed);
    }

    /// Leaves every call without an answer and undone, or serves again.
    pub fn set_silent(&self, is_silent: bool) {
        self.refuse_with.store(u16::from(is_silent), Relaxed);
    }

    /// Delays each answer.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.set(delay);
    }

    /// Loses the answers of so many of a thousand appends, after the records are in.
    pub fn set_lost_responses(&self, permille: u32) {
        self.lost_responses.set(permille);
    }

    /// Lets appends whose answer is lost take effect only after `delay`.
    pub fn set_late(&self, delay: Duration) {
        self.late.set(delay);
    }
}

#[derive(Debug, Default)]
struct Topic {
    /// Offset of the first record that is kept.
    first: u64,
    records: Vec<Bytes>,
    /// Newest value of each key, sorted by key.
    newest: Vec<(String, Bytes, u64)>,
}

#[derive(Debug, Default)]
struct Shared {
    faults: StoreFaults,
    /// Sorted by name.
    topics: Mutex<Vec<(String, Topic)>>,
    calls: AtomicU64,
}

/// The running store.
#[derive(Debug)]
pub struct StoreService {
    server: Server,
    shared: Arc<Shared>,
}

impl StoreService {
    /// Starts the store.
    ///
    /// # Errors
    ///
    /// Where the address can't be bound.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let serving = Arc::clone(&shared);
        let handler: http::Handler = Arc::new(move |req| -> BoxFuture<'static, HandlerResult> {
            let shared = Arc::clone(&serving);
            Box::pin(async move { shared.answer(req).await })
        });
        let server = Server::start(listen, handler).await?;
        Ok(Self { server, shared })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its faults.
    pub fn faults(&self) -> &StoreFaults {
        &self.shared.faults
    }

    /// Calls that reached it.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Relaxed)
    }

    /// Writes a record as the operator or a backend server does; no value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let record = keyed_record(key, value.unwrap_or_default());
        self.shared.with_topic(topic, |topic| topic.append(record));
    }

    /// Drops the history of a topic; the newest record of each key stays.
    pub fn drop_history(&self, topic: &str) {
        self.shared.with_topic(topic, |topic| {
            topic.first += topic.records.len() as u64;
            topic.records.clear();
        });
    }

    /// Keys of a topic, sorted.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        self.shared.with_topic(topic, |topic| {
            topic.newest.iter().map(|(key, _, _)| key.clone()).collect()
        })
    }

    /// Stops at once.
    pub async fn abort(self) {
        self.server.abort().await;
    }
}

/// A keyed record without its length.
pub fn keyed_record(key: &str, value: &[u8]) -> Bytes {
    let mut buf = BytesMut::new();
    buf.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
    buf.put_slice(key.as_bytes());
    buf.put_slice(value);
    buf.freeze()
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, record: Bytes) {
        let offset = self.end();
        let length = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
        let value = record.slice(length + 1..);
        let found = self
            .newest
            .binary_search_by(|(known, _, _)| known.cmp(&key));
        match (found, value.is_empty()) {
            (Ok(at), true) => {
                self.newest.remove(at);
            }
            (Ok(at), false) => self.newest[at] = (key, value, offset),
            (Err(_), true) => {}
            (Err(at), false) => self.newest.insert(at, (key, value, offset)),
        }
        self.records.push(record);
    }
}

impl Shared {
    fn with_topic<T>(&self, name: &str, act: impl FnOnce(&mut Topic) -> T) -> T {
        let mut topics = lock(&self.topics);
        let at = match topics.binary_search_by(|(known, _)| known.as_str().cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                topics.insert(at, (name.to_owned(), Topic::default()));
                at
            }
        };
        act(&mut topics[at].1)
    }

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> HandlerResult {
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
        let query = req.uri().query().unwrap_or_default().to_owned();
        let topic = query_text(&query, "topic").unwrap_or_default();
        match path.as_str() {
            "/api/log-append" => {
                let body = http::read_body(req.into_body()).await.map_err(|_| Abort)?;
                self.append(&topic, body).await
            }
            "/api/log-read" => {
                let from = http::query_number(Some(&query), "from").unwrap_or(0);
                Ok(self.read(&topic, from))
            }
            "/api/log-newest" => {
                let after = query_text(&query, "after").unwrap_or_default();
                Ok(self.newest(&topic, &after))
            }
            _ => Ok(http::empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn append(self: &Arc<Self>, topic: &str, mut body: Bytes) -> HandlerResult {
        if topic == "keyed.op" || topic == "keyed.servers" {
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
        let is_lost = self.faults.lost_responses.next_is_hit();
        let late = self.faults.late.get();
        if is_lost && !late.is_zero() {
            let shared = Arc::clone(self);
            let topic = topic.to_owned();
            tokio::spawn(async move {
                tokio::time::sleep(late).await;
                shared.write(&topic, records);
            });
            return std::future::pending().await;
        }
        let (offset, end) = self.write(topic, records);
        if is_lost {
            std::future::pending::<()>().await;
        }
        Ok(http::json(
            StatusCode::OK,
            &json!({"offset": offset, "end": end}),
        ))
    }

    fn write(&self, topic: &str, records: Vec<Bytes>) -> (u64, u64) {
        self.with_topic(topic, |topic| {
            let offset = topic.end();
            for record in records {
                topic.append(record);
            }
            (offset, topic.end())
        })
    }

    fn read(&self, topic: &str, from: u64) -> Response<ResponseBody> {
        self.with_topic(topic, |topic| {
            if from < topic.first {
                return http::json(StatusCode::GONE, &json!({"first": topic.first}));
            }
            let mut buf = BytesMut::new();
            buf.put_u64(topic.end());
            buf.put_u64(topic.first);
            for record in topic.records.iter().skip((from - topic.first) as usize) {
                buf.put_u32(record.len() as u32);
                buf.put_slice(record);
            }
            Response::new(http::full(buf.freeze()))
        })
    }

    fn newest(&self, topic: &str, after: &str) -> Response<ResponseBody> {
        self.with_topic(topic, |topic| {
            let later = topic
                .newest
                .iter()
                .filter(|(key, _, _)| key.as_str() > after);
            let items: Vec<serde_json::Value> = later
                .clone()
                .take(PAGE_KEYS)
                .map(|(key, value, offset)| {
                    json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
                })
                .collect();
            let has_more = later.count() > items.len();
            let page = json!({"items": items, "has-more": has_more, "end": topic.end()});
            http::json(StatusCode::OK, &page)
        })
    }
}

fn query_text(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().map(|(_, value)| value.to_owned())
}
