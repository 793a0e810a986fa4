//! The timeout of reads of one source, adapted to how long they take.

use super::follow::SourceError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum number of times that the timeout doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Timeout of a source's reads. It doubles with each read that times out: an overloaded store would never complete a read if every
/// read were abandoned after the same time and sent again, and a large list takes longer than a small one.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    initial: Duration,
    doublings: AtomicU32,
}

impl AdaptiveTimeout {
    /// Creates a timeout that is `initial` until a read times out.
    pub fn new(initial: Duration) -> Self {
        Self {
            initial,
            doublings: AtomicU32::default(),
        }
    }

    /// Returns whether a read has timed out since the last successful read.
    pub fn is_extended(&self) -> bool {
        self.doublings.load(Ordering::Relaxed) > 0
    }

    /// Returns the timeout of the next read.
    pub fn current(&self) -> Duration {
        self.initial * 2u32.pow(self.doublings.load(Ordering::Relaxed))
    }

    /// Adapts the timeout to the result of a read and returns the result: a success resets it, a timeout doubles it.
    pub fn record_result<T>(&self, result: Result<T, SourceError>) -> Result<T, SourceError> {
        let doublings = match &result {
            Ok(_) => 0,
            Err(SourceError::Timeout) => {
                (self.doublings.load(Ordering::Relaxed) + 1).min(MAX_DOUBLINGS)
            }
            Err(_) => self.doublings.load(Ordering::Relaxed),
        };
        self.doublings.store(doublings, Ordering::Relaxed);
        result
    }
}
