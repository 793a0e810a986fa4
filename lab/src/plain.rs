//! A simulated plain server: it runs calls in a fixed number of slots, and has a short queue.

use crate::job::Job;
use crate::job::Millis;
use crate::server::Progress;
use crate::server::QueuedJob;
use crate::server::Server;
use crate::server::WorkStats;
use std::collections::VecDeque;

/// Size of a plain server; the defaults are those of the reference workload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlainSpec {
    /// Number of calls that run concurrently.
    pub slots: usize,
    /// Maximum number of waiting calls.
    pub max_waiting: usize,
}

impl Default for PlainSpec {
    fn default() -> Self {
        Self {
            slots: 6,
            max_waiting: 24,
        }
    }
}

/// A simulated plain server.
#[derive(Clone, Debug, Default)]
pub struct PlainServer {
    spec: PlainSpec,
    /// Index and end time of each running call.
    runs: Vec<(usize, Millis)>,
    waiting: VecDeque<Job>,
    /// Multiple of the usual time that calls take which start now.
    slowness: f64,
}

impl PlainServer {
    /// Creates a server without calls.
    pub fn new(spec: PlainSpec) -> Self {
        Self {
            spec,
            slowness: 1.0,
            ..Self::default()
        }
    }

    fn start_waiting(&mut self, now: Millis) {
        while self.runs.len() < self.spec.slots {
            let Some(job) = self.waiting.pop_front() else {
                return;
            };
            // A call whose deadline passed in the queue is dropped.
            if job.deadline > now {
                let time = job.service_time * self.slowness;
                self.runs.push((job.index, now + time));
            }
        }
    }
}

impl Server for PlainServer {
    fn enqueue(&mut self, now: Millis, queued: QueuedJob) -> Result<(), Job> {
        if self.waiting.len() >= self.spec.max_waiting {
            return Err(queued.job);
        }
        self.waiting.push_back(queued.job);
        self.start_waiting(now);
        Ok(())
    }

    fn next_step(&self) -> Option<Millis> {
        let ends = self.runs.iter().map(|(_, end)| *end);
        ends.min_by(f64::total_cmp)
    }

    fn step(&mut self, progress: &mut Vec<Progress>) {
        let Some(now) = self.next_step() else { return };
        self.runs.retain(|(index, end)| {
            let is_done = *end <= now;
            if is_done {
                progress.push(Progress::First(*index, now));
                progress.push(Progress::End(*index, now));
            }
            !is_done
        });
        self.start_waiting(now);
    }

    fn load(&self) -> u32 {
        (self.runs.len() + self.waiting.len()) as u32
    }

    fn crash(&mut self) -> Vec<usize> {
        let running = self.runs.drain(..).map(|(index, _)| index);
        let waiting = self.waiting.drain(..).map(|job| job.index);
        running.chain(waiting).collect()
    }

    fn set_slowness(&mut self, slowness: f64) {
        self.slowness = slowness;
    }

    fn cached_tokens(&self, _: &Job) -> u32 {
        0
    }

    fn stats(&self) -> WorkStats {
        WorkStats::default()
    }
}
