//! The pace of a server's streams.

use hyper::HeaderMap;
use std::time::Duration;

use crate::http;

/// The pace of a server's streams, which have as many events as their requests ask for tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pace {
    /// Time from the beginning of a run to its first event.
    pub first_event: Duration,
    /// Time from one event to the next.
    pub event_gap: Duration,
}

impl Pace {
    /// Returns the number of events of a stream, at least 1; `None` if its request doesn't ask for any.
    pub(super) fn event_count(headers: &HeaderMap) -> Option<u64> {
        let counts = http::header(headers, "currantbend-token-counts");
        let (_, count) = counts.split_once(',')?;
        count.trim().parse().ok().map(|count: u64| count.max(1))
    }
}
