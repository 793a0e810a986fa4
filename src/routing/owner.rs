//! The policy of the product: cache reuse first, inside the bound that owners keep.

use super::Policy;
use super::PolicyInput;
use super::hash::first_ranked;
use crate::membership::Backend;

/// Follows an owner's proposal, then the hint, then the rendezvous rank.
pub(super) struct OwnerBound;

impl Policy for OwnerBound {
    fn choose<'b>(&self, input: &PolicyInput<'_, 'b>) -> Option<&'b Backend> {
        let named = |name: &str| input.candidates.iter().find(|b| b.name == name).copied();
        let owner_proposal = input.owner_proposal.and_then(named);
        let hinted = || input.hint.and_then(named);
        owner_proposal
            .or_else(hinted)
            .or_else(|| first_ranked(input))
    }

    fn is_bounded(&self) -> bool {
        true
    }
}
