//! The cache events of an engine. Readers see them after a lag, and some events are lost, which leaves a gap in `seq`.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::wire::backend::CacheEvent;
use crate::wire::backend::CacheEventKind;
use crate::wire::backend::CacheEvents;

/// Number of events retained for readers.
const MAX_RETAINED_EVENTS: usize = 20_000;
/// Maximum number of events of one response.
const MAX_EVENTS_PER_RESPONSE: usize = 1000;
/// Every event whose sequence number is a multiple of this is lost.
const LOST_EVERY: u64 = 997;

/// The cache events of one engine.
#[derive(Debug)]
pub struct Events {
    lag: Duration,
    next_seq: u64,
    retained: VecDeque<(Instant, CacheEvent)>,
}

impl Events {
    /// Creates an empty list of events; each event becomes visible after `lag`.
    pub fn new(lag: Duration) -> Events {
        Events {
            lag,
            next_seq: 1,
            retained: VecDeque::new(),
        }
    }

    /// Adds an event under the next sequence number.
    pub fn add(&mut self, kind: CacheEventKind, chat: &str, tokens: u64) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if seq.is_multiple_of(LOST_EVERY) {
            return;
        }
        let event = CacheEvent {
            chat: chat.to_owned(),
            kind,
            seq,
            tokens,
        };
        self.retained.push_back((Instant::now(), event));
        if self.retained.len() > MAX_RETAINED_EVENTS {
            self.retained.pop_front();
        }
    }

    /// Returns the visible events from sequence number `from` on.
    pub fn read(&self, from: u64) -> CacheEvents {
        let start = self.retained.partition_point(|(_, event)| event.seq < from);
        let events: Vec<CacheEvent> = self
            .retained
            .range(start..)
            .take_while(|(at, _)| at.elapsed() >= self.lag)
            .take(MAX_EVENTS_PER_RESPONSE)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(from, |event| event.seq + 1);
        CacheEvents { events, next }
    }
}
