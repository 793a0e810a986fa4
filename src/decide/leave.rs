//! Which requests a stopping node still takes.
//!
//! Load pattern: callers keep using their open connections until the process is gone. A request that would outlive the
//! process is turned away while it has certainly not run, so that it goes to another node instead of being cut off.

use std::time::Duration;

/// Time of a stop in which streams are still taken: up to then even the longest of the sheets end within the grace.
const STREAMS_FOR: Duration = Duration::from_millis(2_500);

/// A node on its way out.
#[derive(Clone, Copy, Debug)]
pub struct Leave {
    /// Time from the request to stop until connections are cut.
    pub serves_for: Duration,
}

impl Leave {
    /// Tells whether a request is still taken `elapsed` after the request to stop; `longest` is how long a plain one may
    /// take.
    pub fn takes(&self, elapsed: Duration, is_stream: bool, longest: Duration) -> bool {
        if is_stream {
            elapsed < STREAMS_FOR
        } else {
            elapsed + longest < self.serves_for
        }
    }
}
