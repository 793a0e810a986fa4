//! The record of each call, from which the report is computed.

use std::time::Duration;
use std::time::Instant;

use crate::standin::cache::Prefix;

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// The next turn of a chat, with a streamed answer.
    ChatStream,
    /// The next turn of a chat, with an answer without streaming.
    ChatNonStreaming,
    /// A payment order, which must run at most once.
    Payment,
    /// A balance lookup, which may run more than once.
    Lookup,
}

/// Outcome of a call, or of one attempt, from the view of its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The caller received the complete answer to its request.
    Answered,
    /// The response says that the request did not run.
    NotRun {
        /// The reason in the response.
        reason: String,
        /// The delay in the `retry-after` header.
        retry_after: Option<Duration>,
    },
    /// The caller does not know whether the request ran.
    Unknown {
        /// The reason in the response, or the error that the caller observed.
        reason: String,
    },
    /// The caller received an answer that is not the one to its request.
    Wrong {
        /// The difference from the expected answer.
        reason: String,
    },
    /// The answer ended like a complete one, but a part is missing.
    Incomplete,
    /// The connection or the answer was aborted by a node that was stopping gracefully.
    CutOff,
    /// The answer was aborted or stalled, so the caller knows that it is incomplete.
    Broken {
        /// The error that the caller observed.
        reason: String,
    },
    /// The backend server answered with an error status, or the stream ended with an error event.
    ErrorEvent {
        /// The error.
        reason: String,
    },
    /// No node accepted a connection, so the request was not sent.
    Refused,
}

/// Record of one call with all its attempts.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Team of the caller.
    pub team: String,
    /// Chat of the call, empty for plain calls.
    pub chat: String,
    /// Id of the call. Every attempt's request id and body contain it.
    pub call: String,
    /// Idempotency key of a payment.
    pub key: Option<String>,
    /// Node that issued the ticket, if the payment was finally sent with a ticket as its key.
    pub issuer: Option<String>,
    /// Kind of the call.
    pub kind: CallKind,
    /// Node that the last attempt went to.
    pub node: String,
    /// Hash of the body, computed as in the stand-ins.
    pub body_hash: u64,
    /// Prefixes of the sent messages.
    pub prompt: Vec<Prefix>,
    /// Prefix up to and including the expected answer.
    pub answer: Option<Prefix>,
    /// Start of the first attempt.
    pub started: Instant,
    /// Time of the first byte of the last attempt's answer.
    pub first_byte: Option<Instant>,
    /// End of the last attempt.
    pub ended: Instant,
    /// Times at which a response said that the call had not run, one for each such attempt. Responses after an attempt
    /// with an unknown outcome are left out.
    pub not_run_at: Vec<Instant>,
    /// Outcome of the call.
    pub outcome: CallOutcome,
}

impl CallOutcome {
    /// Returns whether the call did not run because the log could not store its claim. It can then only run with a
    /// ticket.
    pub fn needs_ticket(&self) -> bool {
        matches!(self, CallOutcome::NotRun { reason, .. } if reason == "log-unavailable")
    }
}

impl CallRecord {
    /// Adds the attempts of `earlier`, which were sent under a different key, before the attempts of this record.
    pub fn with_earlier_attempts(mut self, earlier: CallRecord) -> CallRecord {
        self.started = earlier.started;
        self.not_run_at.splice(0..0, earlier.not_run_at);
        self
    }

    /// Returns whether the call is a turn of a chat.
    pub fn is_chat(&self) -> bool {
        matches!(self.kind, CallKind::ChatStream | CallKind::ChatNonStreaming)
    }
}
