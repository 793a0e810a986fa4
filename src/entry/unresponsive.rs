//! Claimers that did not answer lately, which callers' keys are not sent to for a while.
//!
//! It only saves callers from `unknown`; claims by two nodes are harmless.

use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::owner::Answer;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Time for which a claimer that fell silent is avoided.
const AVOID_DURATION: Duration = Duration::from_secs(5);

/// Nodes that fell silent.
#[derive(Debug, Default)]
pub(super) struct UnresponsiveNodes {
    // Sorted by name.
    avoided_until: Mutex<Vec<(String, Instant)>>,
}

impl UnresponsiveNodes {
    /// Tells whether `node` is to be avoided.
    pub(super) fn is_avoided(&self, node: &str) -> bool {
        let avoided_until = self.lock();
        avoided_until
            .binary_search_by(|(name, _)| name.as_str().cmp(node))
            .is_ok_and(|i| Instant::now() < avoided_until[i].1)
    }

    /// Notes what came of a call that was sent to `node`; nothing where no connection was made.
    pub(super) fn record(&self, node: &str, answer: Option<&Result<Answer, Refusal>>) {
        let is_unresponsive = match answer {
            None => true,
            Some(Err(Refusal::Unknown { reason })) => {
                matches!(reason, Unknown::ConnectionLost | Unknown::Timeout)
            }
            Some(_) => false,
        };
        let mut avoided_until = self.lock();
        let found = avoided_until.binary_search_by(|(name, _)| name.as_str().cmp(node));
        match (found, is_unresponsive) {
            (Ok(i), true) => avoided_until[i].1 = Instant::now() + AVOID_DURATION,
            (Ok(i), false) => {
                avoided_until.remove(i);
            }
            (Err(i), true) => {
                avoided_until.insert(i, (node.to_owned(), Instant::now() + AVOID_DURATION))
            }
            (Err(_), false) => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(String, Instant)>> {
        self.avoided_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
