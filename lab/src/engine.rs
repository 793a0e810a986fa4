//! A model of a model engine: batch steps, chunked reading of prompts, one memory for runs and cached parts.

use crate::job::Job;
use crate::job::Millis;
use crate::server::Progress;
use crate::server::QueuedJob;
use crate::server::Server;
use crate::server::WorkStats;
use currantbend::decide::PromptPart;

/// Speed and size of an engine; the defaults are those of the sheets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait at most.
    pub queue: usize,
    /// Time of a step without any run, in milliseconds.
    pub step: Millis,
    /// Time that each run adds to a step, in milliseconds.
    pub step_per_run: Millis,
    /// Prompt tokens that are read in a millisecond.
    pub read_per_ms: f64,
    /// Prompt tokens that are read in one step at most.
    pub chunk: u32,
    /// Tokens that fit into the memory.
    pub memory: u32,
    /// Tokens of an event.
    pub event_tokens: u32,
    /// Whether the most urgent request that waits starts first, instead of the oldest.
    pub by_urgency: bool,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            slots: 64,
            queue: 192,
            step: 3.82,
            step_per_run: 0.0227,
            read_per_ms: 68.2,
            chunk: 2_048,
            memory: 605_236,
            event_tokens: 6,
            by_urgency: true,
        }
    }
}

/// A request in the batch.
#[derive(Clone, Debug)]
struct Run {
    job: Job,
    started: Millis,
    /// Prompt tokens that are still to be read.
    to_read: u32,
    /// Tokens that have been generated.
    made: u32,
    /// Tokens that its own memory holds besides the cached parts.
    own: u32,
}

/// A part that stays in memory after the run that read it.
#[derive(Clone, Copy, Debug)]
struct Cached {
    part: PromptPart,
    used: Millis,
}

/// The model.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    spec: EngineSpec,
    now: Millis,
    waiting: Vec<QueuedJob>,
    runs: Vec<Run>,
    cache: Vec<Cached>,
    stats: WorkStats,
}

impl Engine {
    /// Makes an engine that holds nothing.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            ..Self::default()
        }
    }

    fn shared(job: &Job) -> &[PromptPart] {
        job.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    fn used(&self) -> u32 {
        let cached: u32 = self.cache.iter().map(|cached| cached.part.tokens).sum();
        cached + self.runs.iter().map(|run| run.own).sum::<u32>()
    }

    /// Frees the least recently used parts until `tokens` fit; tells whether they do.
    fn make_room(&mut self, tokens: u32) -> bool {
        while self.used() + tokens > self.spec.memory {
            let oldest = (0..self.cache.len())
                .min_by(|&a, &b| self.cache[a].used.total_cmp(&self.cache[b].used));
            match oldest {
                Some(at) => {
                    self.cache.swap_remove(at);
                }
                None => return false,
            }
        }
        true
    }

    fn keep(&mut self, part: PromptPart) {
        match self
            .cache
            .iter_mut()
            .find(|cached| cached.part.id == part.id)
        {
            Some(cached) => cached.used = self.now,
            None => {
                if self.make_room(part.tokens) {
                    self.cache.push(Cached {
                        part,
                        used: self.now,
                    });
                }
            }
        }
    }

    /// The request that starts next, of those that are ready.
    fn next_waiting(&self) -> Option<usize> {
        let ready = (0..self.waiting.len()).filter(|&at| self.waiting[at].ready_at <= self.now);
        if self.spec.by_urgency {
            ready.min_by_key(|&at| (self.waiting[at].job.rank, at))
        } else {
            ready.min()
        }
    }

    fn start_waiting(&mut self) {
        let now = self.now;
        // Callers that have gone are let go of, as engines do when a connection closes.
        self.waiting.retain(|queued| queued.job.deadline > now);
        self.runs.retain(|run| run.job.deadline > now);
        while self.runs.len() < self.spec.slots {
            let Some(at) = self.next_waiting() else {
                return;
            };
            let queued = &self.waiting[at];
            let held = self.cached_tokens(&queued.job).max(queued.copied_tokens);
            let own = queued.job.prompt_tokens() - Self::shared_tokens(&queued.job)
                + queued.job.output_tokens;
            let (job, to_read) = (queued.job.clone(), queued.job.prompt_tokens() - held);
            if !self.make_room(own) {
                return;
            }
            self.waiting.remove(at);
            self.stats.prefill_tokens += u64::from(to_read);
            let shared_read = Self::shared_tokens(&job).saturating_sub(held);
            self.stats.shared_prefill_tokens += u64::from(shared_read);
            for part in Self::shared(&job).to_vec() {
                self.keep(part);
            }
            self.runs.push(Run {
                job,
                started: self.now,
                to_read,
                made: 0,
                own,
            });
        }
    }

    fn shared_tokens(job: &Job) -> u32 {
        Self::shared(job).iter().map(|part| part.tokens).sum()
    }

    /// Takes the newest of the least urgent runs out of the memory where it doesn't fit any more.
    fn preempt(&mut self) {
        while self.used() > self.spec.memory && !self.make_room(0) {
            let last = (0..self.runs.len()).max_by(|&a, &b| {
                let rank = |at: usize| (self.runs[at].job.rank, self.runs[at].started);
                rank(a)
                    .partial_cmp(&rank(b))
                    .unwrap_or(std::cmp::Ordering::Equal)
            });
            let Some(at) = last else { return };
            let run = self.runs.remove(at);
            self.stats.preempted += 1;
            self.waiting.insert(
                0,
                QueuedJob {
                    job: run.job,
                    ready_at: self.now,
                    copied_tokens: 0,
                },
            );
        }
    }
}

