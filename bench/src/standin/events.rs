//! The cache events of an engine: they show late, and some are lost, which shows as a jump in `seq`.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::wire::backend::CacheEvent;
use crate::wire::backend::CacheEventKind;
use crate::wire::backend::CacheEvents;

/// Events that are kept for readers.
const KEPT: usize = 20_000;
/// Events of one answer.
const PER_ANSWER: usize = 1000;
/// Each event whose number is a multiple of this is lost.
const LOST_EVERY: u64 = 997;

/// The events of one engine.
#[derive(Debug)]
pub struct Events {
    lag: Duration,
    next: u64,
    kept: VecDeque<(Instant, CacheEvent)>,
}

impl Events {
    /// No events yet; each shows after `lag`.
    pub fn new(lag: Duration) -> Events {
        Events {
            lag,
            next: 1,
            kept: VecDeque::new(),
        }
    }

    /// Adds an event.
    pub fn add(&mut self, kind: CacheEventKind, chat: &str, tokens: u64) {
        let seq = self.next;
        self.next += 1;
        if seq.is_multiple_of(LOST_EVERY) {
            return;
        }
        let event = CacheEvent {
            chat: chat.to_owned(),
            kind,
            seq,
            tokens,
        };
        self.kept.push_back((Instant::now(), event));
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }

    /// The events from a number on that show by now.
    pub fn read(&self, from: u64) -> CacheEvents {
        let start = self.kept.partition_point(|(_, event)| event.seq < from);
        let events: Vec<CacheEvent> = self
            .kept
            .range(start..)
            .take_while(|(at, _)| at.elapsed() >= self.lag)
            .take(PER_ANSWER)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(from, |event| event.seq + 1);
        CacheEvents { events, next }
    }
}
