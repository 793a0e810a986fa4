//! Cases of hosts that join, leave and flap.

mod partition;

use super::Case;

/// All cases of this slice.
pub fn cases() -> Vec<Box<dyn Case>> {
    vec![Box::new(partition::Partition)]
}
