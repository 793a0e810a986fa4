//! The slots of an engine's batch and the queue before them, interactive requests first.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use tokio::sync::oneshot;

use crate::truth::lock;

/// The batch of one engine.
#[derive(Debug)]
pub struct Batch {
    max: u32,
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
    tx: oneshot::Sender<Slot>,
}

/// A place in the batch; the next waiting request gets it on drop.
#[derive(Debug)]
pub struct Slot(Arc<Batch>);

impl Batch {
    /// A batch of at most `max` requests.
    pub fn new(max: u32) -> Arc<Batch> {
        Arc::new(Batch {
            max: max.max(1),
            inner: Mutex::new(Inner::default()),
        })
    }

    /// Waits for a place.
    pub async fn enter(self: &Arc<Self>, is_batch: bool) -> Slot {
        let waiting = {
            let mut inner = lock(&self.inner);
            if inner.running < self.max {
                inner.running += 1;
                return Slot(self.clone());
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
            Waiting {
                batch: self,
                id,
                rx,
            }
        };
        waiting.slot().await
    }

    /// Share of the batch that runs, from 0 to 1.
    pub fn fullness(&self) -> f64 {
        f64::from(lock(&self.inner).running) / f64::from(self.max)
    }
}

impl Drop for Slot {
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
            // A slot that its waiter doesn't take any more comes back and is dropped in turn.
            let _ = waiter.tx.send(Slot(self.0.clone()));
        }
    }
}

/// A request in the queue; it leaves the queue on drop.
struct Waiting<'a> {
    batch: &'a Batch,
    id: u64,
    rx: oneshot::Receiver<Slot>,
}

impl Waiting<'_> {
    async fn slot(mut self) -> Slot {
        let slot = (&mut self.rx).await;
        slot.expect("a waiter stays in the queue until it is sent a slot")
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut inner = lock(&self.batch.inner);
        let id = self.id;
        inner.interactive.retain(|waiter| waiter.id != id);
        inner.batch.retain(|waiter| waiter.id != id);
    }
}
