//! The case without faults, the baseline for the other cases.

use async_trait::async_trait;

use super::Case;

struct Steady;

#[async_trait]
impl Case for Steady {
    fn name(&self) -> &'static str {
        "steady"
    }

    fn description(&self) -> &'static str {
        "returning chats and payments without faults"
    }
}

/// Returns the cases of this module.
pub fn cases() -> Vec<Box<dyn Case>> {
    vec![Box::new(Steady)]
}
