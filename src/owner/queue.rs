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
pub(super) struct Bounds {
    /// Most requests that wait.
    pub(super) length: usize,
    /// Most requests of one team that wait.
    pub(super) team_length: usize,
    /// Waiting time after which batch work gets every [`AGED_TURN`]th place.
    pub(super) ageing: Duration,
}

/// Aged batch work gets one place in so many.
pub(super) const AGED_TURN: u32 = 4;

/// One request in the queue.
#[derive(Debug)]
struct Waiter<T> {
    since: Instant,
    item: T,
}

/// What waits of one team.
#[derive(Debug)]
struct Line<T> {
    team: String,
    weight: u32,
    deficit: u32,
    waiters: VecDeque<Waiter<T>>,
}

/// The lines of one class, in the order in which their turns come.
#[derive(Debug)]
struct Lines<T>(VecDeque<Line<T>>);

/// The queue before one backend server.
#[derive(Debug)]
pub(super) struct Queue<T> {
    interactive: Lines<T>,
    batch: Lines<T>,
    len: usize,
    turn: u32,
}

/// The queue, or the team's share of it, is full.
#[derive(Debug)]
pub(super) struct FullError;

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            interactive: Lines(VecDeque::new()),
            batch: Lines(VecDeque::new()),
            len: 0,
            turn: 0,
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
        bounds: &Bounds,
        item: T,
    ) -> Result<(), FullError> {
        let lines = match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        };
        if self.len >= bounds.length || lines.len_of(team) >= bounds.team_length {
            return Err(FullError);
        }
        lines.push(team, weight, Waiter { since: now, item });
        self.len += 1;
        Ok(())
    }

    /// Takes the next request that `may_run` lets through, given its class.
    pub(super) fn pop(
        &mut self,
        now: Instant,
        bounds: &Bounds,
        may_run: impl Fn(Class) -> bool,
    ) -> Option<T> {
        let is_aged = self
            .batch
            .oldest()
            .is_some_and(|since| now.saturating_duration_since(since) >= bounds.ageing);
        self.turn = self.turn.wrapping_add(1);
        let order = if is_aged && self.turn.is_multiple_of(AGED_TURN) {
            [Class::Batch, Class::Interactive]
        } else {
            [Class::Interactive, Class::Batch]
        };
        for class in order {
            if !may_run(class) {
                continue;
            }
            let lines = match class {
                Class::Interactive => &mut self.interactive,
                Class::Batch => &mut self.batch,
            };
            if let Some(item) = lines.pop() {
                self.len -= 1;
                return Some(item);
            }
        }
        None
    }

    /// Drops the requests for which `is_gone` holds.
    pub(super) fn remove(&mut self, is_gone: impl Fn(&T) -> bool) {
        for lines in [&mut self.interactive, &mut self.batch] {
            for line in &mut lines.0 {
                line.waiters.retain(|waiter| !is_gone(&waiter.item));
            }
            lines.0.retain(|line| !line.waiters.is_empty());
        }
        self.len = self.interactive.len() + self.batch.len();
    }
}

impl<T> Lines<T> {
    fn len(&self) -> usize {
        self.0.iter().map(|line| line.waiters.len()).sum()
    }

    fn len_of(&self, team: &str) -> usize {
        let line = self.0.iter().find(|line| line.team == team);
        line.map_or(0, |line| line.waiters.len())
    }

    fn oldest(&self) -> Option<Instant> {
        let heads = self.0.iter().filter_map(|line| line.waiters.front());
        heads.map(|waiter| waiter.since).min()
    }

    fn push(&mut self, team: &str, weight: u32, waiter: Waiter<T>) {
        if let Some(line) = self.0.iter_mut().find(|line| line.team == team) {
            line.waiters.push_back(waiter);
            return;
        }
        self.0.push_back(Line {
            team: team.to_owned(),
            weight: weight.max(1),
            deficit: 0,
            waiters: VecDeque::from([waiter]),
        });
    }

    /// Gives the front line its turn: it sends as many requests as its weight, then goes to the back.
    fn pop(&mut self) -> Option<T> {
        let mut line = self.0.pop_front()?;
        if line.deficit == 0 {
            line.deficit = line.weight;
        }
        line.deficit -= 1;
        let waiter = line.waiters.pop_front()?;
        if line.waiters.is_empty() {
            return Some(waiter.item);
        }
        if line.deficit == 0 {
            self.0.push_back(line);
        } else {
            self.0.push_front(line);
        }
        Some(waiter.item)
    }
}
