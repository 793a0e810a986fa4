//! Baseline: the least loaded as last heard of.

use super::Policy;
use super::PolicyInput;
use crate::membership::Backend;

/// Takes the candidate with the lowest load that this node has heard of.
pub(super) struct LeastLoaded;

impl Policy for LeastLoaded {
    fn choose<'b>(&self, input: &PolicyInput<'_, 'b>) -> Option<&'b Backend> {
        input
            .candidates
            .iter()
            .min_by_key(|b| input.loads.get(&b.name))
            .copied()
    }
}
