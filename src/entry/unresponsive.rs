//! Claimers that recently failed to answer; calls with idempotency keys are not sent to them for a while.
//!
//! This only reduces the number of `unknown` outcomes. It is not needed for correctness, since claims of one key by two
//! nodes are harmless.

use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::owner::Answer;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Time for which an unresponsive claimer is avoided.
const AVOID_DURATION: Duration = Duration::from_secs(5);

/// Nodes that recently failed to answer.
#[derive(Debug, Default)]
pub(super) struct UnresponsiveNodes {
    // Sorted by name.
    avoided_until: Mutex<Vec<(String, Instant)>>,
}

impl UnresponsiveNodes {
    /// Returns whether `node` is to be avoided.
    pub(super) fn is_avoided(&self, node: &str) -> bool {
        let nodes = self.lock();
        nodes
            .binary_search_by(|(name, _)| name.as_str().cmp(node))
            .is_ok_and(|i| Instant::now() < nodes[i].1)
    }

    /// Records the result of a call to `node`; `None` means that the call was not delivered.
    pub(super) fn record(&self, node: &str, answer: Option<&Result<Answer, Refusal>>) {
        let is_unresponsive = match answer {
            None => true,
            Some(Err(Refusal::Unknown { reason })) => {
                matches!(reason, Unknown::ConnectionLost | Unknown::Timeout)
            }
            Some(_) => false,
        };
        let mut nodes = self.lock();
        let found = nodes.binary_search_by(|(name, _)| name.as_str().cmp(node));
        match (found, is_unresponsive) {
            (Ok(i), true) => nodes[i].1 = Instant::now() + AVOID_DURATION,
            (Ok(i), false) => {
                nodes.remove(i);
            }
            (Err(i), true) => nodes.insert(i, (node.to_owned(), Instant::now() + AVOID_DURATION)),
            (Err(_), false) => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(String, Instant)>> {
        self.avoided_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
