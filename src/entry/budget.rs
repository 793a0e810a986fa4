//! The retry budget: a share of the node's successes, so that retries can't make an overload worse.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// What one retry costs, in thousandths.
const RETRY_COST: i64 = 1_000;
/// Retries that are saved up at most, and that a node has at its start.
const MAX_BALANCE: i64 = 50 * RETRY_COST;

/// Retries that the node may still make.
#[derive(Debug)]
pub(super) struct RetryBudget {
    balance: AtomicI64,
    success_gain: i64,
}

impl RetryBudget {
    /// Makes a budget in which each success earns `permille` thousandths of a retry.
    pub(super) fn new(permille: u64) -> Self {
        Self {
            balance: AtomicI64::new(MAX_BALANCE),
            success_gain: i64::try_from(permille).unwrap_or(RETRY_COST),
        }
    }

    /// Counts a success.
    pub(super) fn record_success(&self) {
        let add = |balance: i64| Some((balance + self.success_gain).min(MAX_BALANCE));
        // The closure never declines.
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry where there is one.
    pub(super) fn try_take(&self) -> bool {
        let sub = |balance: i64| (balance >= RETRY_COST).then_some(balance - RETRY_COST);
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, sub)
            .is_ok()
    }
}
