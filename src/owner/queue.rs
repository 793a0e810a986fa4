//! The queue before one backend server: interactive before batch work, and inside a class deficit round robin over
//! teams, so that a surging team fills its own share only.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Class of a request in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Class {
    /// A person waits for it.
    Interactive,
    /// Nobody waits for it, but it must finish.
    Batch,
}

/// Bounds of a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueBounds {
    /// Most requests that wait.
    pub(super) max_len: usize,
    /// Most requests of one team that wait.
    pub(super) max_team_len: usize,
    /// Waiting time after which batch work gets every [`AGED_TURN`]th place.
    pub(super) ageing: Duration,
}

/// Aged batch work gets one place in so many.
pub(super) const AGED_BATCH_INTERVAL: u32 = 4;

/// One request in the queue.
#[derive(Debug)]
struct Waiter<T> {
    since: Instant,
    item: T,
}

/// What waits of one team.
#[derive(Debug)]
struct TeamQueue<T> {
    team: String,
    weight: u32,
    deficit: u32,
    waiters: VecDeque<Waiter<T>>,
}

/// The lines of one class, in the order in which their turns come.
#[derive(Debug)]
struct ClassQueue<T>(VecDeque<TeamQueue<T>>);

/// The queue before one backend server.
#[derive(Debug)]
pub(super) struct Queue<T> {
    interactive: ClassQueue<T>,
    batch: ClassQueue<T>,
    len: usize,
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
    /// Counts the requests that wait.
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

    /// Takes the next request that `may_run` lets through, given its class.
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

    /// Drops the requests for which `is_gone` holds.
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

    /// Gives the front line its turn: it sends as many requests as its weight, then goes to the back.
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
