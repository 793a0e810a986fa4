//! The batch slots of an engine and the queue for them, in which interactive requests precede batch requests.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use tokio::sync::oneshot;

use crate::truth::lock;

/// The batch of one engine: the requests that it runs at the same time.
#[derive(Debug)]
pub struct Batch {
    max_requests: u32,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: u32,
    next_id: u64,
    interactive: VecDeque<Waiter>,
    batch: VecDeque<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    id: u64,
    tx: oneshot::Sender<SlotGuard>,
}

/// A slot in the batch; when it is dropped, it passes to the next waiting request.
#[derive(Debug)]
pub struct SlotGuard(Arc<Batch>);

impl Batch {
    /// Creates a batch of at most `max_requests` requests; 0 counts as 1.
    pub fn new(max_requests: u32) -> Arc<Batch> {
        Arc::new(Batch {
            max_requests: max_requests.max(1),
            inner: Mutex::new(Inner::default()),
        })
    }

    /// Waits for a slot.
    pub async fn acquire(self: &Arc<Self>, is_batch: bool) -> SlotGuard {
        let queued = {
            let mut inner = lock(&self.inner);
            if inner.running < self.max_requests {
                inner.running += 1;
                return SlotGuard(self.clone());
            }
            let (tx, rx) = oneshot::channel();
            let id = inner.next_id;
            inner.next_id += 1;
            let queue = if is_batch {
                &mut inner.batch
            } else {
                &mut inner.interactive
            };
            queue.push_back(Waiter { id, tx });
            QueuedRequest {
                batch: self,
                id,
                rx,
            }
        };
        queued.slot().await
    }

    /// Returns the share of slots in use, from 0 to 1.
    pub fn utilization(&self) -> f64 {
        f64::from(lock(&self.inner).running) / f64::from(self.max_requests)
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let next = {
            let mut inner = lock(&self.0.inner);
            let next = inner.interactive.pop_front();
            let next = next.or_else(|| inner.batch.pop_front());
            if next.is_none() {
                inner.running -= 1;
            }
            next
        };
        if let Some(waiter) = next {
            // If the waiter no longer waits, the send returns the slot, and dropping it passes it to the next waiter.
            let _ = waiter.tx.send(SlotGuard(self.0.clone()));
        }
    }
}

/// A request in the queue; dropping it removes it from the queue.
struct QueuedRequest<'a> {
    batch: &'a Batch,
    id: u64,
    rx: oneshot::Receiver<SlotGuard>,
}

impl QueuedRequest<'_> {
    async fn slot(mut self) -> SlotGuard {
        let slot = (&mut self.rx).await;
        slot.expect("a waiter stays in the queue until it is sent a slot")
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let mut inner = lock(&self.batch.inner);
        let id = self.id;
        inner.interactive.retain(|waiter| waiter.id != id);
        inner.batch.retain(|waiter| waiter.id != id);
    }
}
