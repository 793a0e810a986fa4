//! Cases for the timeline and for the CPU time of the data path.

mod streams;
mod tokens;

use super::Case;

/// Returns the cases of this module.
pub fn cases() -> Vec<Box<dyn Case>> {
    vec![Box::new(tokens::Tokens)]
}
