//! Baseline policy: the lowest known load.

use super::Policy;
use super::PolicyInput;
use crate::membership::Backend;

/// Chooses the candidate with the lowest load that this node knows of.
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
