//! Cases of the time line.

use super::Case;

/// All cases of this slice.
pub fn cases() -> Vec<Box<dyn Case>> {
    Vec::new()
}
