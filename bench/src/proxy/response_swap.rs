//! Swaps HTTP/1.1 responses between two connections to the same target.

use bytes::Bytes;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::oneshot;

use crate::truth::lock;

/// How long a response waits for another one to be swapped with.
const MAX_SWAP_WAIT: Duration = Duration::from_millis(500);

/// The responses that wait for a swap, at most one for each target.
#[derive(Debug, Default)]
pub(super) struct ResponseSwap(Mutex<Vec<WaitingResponse>>);

#[derive(Debug)]
struct WaitingResponse {
    target: String,
    response: Bytes,
    tx: oneshot::Sender<Bytes>,
}

impl ResponseSwap {
    /// Returns the response of another connection in exchange for `response`. Returns `response` itself if no other
    /// connection to `target` has a response within `MAX_SWAP_WAIT`.
    pub async fn swap(&self, target: &str, response: Bytes) -> Bytes {
        let rx = {
            let mut all = lock(&self.0);
            all.retain(|waiting| !waiting.tx.is_closed());
            if let Some(i) = all.iter().position(|waiting| waiting.target == target) {
                let waiting = all.swap_remove(i);
                return match waiting.tx.send(response) {
                    Ok(()) => waiting.response,
                    Err(response) => response,
                };
            }
            let (tx, rx) = oneshot::channel();
            all.push(WaitingResponse {
                target: target.to_owned(),
                response: response.clone(),
                tx,
            });
            rx
        };
        match tokio::time::timeout(MAX_SWAP_WAIT, rx).await {
            Ok(Ok(other)) => other,
            _ => response,
        }
    }
}

/// Content of a buffer of bytes that go to the connecting side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BufferContent {
    /// The beginning of an HTTP/1.1 response.
    Partial,
    /// A complete HTTP/1.1 response of this length in bytes, perhaps followed by other bytes.
    Complete(usize),
    /// Bytes that are no HTTP/1.1 response.
    Other,
}

/// Determines whether a buffer begins with a complete HTTP/1.1 response.
pub(super) fn inspect_buffer(buf: &[u8]) -> BufferContent {
    const START: &[u8] = b"HTTP/1.1";
    if !START.starts_with(&buf[..buf.len().min(START.len())]) {
        return BufferContent::Other;
    }
    let Some(head_end) = find(buf, b"\r\n\r\n") else {
        return BufferContent::Partial;
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
        Some(end) if end <= buf.len() => BufferContent::Complete(end),
        _ => BufferContent::Partial,
    }
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).position(|part| part == pattern)
}
