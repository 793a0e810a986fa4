//! The retry budget: a share of the node's successes, so that retries can't make an overload worse.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// What one retry costs, in thousandths.
const COST: i64 = 1_000;
/// Retries that are saved up at most, and that a node has at its start.
const MOST: i64 = 50 * COST;

/// Retries that the node may still make.
#[derive(Debug)]
pub(super) struct RetryBudget {
    left: AtomicI64,
    earned: i64,
}

impl RetryBudget {
    /// Makes a budget in which each success earns `permille` thousandths of a retry.
    pub(super) fn new(permille: u64) -> Self {
        Self {
            left: AtomicI64::new(MOST),
            earned: i64::try_from(permille).unwrap_or(COST),
        }
    }

    /// Counts a success.
    pub(super) fn earn(&self) {
        let add = |left: i64| Some((left + self.earned).min(MOST));
        // The closure never declines.
        let _ = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry where there is one.
    pub(super) fn take(&self) -> bool {
        let sub = |left: i64| (left >= COST).then_some(left - COST);
        self.left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, sub)
            .is_ok()
    }
}
