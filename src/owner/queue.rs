//! The queue of one backend server: interactive before batch requests, and within a class deficit round robin over
//! teams, so that a surging team fills only its own share.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Class of a request in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Class {
    /// A person waits for the answer.
    Interactive,
    /// Nobody waits for the answer, but the request must finish.
    Batch,
}

/// Limits of a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueBounds {
    /// Maximum number of waiting requests.
    pub(super) max_len: usize,
    /// Maximum number of waiting requests of one team and class.
    pub(super) max_team_len: usize,
    /// Waiting time after which batch requests go first on every [`AGED_BATCH_INTERVAL`]th call of [`Queue::pop`].
    pub(super) ageing: Duration,
}

/// Aged batch requests go first on one of this many calls of [`Queue::pop`].
pub(super) const AGED_BATCH_INTERVAL: u32 = 4;

/// One request in the queue.
#[derive(Debug)]
struct Waiter<T> {
    since: Instant,
    item: T,
}

/// Waiting requests of one team.
#[derive(Debug)]
struct TeamQueue<T> {
    team: String,
    /// Number of requests that the team may take in one turn.
    weight: u32,
    /// Requests left in the team's current turn; 0 before the turn.
    deficit: u32,
    waiters: VecDeque<Waiter<T>>,
}

/// Waiting requests of one class, by team, in the order of the teams' turns.
#[derive(Debug)]
struct ClassQueue<T>(VecDeque<TeamQueue<T>>);

/// The queue of one backend server.
#[derive(Debug)]
pub(super) struct Queue<T> {
    interactive: ClassQueue<T>,
    batch: ClassQueue<T>,
    len: usize,
    /// Number of calls of [`Queue::pop`].
    pops: u32,
}

/// The queue, or the team's share of it, is full.
#[derive(Debug)]
pub(super) struct QueueFullError;

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            interactive: ClassQueue(VecDeque::new()),
            batch: ClassQueue(VecDeque::new()),
            len: 0,
            pops: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Adds a request of `team`.
    pub(super) fn push(
        &mut self,
        class: Class,
        team: &str,
        weight: u32,
        now: Instant,
        bounds: &QueueBounds,
        item: T,
    ) -> Result<(), QueueFullError> {
        let class_queue = match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        };
        if self.len >= bounds.max_len || class_queue.team_len(team) >= bounds.max_team_len {
            return Err(QueueFullError);
        }
        class_queue.push(team, weight, Waiter { since: now, item });
        self.len += 1;
        Ok(())
    }

    /// Removes and returns the next request whose class `may_run` allows.
    pub(super) fn pop(
        &mut self,
        now: Instant,
        bounds: &QueueBounds,
        may_run: impl Fn(Class) -> bool,
    ) -> Option<T> {
        let is_aged = self
            .batch
            .oldest()
            .is_some_and(|since| now.saturating_duration_since(since) >= bounds.ageing);
        self.pops = self.pops.wrapping_add(1);
        let order = if is_aged && self.pops.is_multiple_of(AGED_BATCH_INTERVAL) {
            [Class::Batch, Class::Interactive]
        } else {
            [Class::Interactive, Class::Batch]
        };
        for class in order {
            if !may_run(class) {
                continue;
            }
            let class_queue = match class {
                Class::Interactive => &mut self.interactive,
                Class::Batch => &mut self.batch,
            };
            if let Some(item) = class_queue.pop() {
                self.len -= 1;
                return Some(item);
            }
        }
        None
    }

    /// Removes the requests for which `is_abandoned` holds.
    pub(super) fn remove(&mut self, is_abandoned: impl Fn(&T) -> bool) {
        for class_queue in [&mut self.interactive, &mut self.batch] {
            for team_queue in &mut class_queue.0 {
                team_queue
                    .waiters
                    .retain(|waiter| !is_abandoned(&waiter.item));
            }
            class_queue
                .0
                .retain(|team_queue| !team_queue.waiters.is_empty());
        }
        self.len = self.interactive.len() + self.batch.len();
    }
}

impl<T> ClassQueue<T> {
    fn len(&self) -> usize {
        self.0
            .iter()
            .map(|team_queue| team_queue.waiters.len())
            .sum()
    }

    fn team_len(&self, team: &str) -> usize {
        let team_queue = self.0.iter().find(|team_queue| team_queue.team == team);
        team_queue.map_or(0, |team_queue| team_queue.waiters.len())
    }

    fn oldest(&self) -> Option<Instant> {
        let fronts = self
            .0
            .iter()
            .filter_map(|team_queue| team_queue.waiters.front());
        fronts.map(|waiter| waiter.since).min()
    }

    fn push(&mut self, team: &str, weight: u32, waiter: Waiter<T>) {
        if let Some(team_queue) = self.0.iter_mut().find(|team_queue| team_queue.team == team) {
            team_queue.waiters.push_back(waiter);
            return;
        }
        self.0.push_back(TeamQueue {
            team: team.to_owned(),
            weight: weight.max(1),
            deficit: 0,
            waiters: VecDeque::from([waiter]),
        });
    }

    /// Takes a request from the front team, which moves to the back after as many requests as its weight.
    fn pop(&mut self) -> Option<T> {
        let mut team_queue = self.0.pop_front()?;
        if team_queue.deficit == 0 {
            team_queue.deficit = team_queue.weight;
        }
        team_queue.deficit -= 1;
        let waiter = team_queue.waiters.pop_front()?;
        if team_queue.waiters.is_empty() {
            return Some(waiter.item);
        }
        if team_queue.deficit == 0 {
            self.0.push_back(team_queue);
        } else {
            self.0.push_front(team_queue);
        }
        Some(waiter.item)
    }
}
