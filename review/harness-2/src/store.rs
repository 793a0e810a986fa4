//! The platform's store as far as a gateway uses it: topics with records and the newest value of each key.

use crate::http::Head;
use crate::http::Reader;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// Key, value and offset, sorted by key.
    newest: Vec<(Vec<u8>, Vec<u8>, usize)>,
}

impl Topic {
    fn append(&mut self, record: Vec<u8>) {
        let offset = self.records.len();
        let key_end = 1 + usize::from(record.first().copied().unwrap_or(0));
        if let (Some(key), Some(value)) = (record.get(1..key_end), record.get(key_end..)) {
            let found = self
                .newest
                .binary_search_by(|(known, _, _)| known.as_slice().cmp(key));
            match (found, value.is_empty()) {
                (Ok(index), true) => drop(self.newest.remove(index)),
                (Ok(index), false) => self.newest[index] = (key.to_vec(), value.to_vec(), offset),
                (Err(_), true) => {}
                (Err(index), false) => self
                    .newest
                    .insert(index, (key.to_vec(), value.to_vec(), offset)),
            }
        }
        self.records.push(record);
    }
}

/// A running store; it ends with the process.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<Mutex<Vec<(String, Topic)>>>,
}

/// Number of keys on a page.
const PAGE_KEYS: usize = 500;

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let store = Self {
            address: listener.local_addr()?,
            topics: Arc::default(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(stream));
            }
        });
        Ok(store)
    }

    fn with<T>(&self, name: &str, change: impl FnOnce(&mut Topic) -> T) -> T {
        let mut topics = self.topics.lock().unwrap();
        let index = match topics.iter().position(|(known, _)| known == name) {
            Some(index) => index,
            None => {
                topics.push((name.to_owned(), Topic::default()));
                topics.len() - 1
            }
        };
        change(&mut topics[index].1)
    }

    /// Writes a record as the operator or a replica does; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.with(topic, |topic| topic.append(record));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(head) = reader.head() {
            let Ok(body) = reader.body(&head, false) else {
                return;
            };
            let (status, answer) = self.answer(&head, &body);
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
                answer.len()
            );
            if writer
                .write_all(&[head.as_bytes(), &answer].concat())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, Vec<u8>) {
        let (_, target) = head.target();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(known, _)| *known == name)
                .map(|(_, value)| percent_decoded(value))
                .next()
        };
        let topic = value("topic").unwrap_or_default();
        match path {
            "/api/log-append" => {
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return (403, Vec::new());
                }
                let at: Option<usize> = value("at").and_then(|at| at.parse().ok());
                let mut records = Vec::new();
                let mut rest = body;
                while let Some((length, after)) = rest.split_first_chunk::<4>() {
                    let length = u32::from_be_bytes(*length) as usize;
                    let Some((record, after)) = after.split_at_checked(length) else {
                        return (400, Vec::new());
                    };
                    records.push(record.to_vec());
                    rest = after;
                }
                self.with(&topic, |topic| {
                    let offset = topic.records.len();
                    if at.is_some_and(|at| at != offset) {
                        return (412, format!("{{\"end\":{offset}}}").into_bytes());
                    }
                    records.into_iter().for_each(|record| topic.append(record));
                    (
                        200,
                        format!("{{\"offset\":{offset},\"end\":{}}}", topic.records.len())
                            .into_bytes(),
                    )
                })
            }
            "/api/log-read" => {
                let from: usize = value("from")
                    .and_then(|from| from.parse().ok())
                    .unwrap_or(0);
                self.with(&topic, |topic| {
                    let mut answer = (topic.records.len() as u64).to_be_bytes().to_vec();
                    answer.extend_from_slice(&0u64.to_be_bytes());
                    for record in topic.records.iter().skip(from) {
                        answer.extend_from_slice(&(record.len() as u32).to_be_bytes());
                        answer.extend_from_slice(record);
                    }
                    (200, answer)
                })
            }
            "/api/log-newest" => {
                let after = value("after").unwrap_or_default().into_bytes();
                self.with(&topic, |topic| {
                    let further = topic
                        .newest
                        .iter()
                        .filter(|(key, _, _)| after.is_empty() || *key > after);
                    let rows: Vec<_> = further.collect();
                    let items = rows.iter().take(PAGE_KEYS).map(|(key, value, offset)| {
                        let key = String::from_utf8_lossy(key);
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        )
                    });
                    let items = items.collect::<Vec<_>>().join(",");
                    let has_more = rows.len() > PAGE_KEYS;
                    let end = topic.records.len();
                    (
                        200,
                        format!("{{\"items\":[{items}],\"has-more\":{has_more},\"end\":{end}}}")
                            .into_bytes(),
                    )
                })
            }
            _ => (404, Vec::new()),
        }
    }
}

fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        let code = after
            .get(..2)
            .and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if first == b'%' => {
                bytes.push(byte);
                rest = &after[2..];
            }
            _ => {
                bytes.push(first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part
            .iter()
            .fold(0u32, |number, byte| number << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for place in 0..4 {
            if place <= part.len() {
                text.push(char::from(
                    DIGITS[(number >> (18 - 6 * place)) as usize & 63],
                ));
            } else {
                text.push('=');
            }
        }
    }
    text
}
