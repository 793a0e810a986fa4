//! Interface of a simulated backend server.

use crate::job::Job;
use crate::job::Millis;

/// A request in the queue of a server.
#[derive(Clone, Debug)]
pub struct QueuedJob {
    /// The request.
    pub job: Job,
    /// Earliest time at which it can start: the time at which it was sent, or at which the copy of cached prompt parts
    /// from another engine is complete.
    pub ready_at: Millis,
    /// Number of leading tokens of the shared prompt parts that need no processing once the copy is complete; 0
    /// without a copy.
    pub copied_tokens: u32,
}

/// Progress of a request at a server: the index of its job, and the time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// The first event of a stream, or the whole answer of a plain call.
    First(usize, Millis),
    /// A further event of a stream.
    Event(usize, Millis),
    /// The end of an answer.
    End(usize, Millis),
}

/// Counters of the work that a server did.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkStats {
    /// Number of prompt tokens that were processed, as they were not cached.
    pub prefill_tokens: u64,
    /// Number of those that belong to prompt parts shared with other requests, and so might have been cached.
    pub shared_prefill_tokens: u64,
    /// Number of running requests that were moved back to the queue for lack of memory, and processed again.
    pub preempted: u64,
}

/// A simulated backend server.
pub trait Server {
    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// Returns the job if the server rejects it, because its queue is full or its memory is smaller than the prompt.
    fn enqueue(&mut self, now: Millis, queued: QueuedJob) -> Result<(), Job>;

    /// Returns the time of the next step; `None` while the server has no requests.
    fn next_step(&self) -> Option<Millis>;

    /// Simulates the next step, and appends the progress of the requests to `progress`.
    fn step(&mut self, progress: &mut Vec<Progress>);

    /// Returns the number of running and waiting requests.
    fn load(&self) -> u32;

    /// Drops all requests and cached prompt parts, and returns the indices of the dropped jobs.
    fn crash(&mut self) -> Vec<usize>;

    /// Sets the multiple of the usual time that calls take which start from now on; engines have none.
    fn set_slowness(&mut self, _slowness: f64) {}

    /// Returns the number of leading tokens of the job's shared prompt parts that are cached.
    fn cached_tokens(&self, job: &Job) -> u32;

    /// Returns the counters of the work since the start of the simulation.
    fn stats(&self) -> WorkStats;
}
