//! Baseline: rendezvous rank without a bound.

use super::Choice;
use super::Policy;
use super::rendezvous;
use crate::membership::Backend;

/// Takes the first by rendezvous rank, however loaded it is.
pub(super) struct Hash;

impl Policy for Hash {
    fn choose<'b>(&self, choice: &Choice<'_, 'b>) -> Option<&'b Backend> {
        first_ranked(choice)
    }
}

/// Gives the candidate that ranks first for the choice's key.
pub(super) fn first_ranked<'b>(choice: &Choice<'_, 'b>) -> Option<&'b Backend> {
    choice
        .candidates
        .iter()
        .max_by_key(|b| rendezvous::score(choice.key, &b.name))
        .copied()
}
