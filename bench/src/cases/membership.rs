//! Cases with nodes and backend servers that join, leave, fail or are disconnected.

mod agree;
mod drain;
mod failover;
mod partition;
mod scale;
mod shutdown;

use super::Case;

/// Returns the cases of this module.
pub fn cases() -> Vec<Box<dyn Case>> {
    vec![
        Box::new(partition::Partition),
        Box::new(drain::Drain),
        Box::new(shutdown::Shutdown),
        Box::new(failover::Failover),
        Box::new(scale::Scale),
    ]
}
