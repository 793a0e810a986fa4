//! The border between the entry and whatever makes sure that a call runs at most once.

use super::Fingerprint;
use super::IdempotencyKey;
use crate::outcome::Refusal;
use crate::owner::Answer;
use async_trait::async_trait;
use std::sync::Arc;

/// A non-idempotent call.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The call, so that another one under the same key is noticed.
    pub fingerprint: Fingerprint,
}

/// Runs the call at a backend server; the claims decide whether and when.
#[async_trait]
pub trait Run: Send + Sync {
    /// Hands the call over, to one backend server at most.
    ///
    /// # Errors
    ///
    /// Tells whether the call certainly did not run.
    async fn run(&self) -> Result<Answer, Refusal>;
}

/// Makes sure that a call runs at most once.
#[async_trait]
pub trait AtMostOnce: Send + Sync {
    /// Runs `call` through `run`, or gives the answer that the key's first call got. It goes on to its end where the
    /// caller gives up waiting, so that a repeat finds how it ended.
    ///
    /// # Errors
    ///
    /// Tells whether the call certainly did not run.
    async fn run_once(&self, call: Call, run: Arc<dyn Run>) -> Result<Answer, Refusal>;
}
