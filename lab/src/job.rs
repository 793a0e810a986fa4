//! Requests of simulated callers, and their results.

use currantbend::decide::PromptPart;

/// Time since the start of the simulation, or a duration, in milliseconds.
pub type Millis = f64;

/// A kind of request of the reference workload, with the latency that its callers expect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobKind {
    /// Name in tables.
    pub name: &'static str,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Maximum time to the first event, or to the whole answer of a plain call, for an answer on time, in
    /// milliseconds.
    pub latency_target: Millis,
    /// Maximum pause between two events of a stream for an answer on time, in milliseconds.
    pub gap_target: Millis,
    /// Time for which a caller waits for the answer, retries included, in milliseconds.
    pub timeout: Millis,
    /// Credit for an answer on time.
    pub on_time_credit: f64,
    /// Credit for a late answer.
    pub late_credit: f64,
}

/// A request of a caller; retries after a rejection belong to the same job.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Index in the pattern's list of jobs, which is sorted by arrival.
    pub index: usize,
    /// Index of its kind in the pattern's list of kinds.
    pub kind: usize,
    /// Team of the caller.
    pub team: u32,
    /// Time of the caller's first attempt.
    pub arrival: Millis,
    /// Time after which the caller has no use for an answer.
    pub deadline: Millis,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Parts of the prompt; empty for a plain call.
    pub parts: Vec<PromptPart>,
    /// Number of tokens to generate; 0 for a plain call.
    pub output_tokens: u32,
    /// Time for which a plain call runs on a server, in milliseconds.
    pub service_time: Millis,
    /// Number of times that the caller may still retry after a rejection.
    pub retries_left: u32,
    /// Whether the caller was rejected before.
    pub is_retry: bool,
}

impl Job {
    /// Returns the number of tokens of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

/// Result of a caller's request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobResult {
    /// Time of the first event, or of the whole answer of a plain call.
    pub first: Option<Millis>,
    /// Longest pause between two events.
    pub longest_gap: Millis,
    /// Time at which the answer was complete.
    pub end: Option<Millis>,
    /// Number of times that the request was rejected.
    pub rejections: u32,
    /// Whether the request was lost in the crash of a server.
    pub is_lost: bool,
}
