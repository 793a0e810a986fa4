//! Baseline: any backend server.

use super::Choice;
use super::Policy;
use crate::membership::Backend;
use rand::RngExt;

/// Takes any candidate.
pub(super) struct Random;

impl Policy for Random {
    fn choose<'b>(&self, choice: &Choice<'_, 'b>) -> Option<&'b Backend> {
        if choice.candidates.is_empty() {
            return None;
        }
        let i = rand::rng().random_range(0..choice.candidates.len());
        Some(choice.candidates[i])
    }
}
