//! Baseline policy: a random backend server.

use super::Policy;
use super::PolicyInput;
use crate::membership::Backend;
use rand::RngExt;

/// Chooses a random candidate.
pub(super) struct Random;

impl Policy for Random {
    fn choose<'b>(&self, input: &PolicyInput<'_, 'b>) -> Option<&'b Backend> {
        if input.candidates.is_empty() {
            return None;
        }
        let i = rand::rng().random_range(0..input.candidates.len());
        Some(input.candidates[i])
    }
}
