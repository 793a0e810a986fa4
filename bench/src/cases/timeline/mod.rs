//! Cases of the time line and of what the data path costs.

mod streams;
mod tokens;

use super::Case;

/// All cases of this slice.
pub fn cases() -> Vec<Box<dyn Case>> {
    vec![Box::new(tokens::Tokens)]
}
