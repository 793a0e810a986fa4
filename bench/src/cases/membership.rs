//! Cases of hosts that join, leave and flap.

mod agree;
mod drain;
mod failover;
mod partition;
mod scale;
mod shutdown;

use super::Case;

/// All cases of this slice.
pub fn cases() -> Vec<Box<dyn Case>> {
    vec![
        Box::new(partition::Partition),
        Box::new(drain::Drain),
        Box::new(shutdown::Shutdown),
        Box::new(failover::Failover),
        Box::new(scale::Scale),
    ]
}
