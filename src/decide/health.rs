//! Sets backend servers aside that fail more than their like.
//!
//! Load pattern: one server of a service fails, hangs or resets part of its requests while it reports itself healthy. If
//! all servers fail alike it is the service, and setting servers aside would only move the load. A server that can't be
//! reached or gives no sign at all is set aside at once, as after a cut between data centres.

use crate::clock::Moment;
use std::time::Duration;

/// How a request at a server ended, as far as it tells of the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunResult {
    /// A whole answer.
    Good,
    /// An answer that reports a failure of the server.
    Failed,
    /// No whole answer: reset, cut short, garbled.
    Broken,
    /// No answer in the time that the others need.
    Silent,
    /// No connection.
    Unreachable,
}

/// When servers are set aside.
#[derive(Clone, Copy, Debug)]
pub struct HealthPolicy {
    /// Weight of the newest result in the moving failure rate.
    pub smoothing_factor: f64,
    /// Failure rate above the service's mean from which a server is set aside.
    pub failure_rate_margin: f64,
    /// Results a server must have given before its rate counts.
    pub min_results: u32,
    /// Time for which a server is first set aside; it doubles each time.
    pub base_suspension: Duration,
    /// Longest time for which a server is set aside.
    pub max_suspension: Duration,
}

impl Default for HealthPolicy {
    fn default() -> Self {
        Self {
            // Four failures in a row outweigh any success before.
            smoothing_factor: 0.25,
            // Between the sheet's natural failure shares (0 to 0.14) and those of faulty servers (0.4 and more).
            failure_rate_margin: 0.3,
            min_results: 3,
            base_suspension: Duration::from_millis(800),
            // A returning server is found within the sheet's recovery time.
            max_suspension: Duration::from_secs(4),
        }
    }
}

/// The standing of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    results: u32,
    consecutive_unresponsive: u32,
    suspensions: u32,
    suspended_until: Option<Moment>,
}

impl Health {
    /// Tells whether the server is set aside at `now`.
    pub fn is_suspended(&self, now: Moment) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }

    /// Gives the moving share of failures.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Takes in a result; `mean_failure_rate` is the mean over the other servers of the service.
    ///
    /// Returns for how long the server is now set aside, if it is.
    pub fn record(
        &mut self,
        result: RunResult,
        mean_failure_rate: f64,
        now: Moment,
        policy: &HealthPolicy,
    ) -> Option<Duration> {
        let failure = if result == RunResult::Good { 0.0 } else { 1.0 };
        self.failure_rate += (failure - self.failure_rate) * policy.smoothing_factor;
        self.results = self.results.saturating_add(1);
        if matches!(result, RunResult::Unreachable | RunResult::Silent) {
            self.consecutive_unresponsive += 1;
        } else {
            self.consecutive_unresponsive = 0;
        }
        if result == RunResult::Good {
            if self.failure_rate < policy.smoothing_factor {
                self.suspensions = 0;
            }
            return None;
        }
        let is_unresponsive = self.consecutive_unresponsive > 0;
        let is_worse = self.results >= policy.min_results
            && self.failure_rate > mean_failure_rate + policy.failure_rate_margin;
        if !(is_unresponsive || is_worse) || self.is_suspended(now) {
            return None;
        }
        let suspension = policy.base_suspension * 2u32.saturating_pow(self.suspensions.min(8));
        let suspension = suspension.min(policy.max_suspension);
        self.suspensions += 1;
        self.suspended_until = Some(now.plus(suspension));
        Some(suspension)
    }
}
