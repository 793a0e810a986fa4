//! When something last came from a server for one send.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use tokio::time::Instant;

/// What has come from the server of one send, shared by the task of the send and the one that waits for it.
#[derive(Debug, Default)]
pub(super) struct Progress {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    last_byte_at: Option<Instant>,
    event_began_at: Option<Instant>,
    ended_at: Option<Instant>,
}

impl Progress {
    /// Returns the progress of a send of which the last byte came at `at`.
    pub(super) fn since(at: Instant) -> Self {
        Self {
            state: Mutex::new(State {
                last_byte_at: Some(at),
                event_began_at: None,
                ended_at: None,
            }),
        }
    }

    /// Records that the head or a part of the body has come.
    pub(super) fn record_bytes(&self) {
        self.lock().last_byte_at = Some(Instant::now());
    }

    /// Records that bytes of an event have come, which shows that the server runs the request.
    pub(super) fn record_event_bytes(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        state.last_byte_at = Some(now);
        state.event_began_at.get_or_insert(now);
    }

    /// Records that the answer has come to its end, which is yet to be confirmed.
    pub(super) fn record_end(&self) {
        self.lock().ended_at.get_or_insert_with(Instant::now);
    }

    /// Returns when the answer came to its end.
    pub(super) fn ended_at(&self) -> Option<Instant> {
        self.lock().ended_at
    }

    /// Returns when the last byte came; `None` if there was none.
    pub(super) fn last_byte_at(&self) -> Option<Instant> {
        self.lock().last_byte_at
    }

    /// Returns when the first bytes of an event came.
    pub(super) fn event_began_at(&self) -> Option<Instant> {
        self.lock().event_began_at
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
