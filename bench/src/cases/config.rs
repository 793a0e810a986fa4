//! Cases that change the configuration.

mod changes;
mod orders;
mod race;
mod watch;
mod writer;

use super::Case;

/// Number of nodes in these cases.
const NODES: u8 = 8;
/// Number of callers of chats beside the changes, so that the nodes also have other work.
const CHAT_CALLERS: u32 = 8;

/// Returns the cases of this module.
pub fn cases() -> Vec<Box<dyn Case>> {
    vec![
        Box::new(changes::Changes::default()),
        Box::new(race::Race),
        Box::new(orders::OrdersCase::default()),
    ]
}