impl Server for Engine {
    fn enqueue(&mut self, now: Millis, queued: QueuedJob) -> Result<(), Job> {
        if self.waiting.len() >= self.spec.queue || queued.job.prompt_tokens() > self.spec.memory {
            return Err(queued.job);
        }
        if self.runs.is_empty() && self.waiting.is_empty() {
            self.now = now;
        }
        self.waiting.push(queued);
        Ok(())
    }

    fn next_step(&self) -> Option<Millis> {
        if !self.runs.is_empty() {
            return Some(self.now);
        }
        let readies = self.waiting.iter().map(|queued| queued.ready_at);
        readies
            .min_by(f64::total_cmp)
            .map(|ready| ready.max(self.now))
    }

    fn step(&mut self, progress: &mut Vec<Progress>) {
        self.now = self.next_step().unwrap_or(self.now);
        self.start_waiting();
        self.preempt();
        let mut budget = self.spec.chunk;
        let mut read = 0;
        for run in &mut self.runs {
            let part = run.to_read.min(budget);
            run.to_read -= part;
            budget -= part;
            read += part;
        }
        let runs = self.runs.len() as f64;
        self.now += self.spec.step
            + self.spec.step_per_run * runs
            + f64::from(read) / self.spec.read_per_ms;
        let now = self.now;
        let event = self.spec.event_tokens;
        self.runs.retain_mut(|run| {
            if run.to_read > 0 {
                return true;
            }
            run.made += 1;
            let number = run.job.index;
            let is_done = run.made >= run.job.output_tokens;
            if run.made == 1 {
                progress.push(Progress::First(number, now));
            } else if run.made % event == 0 || is_done {
                progress.push(Progress::Event(number, now));
            }
            if is_done {
                progress.push(Progress::End(number, now));
            }
            !is_done
        });
    }

    fn load(&self) -> u32 {
        (self.runs.len() + self.waiting.len()) as u32
    }

    fn crash(&mut self) -> Vec<usize> {
        self.cache.clear();
        let running = self.runs.drain(..).map(|run| run.job.index);
        let waiting = self.waiting.drain(..).map(|queued| queued.job.index);
        running.chain(waiting).collect()
    }

    fn cached_tokens(&self, job: &Job) -> u32 {
        let is_held = |part: &&PromptPart| self.cache.iter().any(|held| held.part.id == part.id);
        let leading = Self::shared(job).iter().take_while(is_held);
        leading.map(|part| part.tokens).sum()
    }

    fn stats(&self) -> WorkStats {
        self.stats
    }
}
