//! What a caller remembers of each call, because the report is made from these records.

use std::time::Duration;
use std::time::Instant;

use crate::standin::cache::Prefix;

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A chat's next turn, answered as a stream.
    ChatStream,
    /// A chat's next turn, answered whole.
    ChatWhole,
    /// A payment order, which may run at most once.
    Payment,
    /// A balance lookup, which may be repeated.
    Lookup,
}

/// How a call, or one attempt of it, ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The caller got the whole answer to its own request.
    Answered,
    /// The caller was told that the request did not run.
    NotRun {
        /// The reason given.
        reason: String,
        /// The pause asked for.
        retry_after: Option<Duration>,
    },
    /// The caller can't tell whether the request ran.
    Unknown {
        /// The reason given, or what the caller saw.
        reason: String,
    },
    /// The caller got an answer that isn't that of its request.
    Wrong {
        /// What differed.
        reason: String,
    },
    /// The answer ended as if it were whole, but it was not.
    Incomplete,
    /// The answer broke off at a node that was stopping gracefully.
    CutOff,
    /// The answer broke off, so that the caller could see it.
    Broken {
        /// What the caller saw.
        reason: String,
    },
    /// The answer ended with an error said in plain words.
    ErrorEvent {
        /// The error.
        reason: String,
    },
    /// No node took the connection, so nothing was sent.
    Refused,
}

/// One call, with all its attempts.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Team of the caller.
    pub team: String,
    /// Chat of the call, empty for plain calls.
    pub chat: String,
    /// Id of the call, which every attempt's request id and body carry.
    pub call: String,
    /// Idempotency key of a payment.
    pub key: Option<String>,
    /// Node that issued the ticket by which the payment went at last.
    pub issuer: Option<String>,
    /// Kind of the call.
    pub kind: CallKind,
    /// Node that the last attempt went to.
    pub node: String,
    /// Hash of the body, as the stand-ins take it.
    pub body_hash: u64,
    /// Prefixes of the messages sent.
    pub prompt: Vec<Prefix>,
    /// Prefix up to and including the answer that the call must bring.
    pub answer: Option<Prefix>,
    /// Time of the first attempt's start.
    pub started: Instant,
    /// Time at which the last attempt's answer began.
    pub first_byte: Option<Instant>,
    /// Time of the end.
    pub ended: Instant,
    /// When the caller was told that the call did not run, one time for each such attempt.
    pub not_run_at: Vec<Instant>,
    /// The final end.
    pub outcome: CallOutcome,
}

impl CallOutcome {
    /// Tells whether the log could not take the claim, so that only a ticket helps.
    pub fn needs_ticket(&self) -> bool {
        matches!(self, CallOutcome::NotRun { reason, .. } if reason == "log-unavailable")
    }
}

impl CallRecord {
    /// Puts the attempts of `earlier`, which went under another key, before this one's.
    pub fn with_earlier_attempts(mut self, earlier: CallRecord) -> CallRecord {
        self.started = earlier.started;
        self.not_run_at.splice(0..0, earlier.not_run_at);
        self
    }

    /// Tells whether the call is a chat's.
    pub fn is_chat(&self) -> bool {
        matches!(self.kind, CallKind::ChatStream | CallKind::ChatWhole)
    }
}
