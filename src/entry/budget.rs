//! The retry budget: retries are limited to a share of the node's successes, so that they can't worsen an overload.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// Cost of one retry, in thousandths.
const RETRY_COST: i64 = 1_000;
/// Maximum balance, equal to 50 retries; a node starts with it.
const MAX_BALANCE: i64 = 50 * RETRY_COST;

/// Budget of the retries that the node may still make.
#[derive(Debug)]
pub(super) struct RetryBudget {
    balance: AtomicI64,
    success_gain: i64,
}

impl RetryBudget {
    /// Creates a full budget in which each success earns `permille` thousandths of a retry.
    pub(super) fn new(permille: u64) -> Self {
        Self {
            balance: AtomicI64::new(MAX_BALANCE),
            success_gain: i64::try_from(permille).unwrap_or(RETRY_COST),
        }
    }

    /// Adds the gain of one success, up to the maximum balance.
    pub(super) fn record_success(&self) {
        let add = |balance: i64| Some((balance + self.success_gain).min(MAX_BALANCE));
        // The closure always returns `Some`, so the update can't fail.
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry from the budget; returns `false` where the balance is too low.
    pub(super) fn try_take(&self) -> bool {
        let sub = |balance: i64| (balance >= RETRY_COST).then_some(balance - RETRY_COST);
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, sub)
            .is_ok()
    }
}
