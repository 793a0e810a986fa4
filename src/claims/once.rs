//! The border between the entry and whatever makes sure that a call runs at most once.

use super::IdempotencyKey;
use crate::outcome::Refusal;
use crate::owner::Answer;
use async_trait::async_trait;

/// A non-idempotent call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The plain service.
    pub service: &'a str,
    /// Method, path and body, so that another call under the same key is noticed.
    pub fingerprint: [u8; 32],
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
pub trait Once: Send + Sync {
    /// Runs `call` through `run`, or gives the answer that the key's first call got.
    ///
    /// # Errors
    ///
    /// Tells whether the call certainly did not run.
    async fn once(&self, call: &Call<'_>, run: &dyn Run) -> Result<Answer, Refusal>;
}

/// Runs every call as it comes: one attempt, never repeated by this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unclaimed;

#[async_trait]
impl Once for Unclaimed {
    async fn once(&self, _call: &Call<'_>, run: &dyn Run) -> Result<Answer, Refusal> {
        run.run().await
    }
}
