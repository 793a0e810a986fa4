//! Baseline policy: the highest rendezvous score, without a load bound.

use super::Policy;
use super::PolicyInput;
use super::rendezvous;
use crate::membership::Backend;

/// Chooses the candidate with the highest rendezvous score, whatever its load.
pub(super) struct Hash;

impl Policy for Hash {
    fn choose<'b>(&self, input: &PolicyInput<'_, 'b>) -> Option<&'b Backend> {
        first_ranked(input)
    }
}

/// Returns the candidate with the highest rendezvous score for the key.
pub(super) fn first_ranked<'b>(input: &PolicyInput<'_, 'b>) -> Option<&'b Backend> {
    input
        .candidates
        .iter()
        .max_by_key(|b| rendezvous::score(input.key, &b.name))
        .copied()
}
