//! Baseline: the least loaded as last heard of.

use super::Choice;
use super::Policy;
use crate::membership::Backend;

/// Takes the candidate with the lowest load that this node has heard of.
pub(super) struct LeastLoaded;

impl Policy for LeastLoaded {
    fn choose<'b>(&self, choice: &Choice<'_, 'b>) -> Option<&'b Backend> {
        choice
            .candidates
            .iter()
            .min_by_key(|b| choice.loads.get(&b.name))
            .copied()
    }
}
