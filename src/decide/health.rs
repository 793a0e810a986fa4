//! Suspends backend servers that fail more often than the other servers of their service (outlier ejection).
//!
//! Load pattern: one server of a service fails, hangs or resets some of its requests while it reports itself healthy.
//! If all servers of a service fail equally often, the fault is in the service, and suspending servers would only
//! move the load. A server that is unreachable or does not respond at all is suspended immediately, for example after
//! a network partition between data centres.

use crate::clock::BootInstant;
use std::time::Duration;

/// How a request at a server ended, as far as it is relevant to the health of the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunResult {
    /// A complete response that reports no failure of the server.
    Good,
    /// A response that reports a failure of the server.
    Failed,
    /// No complete response: the connection was reset, or the response was truncated or malformed.
    Broken,
    /// No response within the time that other servers need.
    Silent,
    /// No connection could be established.
    Unreachable,
}

/// Conditions and durations of suspensions.
#[derive(Clone, Copy, Debug)]
pub struct HealthPolicy {
    /// Weight of the newest result in the moving mean of the failure rate.
    pub smoothing_factor: f64,
    /// A server is suspended if its failure rate exceeds the mean of the service's other servers by more than this.
    pub failure_rate_margin: f64,
    /// Number of results from which the failure rate of a server is used.
    pub min_results: u32,
    /// Duration of the first suspension; each further one takes twice as long.
    pub base_suspension: Duration,
    /// Maximum duration of a suspension.
    pub max_suspension: Duration,
}

impl Default for HealthPolicy {
    fn default() -> Self {
        Self {
            // Four consecutive failures outweigh all earlier successes.
            smoothing_factor: 0.25,
            // Between the normal failure rates of the reference workload (0 to 0.14) and those of faulty servers (0.4
            // and more).
            failure_rate_margin: 0.3,
            min_results: 3,
            base_suspension: Duration::from_millis(800),
            // A recovered server gets requests again within the recovery time of the reference workload.
            max_suspension: Duration::from_secs(4),
        }
    }
}

/// Failure rate and suspensions of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    results: u32,
    consecutive_unresponsive: u32,
    suspensions: u32,
    suspended_until: Option<BootInstant>,
    /// Whether the last suspension is since the server did not respond or could not be reached.
    is_unresponsive: bool,
}

impl Health {
    /// Returns whether the server is suspended at `now`.
    pub fn is_suspended(&self, now: BootInstant) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }

    /// Returns the moving mean of the share of failures among the server's results.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Records that a server that was silent goes on, or that another path to it was found, which ends its suspension. Its
    /// failure rate stays, since a server that falls silent again and again is no better than one that fails.
    pub fn end_silence(&mut self) {
        if self.is_unresponsive {
            self.is_unresponsive = false;
            self.suspended_until = None;
            self.consecutive_unresponsive = 0;
        }
    }

    /// Records a result; `mean_failure_rate` is the mean over the other servers of the service.
    ///
    /// Returns the duration of the suspension if this result suspends the server.
    pub fn record(
        &mut self,
        result: RunResult,
        mean_failure_rate: f64,
        now: BootInstant,
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
        self.is_unresponsive = is_unresponsive;
        self.suspended_until = Some(now.plus(suspension));
        Some(suspension)
    }
}
