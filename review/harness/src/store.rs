//! The platform's store, in memory: the calls on keyed topics that the gateways make.

use crate::http;
use crate::http::Head;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use percent_encoding::percent_decode_str;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Number of records and of bytes in one answer.
const PAGE_KEYS: usize = 500;
const READ_BYTES: usize = 1_024 * 1_024;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// Newest value of each key, with its offset.
    newest: BTreeMap<String, (Vec<u8>, usize)>,
}

/// A query that can't be decoded.
struct Malformed;

/// A running store.
pub struct Store {
    address: SocketAddr,
    topics: Arc<Mutex<BTreeMap<String, Topic>>>,
}

impl Topic {
    /// Appends a record: the length of the key in a byte, the key, the value.
    fn append(&mut self, record: Vec<u8>) {
        let Some((length, rest)) = record.split_first() else {
            return;
        };
        let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
        let key = String::from_utf8_lossy(key).into_owned();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest
                .insert(key, (value.to_vec(), self.records.len()));
        }
        self.records.push(record);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Store {
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let topics: Arc<Mutex<BTreeMap<String, Topic>>> = Arc::default();
        let served = Arc::clone(&topics);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve(Arc::clone(&served), BufReader::new(stream)));
            }
        });
        Ok(Self { address, topics })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a record, as the operator or a replica does; without a value the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend(key.as_bytes());
        record.extend(value.unwrap_or_default());
        let mut topics = lock(&self.topics);
        topics.entry(topic.to_owned()).or_default().append(record);
    }
}

async fn serve(topics: Arc<Mutex<BTreeMap<String, Topic>>>, mut stream: BufReader<TcpStream>) {
    while let Ok(Some(head)) = http::read_head(&mut stream).await {
        let Ok(body) = http::read_body(&mut stream, &head, false).await else {
            return;
        };
        let (status, answer) = handle(&mut lock(&topics), &head, &body);
        let text = format!(
            "HTTP/1.1 {status} Answer\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            answer.len()
        );
        let bytes = [text.as_bytes(), &answer].concat();
        if http::write(&mut stream, &bytes).await.is_err() {
            return;
        }
    }
}

/// Returns the decoded value of a parameter; an error if it can't be decoded.
fn parameter(target: &str, name: &str) -> Result<Option<String>, Malformed> {
    let Some((_, query)) = target.split_once('?') else {
        return Ok(None);
    };
    let mut parameters = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, value)) = parameters.find(|(known, _)| *known == name) else {
        return Ok(None);
    };
    let is_escape = |rest: &str| {
        let digits = rest.as_bytes().get(..2);
        digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
    };
    if !value.split('%').skip(1).all(is_escape) {
        return Err(Malformed);
    }
    let value = value.replace('+', " ");
    let decoded = percent_decode_str(&value).decode_utf8();
    decoded
        .map(|value| Some(value.into_owned()))
        .map_err(|_| Malformed)
}

fn handle(topics: &mut BTreeMap<String, Topic>, head: &Head, body: &[u8]) -> (u16, Vec<u8>) {
    answer(topics, head, body).unwrap_or((400, Vec::new()))
}

fn answer(
    topics: &mut BTreeMap<String, Topic>,
    head: &Head,
    body: &[u8],
) -> Result<(u16, Vec<u8>), Malformed> {
    let target = head.first_line.split(' ').nth(1).unwrap_or_default();
    let name = parameter(target, "topic")?.unwrap_or_default();
    let topic = topics.entry(name.clone()).or_default();
    let end = topic.records.len();
    let answer = match target.split('?').next() {
        Some("/api/log-append") => {
            let at = parameter(target, "at")?.and_then(|at| at.parse::<usize>().ok());
            if at.is_some_and(|at| at != end) {
                let answer = serde_json::json!({"end": end});
                return Ok((412, answer.to_string().into_bytes()));
            }
            if name == "keyed.op" || name == "keyed.servers" {
                return Ok((403, Vec::new()));
            }
            let mut rest = body;
            while rest.len() >= 4 {
                let (length, tail) = rest.split_at(4);
                let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]);
                let (record, tail) = tail.split_at((length as usize).min(tail.len()));
                topic.append(record.to_vec());
                rest = tail;
            }
            let answer = serde_json::json!({"offset": end, "end": topic.records.len()});
            (200, answer.to_string().into_bytes())
        }
        Some("/api/log-read") => {
            let from = parameter(target, "from")?.and_then(|from| from.parse::<usize>().ok());
            let mut answer = (end as u64).to_be_bytes().to_vec();
            answer.extend(0u64.to_be_bytes());
            for record in topic.records.iter().skip(from.unwrap_or(0)) {
                if answer.len() > READ_BYTES {
                    break;
                }
                answer.extend(u32::try_from(record.len()).unwrap_or(0).to_be_bytes());
                answer.extend(record);
            }
            (200, answer)
        }
        Some("/api/log-newest") => {
            let after = parameter(target, "after")?.unwrap_or_default();
            let later = topic.newest.iter().filter(|(key, _)| **key > after);
            let mut bytes = 0;
            let items: Vec<serde_json::Value> = later
                .clone()
                .take(PAGE_KEYS)
                .take_while(|(key, (value, _))| {
                    let is_first = bytes == 0;
                    bytes += key.len() + value.len();
                    is_first || bytes <= READ_BYTES
                })
                .map(|(key, (value, offset))| {
                    serde_json::json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
                })
                .collect();
            let has_more = later.count() > items.len();
            let answer = serde_json::json!({"items": items, "has-more": has_more, "end": end});
            (200, answer.to_string().into_bytes())
        }
        _ => (404, Vec::new()),
    };
    Ok(answer)
}
