//! The case without faults, which the others are compared with.

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

/// All cases of this slice.
pub fn cases() -> Vec<Box<dyn Case>> {
    vec![Box::new(Steady)]
}
