//! Rejects requests early, before the queues of their service are so long that accepted requests miss their latency
//! targets.
//!
//! Load pattern: a service receives more requests than it can run. If all are accepted until its queues are full,
//! every request waits through a full queue and is late. With short queues the service runs as many requests, and
//! they are in time. The acceptable queue length follows from the time for which a request holds a slot, which is
//! measured, and from the latency targets of the service's routes. Requests of teams beyond a fair share are rejected first
//! ([`super::team_share`]), and within a team the least urgent, but never all of them.

use super::service_load::AdmissionRequest;
use super::service_load::ServiceLoad;
use super::team_share::rejected_share_of_team;

/// Admission control by the expected wait at a service.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Expected wait, as a share of the wait budget that the latency targets leave, up to which every request is
    /// accepted.
    pub accept_all_below: f64,
    /// Expected wait, as a share of the wait budget, from which `max_rejected_share` of the requests is rejected.
    pub reject_most_above: f64,
    /// Maximum share of requests that is rejected, in total and of each rank. Some are always accepted, because load
    /// information arrives late and no rank may be starved.
    pub max_rejected_share: f64,
    /// Share of the caller retries due for rejection that is accepted after all; as many new requests are rejected
    /// instead.
    pub caller_retry_preference: f64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            // The expected wait is a mean and is known late; the other half of the budget covers longer actual waits.
            accept_all_below: 0.5,
            // A request that waits longer than its budget misses its latency target.
            reject_most_above: 1.0,
            max_rejected_share: 0.8,
            // Retrying callers followed a retry-after delay and have little time for another attempt. But a retry is
            // answered late, and each one accepted may displace a new request that could have been answered in time.
            caller_retry_preference: 0.25,
        }
    }
}

impl Admission {
    /// Returns whether a service under this load accepts the request.
    pub fn accepts(&self, load: &ServiceLoad, request: &AdmissionRequest<'_>) -> bool {
        request.random_fraction >= self.rejection_probability(load, request)
    }

    /// Returns the probability from 0 to 1 with which a service under this load rejects such a request.
    pub fn rejection_probability(&self, load: &ServiceLoad, request: &AdmissionRequest<'_>) -> f64 {
        let rejected = self.rejected_share(load);
        let rejected = rejected_share_of_team(rejected, request.team, request.heavy_teams);
        let share = self.rejected_share_of_rank(rejected, load, request.rank);
        let share = if request.is_caller_retry {
            share * (1.0 - self.caller_retry_preference)
        } else {
            let retry_share = load.caller_retry_share.clamp(0.0, 0.9);
            share * (1.0 + self.caller_retry_preference * retry_share / (1.0 - retry_share))
        };
        share.min(self.max_rejected_share)
    }

    /// Returns the share of all requests to reject.
    fn rejected_share(&self, load: &ServiceLoad) -> f64 {
        let wait = load.expected_wait().as_secs_f64();
        let wait = wait / load.wait_budget.as_secs_f64().max(f64::EPSILON);
        let span = (self.reject_most_above - self.accept_all_below).max(f64::EPSILON);
        ((wait - self.accept_all_below) / span).clamp(0.0, 1.0) * self.max_rejected_share
    }

    /// Returns the share of the requests of `rank` to reject so that `share` of all requests is rejected, the less
    /// urgent ranks first, each up to `max_rejected_share`.
    fn rejected_share_of_rank(&self, share: f64, load: &ServiceLoad, rank: u8) -> f64 {
        let less_urgent = load
            .rank_shares
            .iter()
            .skip(usize::from(rank) + 1)
            .sum::<f64>();
        let own_share = load
            .rank_shares
            .get(usize::from(rank))
            .copied()
            .unwrap_or(0.0);
        let remaining = share - less_urgent * self.max_rejected_share;
        (remaining / own_share.max(f64::EPSILON)).clamp(0.0, self.max_rejected_share)
    }
}
