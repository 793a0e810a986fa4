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
const AVOID_FOR: Duration = Duration::from_secs(5);

/// Nodes that fell silent.
#[derive(Debug, Default)]
pub(super) struct Silent {
    // Sorted by name.
    until: Mutex<Vec<(String, Instant)>>,
}

impl Silent {
    /// Tells whether `node` is to be avoided.
    pub(super) fn is_avoided(&self, node: &str) -> bool {
        let until = self.lock();
        until
            .binary_search_by(|(name, _)| name.as_str().cmp(node))
            .is_ok_and(|i| Instant::now() < until[i].1)
    }

    /// Notes what came of a call that was sent to `node`; nothing where no connection was made.
    pub(super) fn note(&self, node: &str, answer: Option<&Result<Answer, Refusal>>) {
        let is_silent = match answer {
            None => true,
            Some(Err(Refusal::Unknown { reason })) => {
                matches!(reason, Unknown::ConnectionLost | Unknown::Timeout)
            }
            Some(_) => false,
        };
        let mut until = self.lock();
        let found = until.binary_search_by(|(name, _)| name.as_str().cmp(node));
        match (found, is_silent) {
            (Ok(i), true) => until[i].1 = Instant::now() + AVOID_FOR,
            (Ok(i), false) => {
                until.remove(i);
            }
            (Err(i), true) => until.insert(i, (node.to_owned(), Instant::now() + AVOID_FOR)),
            (Err(_), false) => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(String, Instant)>> {
        self.until.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
