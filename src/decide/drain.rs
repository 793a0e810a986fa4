//! Decides which requests a stopping node still accepts.
//!
//! Load pattern: callers keep using their open connections until the process has exited. A request that would outlive
//! the process is rejected before it can have run, so that it can safely go to another node instead of being
//! interrupted.

use std::time::Duration;

/// Time in which resumable streams are accepted that may outlive the process, since the load balancer may still send
/// callers here.
const MAX_STREAM_ACCEPTANCE_TIME: Duration = Duration::from_millis(2_500);
/// Part of the drain time to which that time is limited, so that most of these streams end.
const STREAM_ACCEPTANCE_DIVISOR: u32 = 3;

/// The requests that a draining node accepts.
#[derive(Clone, Copy, Debug)]
pub struct DrainPolicy {
    /// Time from the request to stop until connections are closed.
    pub drain_time: Duration,
}

impl DrainPolicy {
    /// Returns whether a request is accepted `elapsed` after the request to stop, which takes at most `max_duration` from
    /// then. `is_resumable` tells whether its caller can go on with the answer at another node.
    pub fn accepts(&self, elapsed: Duration, is_resumable: bool, max_duration: Duration) -> bool {
        let stream_time = self.drain_time / STREAM_ACCEPTANCE_DIVISOR;
        let ends_in_time = elapsed + max_duration < self.drain_time;
        ends_in_time || (is_resumable && elapsed < stream_time.min(MAX_STREAM_ACCEPTANCE_TIME))
    }
}
