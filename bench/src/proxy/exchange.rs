//! The exchange of two HTTP/1.1 answers between connections to one target.

use bytes::Bytes;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::oneshot;

use crate::truth::lock;

/// How long an answer waits for another one to change places with.
const WAIT: Duration = Duration::from_millis(500);

/// The answers that wait, at most one per target.
#[derive(Debug, Default)]
pub(super) struct Exchange(Mutex<Vec<Waiting>>);

#[derive(Debug)]
struct Waiting {
    target: String,
    answer: Bytes,
    tx: oneshot::Sender<Bytes>,
}

impl Exchange {
    /// Gives another connection's answer for `answer`, or itself where none comes in time.
    pub async fn swap(&self, target: &str, answer: Bytes) -> Bytes {
        let rx = {
            let mut all = lock(&self.0);
            all.retain(|waiting| !waiting.tx.is_closed());
            if let Some(i) = all.iter().position(|waiting| waiting.target == target) {
                let waiting = all.swap_remove(i);
                return match waiting.tx.send(answer) {
                    Ok(()) => waiting.answer,
                    Err(answer) => answer,
                };
            }
            let (tx, rx) = oneshot::channel();
            all.push(Waiting {
                target: target.to_owned(),
                answer: answer.clone(),
                tx,
            });
            rx
        };
        match tokio::time::timeout(WAIT, rx).await {
            Ok(Ok(other)) => other,
            _ => answer,
        }
    }
}

/// What a buffer of bytes towards the connecting side holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Held {
    /// An answer that goes on.
    Part,
    /// A whole answer of this length.
    Whole(usize),
    /// No HTTP/1.1 answer.
    Other,
}

/// Looks whether a buffer holds a whole HTTP/1.1 answer.
pub(super) fn held(buf: &[u8]) -> Held {
    const START: &[u8] = b"HTTP/1.1";
    if !START.starts_with(&buf[..buf.len().min(START.len())]) {
        return Held::Other;
    }
    let Some(head_end) = find(buf, b"\r\n\r\n") else {
        return Held::Part;
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).to_ascii_lowercase();
    let body = head_end + 4;
    let end = if head.contains("transfer-encoding: chunked") {
        find(&buf[head_end..], b"\r\n0\r\n\r\n").map(|i| head_end + i + 7)
    } else {
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length:"))
            .and_then(|value| value.trim().parse::<usize>().ok());
        Some(body + length.unwrap_or(0))
    };
    match end {
        Some(end) if end <= buf.len() => Held::Whole(end),
        _ => Held::Part,
    }
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).position(|part| part == pattern)
}
