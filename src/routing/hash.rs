//! Baseline: rendezvous rank without a bound.

use super::Policy;
use super::PolicyInput;
use super::rendezvous;
use crate::membership::Backend;

/// Takes the first by rendezvous rank, however loaded it is.
pub(super) struct Hash;

impl Policy for Hash {
    fn choose<'b>(&self, input: &PolicyInput<'_, 'b>) -> Option<&'b Backend> {
        first_ranked(input)
    }
}

/// Gives the candidate that ranks first for the choice's key.
pub(super) fn first_ranked<'b>(input: &PolicyInput<'_, 'b>) -> Option<&'b Backend> {
    input
        .candidates
        .iter()
        .max_by_key(|b| rendezvous::score(input.key, &b.name))
        .copied()
}
