//! The three outcomes that a request can have, the same type at every hop.
//!
//! A request is `answered`, `not-run` or `unknown`. [`NotRun`] may be made only where the request was not handed to a
//! backend server, or where the backend server itself said that it did not run it; everything lost after the
//! hand-over is [`Unknown`]. See `docs/OUTCOMES.md`.

mod problem;
mod reason;
#[cfg(test)]
mod tests;

pub use problem::problem_response;
pub use reason::NotRun;
pub use reason::Unknown;

use hyper::StatusCode;
use std::time::Duration;

/// Header that tells a caller the outcome.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// Why a request got no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request did not run, and it is certain that it did not.
    NotRun {
        /// Why it did not run.
        reason: NotRun,
        /// When asking again may help.
        retry_after: Option<Duration>,
        /// Backend server that the owner proposes instead.
        next: Option<String>,
    },
    /// The request may or may not have run.
    Unknown {
        /// Why that is not known.
        reason: Unknown,
    },
}

impl Refusal {
    /// Makes a refusal that is certain.
    pub fn not_run(reason: NotRun) -> Self {
        Self::NotRun {
            reason,
            retry_after: None,
            next: None,
        }
    }

    /// Makes a refusal that is certain, with the time after which asking again may help.
    pub fn not_run_until(reason: NotRun, retry_after: Duration) -> Self {
        Self::NotRun {
            reason,
            retry_after: Some(retry_after),
            next: None,
        }
    }

    /// Makes a refusal that leaves open whether the request ran.
    pub fn unknown(reason: Unknown) -> Self {
        Self::Unknown { reason }
    }

    /// Adds the time after which asking again may help, where there is none and it may.
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

    /// Tells whether the request only takes another way, so that the next attempt is no retry.
    pub fn is_redirect(&self) -> bool {
        let reasons = [NotRun::Busy, NotRun::QueueFull, NotRun::NotOwner];
        matches!(self, Self::NotRun { reason, .. } if reasons.contains(reason))
    }

    /// Tells whether it is certain that the request did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }

    /// Names the outcome as it stands in headers.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::NotRun { .. } => "not-run",
            Self::Unknown { .. } => "unknown",
        }
    }

    /// Names the reason as it stands in messages.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NotRun { reason, .. } => reason.as_str(),
            Self::Unknown { reason } => reason.as_str(),
        }
    }

    /// Gives the HTTP status that a caller gets.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotRun { reason, .. } => reason.status(),
            Self::Unknown { reason } => reason.status(),
        }
    }

    /// Gives the time after which asking again may help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after, .. } => *retry_after,
            Self::Unknown { .. } => None,
        }
    }
}
