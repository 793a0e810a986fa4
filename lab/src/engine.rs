//! A simulated model engine: it generates tokens in batched steps, processes prompts in chunks (chunked prefill), and
//! has one memory for the running requests and for cached prompt parts.

use crate::job::Job;
use crate::job::Millis;
use crate::server::Progress;
use crate::server::QueuedJob;
use crate::server::Server;
use crate::server::WorkStats;
use currantbend::decide::PromptPart;

/// Speed and size of an engine; the defaults are those of the reference workload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Duration of a step without running requests, in milliseconds.
    pub base_step_time: Millis,
    /// Time that each running request adds to a step, in milliseconds.
    pub step_time_per_run: Millis,
    /// Prompt tokens that are processed in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Maximum number of prompt tokens that are processed in one step, for all running requests together.
    pub max_prefill_tokens: u32,
    /// Number of tokens that fit into the memory.
    pub memory_tokens: u32,
    /// Number of generated tokens that a stream sends in one event.
    pub event_tokens: u32,
    /// Whether the waiting requests start in the order of their ranks, instead of their arrival.
    pub is_rank_ordered: bool,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            slots: 64,
            max_waiting: 192,
            base_step_time: 3.82,
            step_time_per_run: 0.0227,
            prefill_tokens_per_ms: 68.2,
            max_prefill_tokens: 2_048,
            memory_tokens: 605_236,
            event_tokens: 6,
            is_rank_ordered: true,
        }
    }
}

/// A running request, which is part of the batch.
#[derive(Clone, Debug)]
struct Run {
    job: Job,
    started: Millis,
    /// Number of prompt tokens that remain to be processed.
    prefill_left: u32,
    /// Number of generated tokens.
    generated: u32,
    /// Number of tokens of memory reserved for this request alone: its own prompt part and its output.
    own_tokens: u32,
}

/// A shared prompt part, which stays in memory after the request that processed it.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    part: PromptPart,
    last_used: Millis,
}

/// A simulated engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    spec: EngineSpec,
    /// Time up to which the engine has been simulated.
    now: Millis,
    waiting: Vec<QueuedJob>,
    runs: Vec<Run>,
    cache: Vec<CachedPart>,
    stats: WorkStats,
}

