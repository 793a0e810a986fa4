//! Cases of configuration.

mod changes;
mod orders;
mod race;
mod watch;
mod writer;

use super::Case;

/// Count of nodes of these cases.
const NODES: u8 = 8;
/// Callers of chats beside the changes, so that the nodes do their other work too.
const CHAT_CALLERS: u32 = 8;

/// All cases of this slice.
pub fn cases() -> Vec<Box<dyn Case>> {
    vec![
        Box::new(changes::Changes::default()),
        Box::new(race::Race),
        Box::new(orders::OrdersCase::default()),
    ]
}
