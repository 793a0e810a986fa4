//! Interface between the entry, which runs calls, and the claims, which ensure that each call runs at most once.

use super::Fingerprint;
use super::IdempotencyKey;
use crate::outcome::Refusal;
use crate::owner::Answer;
use async_trait::async_trait;
use std::sync::Arc;

/// A non-idempotent call.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Idempotency key of the caller.
    pub key: IdempotencyKey,
    /// Fingerprint of the call, which detects a different call with the same key.
    pub fingerprint: Fingerprint,
}

/// Sends a call to a backend server. The claims decide whether and when it is run.
#[async_trait]
pub trait Run: Send + Sync {
    /// Runs the call at one backend server at most.
    ///
    /// # Errors
    ///
    /// The refusal says whether the call certainly did not run.
    async fn run(&self) -> Result<Answer, Refusal>;
}

/// Ensures that a call runs at most once.
#[async_trait]
pub trait AtMostOnce: Send + Sync {
    /// Runs `call` with `run`, or returns the outcome of the key's first call. The call continues if the caller stops
    /// waiting, so that a caller's retry gets its outcome.
    ///
    /// # Errors
    ///
    /// The refusal says whether the call certainly did not run.
    async fn run_once(&self, call: Call, run: Arc<dyn Run>) -> Result<Answer, Refusal>;
}
