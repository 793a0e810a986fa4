//! A model of a plain server: slots, and a short queue.

use crate::job::Job;
use crate::job::Millis;
use crate::server::Progress;
use crate::server::QueuedJob;
use crate::server::Server;
use crate::server::WorkStats;
use std::collections::VecDeque;

/// Size of a plain server; the defaults are those of the sheets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlainSpec {
    /// Calls that run at once.
    pub slots: usize,
    /// Calls that wait at most.
    pub queue: usize,
}

impl Default for PlainSpec {
    fn default() -> Self {
        Self {
            slots: 6,
            queue: 24,
        }
    }
}

/// The model.
#[derive(Clone, Debug, Default)]
pub struct PlainServer {
    spec: PlainSpec,
    /// Calls that run, with the times of their ends.
    runs: Vec<(usize, Millis)>,
    waiting: VecDeque<Job>,
}

impl PlainServer {
    /// Makes a server without work.
    pub fn new(spec: PlainSpec) -> Self {
        Self {
            spec,
            ..Self::default()
        }
    }

    fn start(&mut self, now: Millis) {
        while self.runs.len() < self.spec.slots {
            let Some(job) = self.waiting.pop_front() else {
                return;
            };
            // A call whose time passed in the queue is not run.
            if job.deadline > now {
                self.runs.push((job.index, now + job.service_time));
            }
        }
    }
}

impl Server for PlainServer {
    fn enqueue(&mut self, now: Millis, queued: QueuedJob) -> Result<(), Job> {
        if self.waiting.len() >= self.spec.queue {
            return Err(queued.job);
        }
        self.waiting.push_back(queued.job);
        self.start(now);
        Ok(())
    }

    fn next_step(&self) -> Option<Millis> {
        let ends = self.runs.iter().map(|(_, end)| *end);
        ends.min_by(f64::total_cmp)
    }

    fn step(&mut self, progress: &mut Vec<Progress>) {
        let Some(now) = self.next_step() else { return };
        self.runs.retain(|(number, end)| {
            let is_done = *end <= now;
            if is_done {
                progress.push(Progress::First(*number, now));
                progress.push(Progress::End(*number, now));
            }
            !is_done
        });
        self.start(now);
    }

    fn load(&self) -> u32 {
        (self.runs.len() + self.waiting.len()) as u32
    }

    fn crash(&mut self) -> Vec<usize> {
        let running = self.runs.drain(..).map(|(number, _)| number);
        let waiting = self.waiting.drain(..).map(|job| job.index);
        running.chain(waiting).collect()
    }

    fn cached_tokens(&self, _: &Job) -> u32 {
        0
    }

    fn stats(&self) -> WorkStats {
        WorkStats::default()
    }
}
