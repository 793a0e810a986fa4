//! Decides which requests a stopping node still accepts.
//!
//! Load pattern: callers keep using their open connections until the process has exited. A request that would outlive
//! the process is rejected before it can have run, so that it can safely go to another node instead of being
//! interrupted.

use std::time::Duration;

/// Time after the request to stop in which streams are accepted: even the longest streams of the reference workload
/// that start in it end within the grace period.
const STREAM_ACCEPTANCE_TIME: Duration = Duration::from_millis(2_500);

/// The requests that a draining node accepts.
#[derive(Clone, Copy, Debug)]
pub struct DrainPolicy {
    /// Time from the request to stop until connections are closed.
    pub drain_time: Duration,
}

impl DrainPolicy {
    /// Returns whether a request that arrives `elapsed` after the request to stop is accepted. A request that is not a
    /// stream takes at most `max_duration`; the value is not used for streams.
    pub fn accepts(&self, elapsed: Duration, is_stream: bool, max_duration: Duration) -> bool {
        if is_stream {
            elapsed < STREAM_ACCEPTANCE_TIME
        } else {
            elapsed + max_duration < self.drain_time
        }
    }
}
