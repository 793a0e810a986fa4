//! The policy of the product: cache reuse first, inside the bound that owners keep.

use super::Choice;
use super::Policy;
use super::hash::first_ranked;
use crate::membership::Backend;

/// Follows an owner's proposal, then the hint, then the rendezvous rank.
pub(super) struct OwnerBound;

impl Policy for OwnerBound {
    fn choose<'b>(&self, choice: &Choice<'_, 'b>) -> Option<&'b Backend> {
        let named = |name: &str| choice.candidates.iter().find(|b| b.name == name).copied();
        let proposed = choice.proposed.and_then(named);
        let hinted = || choice.hint.and_then(named);
        proposed.or_else(hinted).or_else(|| first_ranked(choice))
    }

    fn is_bounded(&self) -> bool {
        true
    }
}
