//! The three outcomes of a request, represented by the same types at every hop.
//!
//! A request is `answered`, `not-run` or `unknown`. Code may return [`NotRun`] only if the request was not sent to a
//! backend server, or if the backend server itself reported that it did not run the request. Any failure after the
//! request was sent to a backend server is [`Unknown`]. See `docs/OUTCOMES.md`.

mod problem;
mod reason;
#[cfg(test)]
mod tests;

pub use problem::problem_response;
pub use reason::NotRun;
pub use reason::Unknown;

use hyper::StatusCode;
use std::time::Duration;

/// Response header with the outcome: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// Outcome of a request that was not answered, with its reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request certainly did not run.
    NotRun {
        /// Why it did not run.
        reason: NotRun,
        /// Delay after which a retry may succeed.
        retry_after: Option<Duration>,
        /// Name of another backend server that the owner suggests for the next attempt.
        next: Option<String>,
    },
    /// The request may or may not have run.
    Unknown {
        /// Why it is not known whether the request ran.
        reason: Unknown,
    },
}

impl Refusal {
    /// Creates a `not-run` refusal without a retry delay.
    pub fn not_run(reason: NotRun) -> Self {
        Self::NotRun {
            reason,
            retry_after: None,
            next: None,
        }
    }

    /// Creates a `not-run` refusal with the delay after which a retry may succeed.
    pub fn not_run_until(reason: NotRun, retry_after: Duration) -> Self {
        Self::NotRun {
            reason,
            retry_after: Some(retry_after),
            next: None,
        }
    }

    /// Creates an `unknown` refusal: the request may or may not have run.
    pub fn unknown(reason: Unknown) -> Self {
        Self::Unknown { reason }
    }

    /// Sets the retry delay to `wait` if the refusal is `not-run` for a temporary reason and has no delay yet.
    pub fn or_retry_after(self, wait: Duration) -> Self {
        match self {
            Self::NotRun {
                reason,
                retry_after: None,
                next,
            } if reason.is_temporary() => Self::NotRun {
                reason,
                retry_after: Some(wait),
                next,
            },
            other => other,
        }
    }

    /// Returns whether the request can be sent to another backend server or node at once. The next attempt is then a
    /// redirect and does not count as a retry.
    pub fn is_redirect(&self) -> bool {
        let reasons = [NotRun::Busy, NotRun::QueueFull, NotRun::NotOwner];
        matches!(self, Self::NotRun { reason, .. } if reasons.contains(reason))
    }

    /// Returns whether the request certainly did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }

    /// Returns the name of the outcome, as used in headers.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::NotRun { .. } => "not-run",
            Self::Unknown { .. } => "unknown",
        }
    }

    /// Returns the name of the reason, as used in messages.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NotRun { reason, .. } => reason.as_str(),
            Self::Unknown { reason } => reason.as_str(),
        }
    }

    /// Returns the HTTP status of the response to the caller.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotRun { reason, .. } => reason.status(),
            Self::Unknown { reason } => reason.status(),
        }
    }

    /// Returns the delay after which a retry may succeed, if there is one.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after, .. } => *retry_after,
            Self::Unknown { .. } => None,
        }
    }
}