impl Engine {
    /// Creates an engine without requests and cached prompt parts.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            ..Self::default()
        }
    }

    /// Returns all parts of the prompt but the last, which belongs to this request alone.
    fn shared_parts(job: &Job) -> &[PromptPart] {
        job.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the number of tokens of memory that cached parts and running requests take.
    fn used_tokens(&self) -> u32 {
        let cached: u32 = self.cache.iter().map(|cached| cached.part.tokens).sum();
        cached + self.runs.iter().map(|run| run.own_tokens).sum::<u32>()
    }

    /// Evicts the least recently used prompt parts from the cache until `tokens` more tokens fit into the memory, and
    /// returns whether they do.
    fn make_room(&mut self, tokens: u32) -> bool {
        while self.used_tokens() + tokens > self.spec.memory_tokens {
            let oldest = (0..self.cache.len())
                .min_by(|&a, &b| self.cache[a].last_used.total_cmp(&self.cache[b].last_used));
            match oldest {
                Some(index) => {
                    self.cache.swap_remove(index);
                }
                None => return false,
            }
        }
        true
    }

    /// Records that a shared prompt part is used now. Adds it to the cache if it is not there and fits into the memory.
    fn cache_part(&mut self, part: PromptPart) {
        match self
            .cache
            .iter_mut()
            .find(|cached| cached.part.id == part.id)
        {
            Some(cached) => cached.last_used = self.now,
            None => {
                if self.make_room(part.tokens) {
                    self.cache.push(CachedPart {
                        part,
                        last_used: self.now,
                    });
                }
            }
        }
    }

    /// Returns the index of the waiting request that starts next, among those that are ready.
    fn next_waiting(&self) -> Option<usize> {
        let ready =
            (0..self.waiting.len()).filter(|&index| self.waiting[index].ready_at <= self.now);
        if self.spec.is_rank_ordered {
            ready.min_by_key(|&index| (self.waiting[index].job.rank, index))
        } else {
            ready.min()
        }
    }

    /// Drops requests whose deadline has passed, then starts waiting requests while there are free slots and memory.
    fn start_waiting(&mut self) {
        let now = self.now;
        // A caller disconnects at its deadline, and an engine cancels the request when the connection closes.
        self.waiting.retain(|queued| queued.job.deadline > now);
        self.runs.retain(|run| run.job.deadline > now);
        while self.runs.len() < self.spec.slots {
            let Some(index) = self.next_waiting() else {
                return;
            };
            let queued = &self.waiting[index];
            let cached = self.cached_tokens(&queued.job).max(queued.copied_tokens);
            let own_tokens = queued.job.prompt_tokens() - Self::shared_tokens(&queued.job)
                + queued.job.output_tokens;
            let (job, prefill_left) = (queued.job.clone(), queued.job.prompt_tokens() - cached);
            if !self.make_room(own_tokens) {
                return;
            }
            self.waiting.remove(index);
            self.stats.prefill_tokens += u64::from(prefill_left);
            let shared_left = Self::shared_tokens(&job).saturating_sub(cached);
            self.stats.shared_prefill_tokens += u64::from(shared_left);
            for part in Self::shared_parts(&job).to_vec() {
                self.cache_part(part);
            }
            self.runs.push(Run {
                job,
                started: self.now,
                prefill_left,
                generated: 0,
                own_tokens,
            });
        }
    }

    fn shared_tokens(job: &Job) -> u32 {
        Self::shared_parts(job).iter().map(|part| part.tokens).sum()
    }

    /// Moves running requests back to the head of the queue while they don't fit into the memory even without cached
    /// parts. The least urgent request is moved first; among several of these, the one that started last. It will run
    /// again from the beginning.
    fn preempt(&mut self) {
        while self.used_tokens() > self.spec.memory_tokens && !self.make_room(0) {
            let last = (0..self.runs.len()).max_by(|&a, &b| {
                let order = |index: usize| (self.runs[index].job.rank, self.runs[index].started);
                order(a)
                    .partial_cmp(&order(b))
                    .unwrap_or(std::cmp::Ordering::Equal)
            });
            let Some(index) = last else { return };
            let run = self.runs.remove(index);
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
        if self.waiting.len() >= self.spec.max_waiting
            || queued.job.prompt_tokens() > self.spec.memory_tokens
        {
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
        let ready_times = self.waiting.iter().map(|queued| queued.ready_at);
        ready_times
            .min_by(f64::total_cmp)
            .map(|ready_at| ready_at.max(self.now))
    }

    fn step(&mut self, progress: &mut Vec<Progress>) {
        self.now = self.next_step().unwrap_or(self.now);
        self.start_waiting();
        self.preempt();
        let mut budget = self.spec.max_prefill_tokens;
        let mut processed = 0;
        for run in &mut self.runs {
            let tokens = run.prefill_left.min(budget);
            run.prefill_left -= tokens;
            budget -= tokens;
            processed += tokens;
        }
        let run_count = self.runs.len() as f64;
        self.now += self.spec.base_step_time
            + self.spec.step_time_per_run * run_count
            + f64::from(processed) / self.spec.prefill_tokens_per_ms;
        let now = self.now;
        let event_tokens = self.spec.event_tokens;
        self.runs.retain_mut(|run| {
            if run.prefill_left > 0 {
                return true;
            }
            run.generated += 1;
            let index = run.job.index;
            let is_done = run.generated >= run.job.output_tokens;
            if run.generated == 1 {
                progress.push(Progress::First(index, now));
            } else if run.generated % event_tokens == 0 || is_done {
                progress.push(Progress::Event(index, now));
            }
            if is_done {
                progress.push(Progress::End(index, now));
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
        let is_cached =
            |part: &&PromptPart| self.cache.iter().any(|cached| cached.part.id == part.id);
        let leading = Self::shared_parts(job).iter().take_while(is_cached);
        leading.map(|part| part.tokens).sum()
    }

    fn stats(&self) -> WorkStats {
        self.stats
    }
}
