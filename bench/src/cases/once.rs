//! Cases of calls that must run at most once.

use super::Case;

/// All cases of this slice.
pub fn cases() -> Vec<Box<dyn Case>> {
    Vec::new()
}
