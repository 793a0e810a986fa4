//! Which requests a stopping node still takes.
//!
//! Load pattern: callers keep using their open connections until the process is gone. A request that would outlive the
//! process is turned away while it has certainly not run, so that it goes to another node instead of being cut off.

use std::time::Duration;

/// Time of a stop in which streams are still taken: up to then even the longest of the sheets end within the grace.
const STREAM_ACCEPTANCE_TIME: Duration = Duration::from_millis(2_500);

/// A node on its way out.
#[derive(Clone, Copy, Debug)]
pub struct DrainPolicy {
    /// Time from the request to stop until connections are cut.
    pub drain_time: Duration,
}

impl DrainPolicy {
    /// Tells whether a request is still taken `elapsed` after the request to stop; `longest` is how long a plain one may
    /// take.
    pub fn accepts(&self, elapsed: Duration, is_stream: bool, max_duration: Duration) -> bool {
        if is_stream {
            elapsed < STREAM_ACCEPTANCE_TIME
        } else {
            elapsed + max_duration < self.drain_time
        }
    }
}
