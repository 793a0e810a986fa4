//! Changes of the node list that a node has yet to write to the directory, for itself and for those that it serves as relay.
//!
//! Nodes tell their relay that they start or leave, and the relay writes what it was told in one call: at once after a quiet
//! time, and at intervals while many start. So a restart of many nodes costs the store a few calls for each data centre
//! instead of two for each node.

use super::directory::DirectoryChange;
use crate::clock::BootInstant;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::Notify;

/// Time in which one more call may write to the directory. A node that restarts leaves and starts within this time.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of calls that may follow each other at once after a quiet time.
const BURST: u32 = 2;

#[derive(Debug, Default)]
struct State {
    /// The last change of each node, sorted by name.
    pending: Vec<DirectoryChange>,
    /// When the calls so far are made up for, each taking [`WRITE_INTERVAL`]; `None` before the first one.
    paid_until: Option<BootInstant>,
    /// Time before which nothing is written, after a call that failed.
    not_before: Option<BootInstant>,
}

/// The changes that are not in the directory yet.
#[derive(Debug, Default)]
pub(super) struct Registrations {
    state: Mutex<State>,
    added: Notify,
}

impl Registrations {
    /// Adds a change, which replaces an earlier one of the same node.
    pub(super) fn add(&self, change: DirectoryChange) {
        let mut state = self.lock();
        let found = state
            .pending
            .binary_search_by(|known| known.name().cmp(change.name()));
        match found {
            Ok(index) => state.pending[index] = change,
            Err(index) => state.pending.insert(index, change),
        }
        drop(state);
        self.added.notify_one();
    }

    /// Returns the changes that are not in the directory yet, sorted by name.
    pub(super) fn pending(&self) -> Vec<DirectoryChange> {
        self.lock().pending.clone()
    }

    /// Records that `written` are in the directory. A change that was added since then stays.
    pub(super) fn record_written(&self, written: &[DirectoryChange], now: BootInstant) {
        let mut state = self.lock();
        state.pending.retain(|change| !written.contains(change));
        let paid_until = state.paid_until.map_or(now, |at| at.max(now));
        state.paid_until = Some(paid_until.plus(WRITE_INTERVAL));
    }

    /// Records that the directory did not take the changes; they are written after `pause`.
    pub(super) fn record_failure(&self, pause: Duration, now: BootInstant) {
        self.lock().not_before = Some(now.plus(pause));
    }

    /// Waits until there is something to write, and until it may be written.
    pub(super) async fn due(&self) {
        loop {
            match self.time_left(BootInstant::now()) {
                Some(Duration::ZERO) => return,
                Some(left) => tokio::time::sleep(left).await,
                None => self.added.notified().await,
            }
        }
    }

    /// Returns the time until the changes may be written; `None` if there are none.
    fn time_left(&self, now: BootInstant) -> Option<Duration> {
        let state = self.lock();
        let until = |at: BootInstant| at.since(now);
        let from_calls = state.paid_until.map_or(Duration::ZERO, until);
        let from_calls = from_calls.saturating_sub(WRITE_INTERVAL * (BURST - 1));
        let from_failure = state.not_before.map_or(Duration::ZERO, until);
        (!state.pending.is_empty()).then_some(from_calls.max(from_failure))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
