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
    pub gain: f64,
    /// Failure rate above the service's mean from which a server is set aside.
    pub excess: f64,
    /// Results a server must have given before its rate counts.
    pub least_results: u32,
    /// Time for which a server is first set aside; it doubles each time.
    pub first_pause: Duration,
    /// Longest time for which a server is set aside.
    pub longest_pause: Duration,
}

impl Default for HealthPolicy {
    fn default() -> Self {
        Self {
            // Four failures in a row outweigh any success before.
            gain: 0.25,
            // Between the sheet's natural failure shares (0 to 0.14) and those of faulty servers (0.4 and more).
            excess: 0.3,
            least_results: 3,
            first_pause: Duration::from_millis(800),
            // A returning server is found within the sheet's recovery time.
            longest_pause: Duration::from_secs(4),
        }
    }
}

/// The standing of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    rate: f64,
    results: u32,
    dark_in_row: u32,
    pauses: u32,
    aside_until: Option<Moment>,
}

impl Health {
    /// Tells whether the server is set aside at `now`.
    pub fn is_aside(&self, now: Moment) -> bool {
        self.aside_until.is_some_and(|until| now < until)
    }

    /// Gives the moving share of failures.
    pub fn failure_rate(&self) -> f64 {
        self.rate
    }

    /// Takes in a result; `mean_rate` is the mean over the other servers of the service.
    ///
    /// Returns for how long the server is now set aside, if it is.
    pub fn note(
        &mut self,
        result: RunResult,
        mean_rate: f64,
        now: Moment,
        policy: &HealthPolicy,
    ) -> Option<Duration> {
        let failure = if result == RunResult::Good { 0.0 } else { 1.0 };
        self.rate += (failure - self.rate) * policy.gain;
        self.results = self.results.saturating_add(1);
        if matches!(result, RunResult::Unreachable | RunResult::Silent) {
            self.dark_in_row += 1;
        } else {
            self.dark_in_row = 0;
        }
        if result == RunResult::Good {
            if self.rate < policy.gain {
                self.pauses = 0;
            }
            return None;
        }
        let is_dark = self.dark_in_row > 0;
        let is_worse =
            self.results >= policy.least_results && self.rate > mean_rate + policy.excess;
        if !(is_dark || is_worse) || self.is_aside(now) {
            return None;
        }
        let pause = policy.first_pause * 2u32.saturating_pow(self.pauses.min(8));
        let pause = pause.min(policy.longest_pause);
        self.pauses += 1;
        self.aside_until = Some(now.plus(pause));
        Some(pause)
    }
}
