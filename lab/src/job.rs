//! What callers ask for, and what became of it.

use currantbend::decide::PromptPart;

/// Time since the start of a play, in milliseconds.
pub type Millis = f64;

/// A kind of request, as the sheets describe them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobKind {
    /// Name in tables.
    pub name: &'static str,
    /// Rank of the route; 0 is the most urgent.
    pub urgency: u8,
    /// Time to the first event or to the whole answer within which it is on time, in milliseconds.
    pub aim: Millis,
    /// Longest pause between events within which a stream is on time, in milliseconds.
    pub gap_aim: Millis,
    /// Time that the caller has, in milliseconds.
    pub time: Millis,
    /// Credit of an answer on time.
    pub worth: f64,
    /// Credit of a late answer.
    pub late_worth: f64,
}

/// One request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Number of the request, from 0 in the order of arrival.
    pub number: usize,
    /// Place of its kind in the pattern's list.
    pub kind: usize,
    /// Team of the caller.
    pub team: u32,
    /// When the caller first asked.
    pub arrival: Millis,
    /// When the caller has no further use for an answer.
    pub deadline: Millis,
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Parts of the prompt; empty for a plain call.
    pub parts: Vec<PromptPart>,
    /// Tokens that are generated; 0 for a plain call.
    pub output: u32,
    /// Time that a plain call takes on a server, in milliseconds.
    pub work: Millis,
    /// Times that the caller may still come back after a refusal.
    pub returns_left: u32,
    /// Whether the caller was turned away before.
    pub is_return: bool,
}

impl Job {
    /// Tokens of the prompt.
    pub fn prompt(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

/// What became of a caller's request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fate {
    /// When the first event or the whole answer came.
    pub first: Option<Millis>,
    /// Longest pause between two events.
    pub longest_gap: Millis,
    /// When the answer was complete.
    pub end: Option<Millis>,
    /// Refusals on the way.
    pub refusals: u32,
    /// Whether a server that crashed took it along.
    pub is_lost: bool,
}
