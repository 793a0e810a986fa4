//! What happens when, in a play.

use crate::job::Job;
use crate::job::Millis;
use crate::pattern::Change;
use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Something that happens at a moment.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Arrive(Job),
    Exchange,
    Change(Change),
    Back(usize),
    Gone(usize),
}

struct Due {
    at: Millis,
    order: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.order.cmp(&other.order))
    }
}

/// Events by time; those of one moment in the order in which they were put down.
#[derive(Default)]
pub(crate) struct Agenda {
    due: BinaryHeap<Reverse<Due>>,
    orders: u64,
}

impl Agenda {
    /// Puts an event down.
    pub(crate) fn add(&mut self, at: Millis, event: Event) {
        self.orders += 1;
        self.due.push(Reverse(Due {
            at,
            order: self.orders,
            event,
        }));
    }

    /// Gives the time of the next event.
    pub(crate) fn next_at(&self) -> Option<Millis> {
        self.due.peek().map(|Reverse(due)| due.at)
    }

    /// Takes the next event.
    pub(crate) fn take_next(&mut self) -> Option<(Millis, Event)> {
        self.due.pop().map(|Reverse(due)| (due.at, due.event))
    }
}
