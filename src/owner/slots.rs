//! Exact counts of what each owned backend server has in flight.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// What the owner keeps of one backend server.
#[derive(Debug, Default)]
pub(super) struct Slot {
    in_flight: AtomicU32,
}

impl Slot {
    /// Gives the requests in flight.
    pub(super) fn load(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Slots of all backend servers that this node has ever handed work to.
#[derive(Debug, Default)]
pub(super) struct Slots {
    // Sorted by name.
    slots: Mutex<Vec<(String, Arc<Slot>)>>,
}

impl Slots {
    /// Gives the slot of `backend`, made where there is none.
    pub(super) fn slot(&self, backend: &str) -> Arc<Slot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        match slots.binary_search_by(|(name, _)| name.as_str().cmp(backend)) {
            Ok(i) => Arc::clone(&slots[i].1),
            Err(i) => {
                let slot = Arc::new(Slot::default());
                slots.insert(i, (backend.to_owned(), Arc::clone(&slot)));
                slot
            }
        }
    }
}

/// Counts one request at a backend server until it is dropped.
#[derive(Debug)]
pub(super) struct Occupied(Arc<Slot>);

impl Occupied {
    /// Counts a request.
    pub(super) fn take(slot: &Arc<Slot>) -> Self {
        slot.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(slot))
    }

    /// Gives the requests in flight, with this one.
    pub(super) fn load(&self) -> u32 {
        self.0.load()
    }
}

impl Drop for Occupied {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
