//! The slots of a server, and the requests that wait for one.

use hyper::HeaderMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::http;

/// Longest time that a request without deadline waits for a slot.
const USUAL_WAIT: Duration = Duration::from_secs(10);

/// A slot, free again when it is dropped.
pub(super) type Slot = OwnedSemaphorePermit;

#[derive(Debug)]
pub(super) struct Slots {
    count: u32,
    queue: u32,
    free: Arc<Semaphore>,
    waiting: AtomicU32,
}

/// Counts a request as waiting until it is dropped.
struct Waiting<'a>(&'a AtomicU32);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

impl Slots {
    pub(super) fn new(count: u32, queue: u32) -> Self {
        Self {
            count,
            queue,
            free: Arc::new(Semaphore::new(count as usize)),
            waiting: AtomicU32::new(0),
        }
    }

    pub(super) fn count(&self) -> u32 {
        self.count
    }

    pub(super) fn waiting(&self) -> u32 {
        self.waiting.load(Relaxed)
    }

    /// Waits for a slot; returns `None` if too many wait, or if the request's deadline passes meanwhile.
    pub(super) async fn take(&self, headers: &HeaderMap) -> Option<Slot> {
        if let Ok(slot) = Arc::clone(&self.free).try_acquire_owned() {
            return Some(slot);
        }
        if self.waiting.fetch_add(1, Relaxed) >= self.queue {
            self.waiting.fetch_sub(1, Relaxed);
            return None;
        }
        let _waiting = Waiting(&self.waiting);
        let deadline = http::header(headers, "currantbend-deadline-ms").parse();
        let time = deadline.map_or(USUAL_WAIT, Duration::from_millis);
        let taking = Arc::clone(&self.free).acquire_owned();
        tokio::time::timeout(time, taking).await.ok()?.ok()
    }
}
