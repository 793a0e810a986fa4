//! The queue of the simulation's future events.

use crate::job::Job;
use crate::job::Millis;
use crate::pattern::Change;
use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event of the simulation, other than a step of a server.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A caller sends a request, or retries it after a rejection.
    Arrive(Job),
    /// The nodes exchange the loads of the servers.
    ExchangeLoads,
    /// A server crashes or is replaced.
    Change(Change),
    /// The crashed server with this index restarts.
    Restart(usize),
    /// The draining server with this index is removed from the server list.
    Remove(usize),
}

struct ScheduledEvent {
    time: Millis,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.time
            .total_cmp(&other.time)
            .then(self.sequence.cmp(&other.sequence))
    }
}

/// Future events, sorted by time; those with the same time are in the order in which they were scheduled.
#[derive(Default)]
pub(crate) struct EventQueue {
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event that happens at `time`.
    pub(crate) fn schedule(&mut self, time: Millis, event: Event) {
        self.last_sequence += 1;
        self.events.push(Reverse(ScheduledEvent {
            time,
            sequence: self.last_sequence,
            event,
        }));
    }

    /// Returns the time of the next event; `None` if there is none.
    pub(crate) fn next_time(&self) -> Option<Millis> {
        self.events.peek().map(|Reverse(scheduled)| scheduled.time)
    }

    /// Removes the next event and returns it with its time; `None` if there is none.
    pub(crate) fn pop(&mut self) -> Option<(Millis, Event)> {
        self.events
            .pop()
            .map(|Reverse(scheduled)| (scheduled.time, scheduled.event))
    }
}
