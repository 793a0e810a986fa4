//! The policy for production: cache reuse first, within the load bound that owners enforce.

use super::Policy;
use super::PolicyInput;
use super::hash::first_ranked;
use crate::membership::Backend;

/// Chooses the backend server that an owner proposed, else the hinted one, else the one with the highest rendezvous
/// score.
pub(super) struct OwnerBound;

impl Policy for OwnerBound {
    fn choose<'b>(&self, input: &PolicyInput<'_, 'b>) -> Option<&'b Backend> {
        let by_name = |name: &str| input.candidates.iter().find(|b| b.name == name).copied();
        let owner_proposal = input.owner_proposal.and_then(by_name);
        let hinted = || input.hint.and_then(by_name);
        owner_proposal
            .or_else(hinted)
            .or_else(|| first_ranked(input))
    }

    fn is_bounded(&self) -> bool {
        true
    }
}
