//! Turns requests away before their service is so full that those it takes are late.
//!
//! Load pattern: a service gets more than it can run. Taken until its queues are full, every request waits its turn
//! through them and is late; with short queues as many are run, and in time. How long a queue may be follows from the
//! time for which a request holds a slot, which is learnt, and from the latency targets of its routes. The least urgent
//! are turned away first, but never all of them.

use super::service_load::AdmissionRequest;
use super::service_load::ServiceLoad;

/// Turns requests away by the wait that is expected.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Expected wait, as a share of what the latency targets leave for waiting, up to which every request is taken.
    pub accept_all_below: f64,
    /// Expected wait, as a share of what the latency targets leave for waiting, from which the most requests are turned
    /// away.
    pub reject_most_above: f64,
    /// Share of requests, of any rank, that are turned away at most; some are always taken, since loads are known late
    /// and nobody may be starved.
    pub max_rejected_share: f64,
    /// Share of returning callers that are taken although their like would be turned away; as many newcomers are
    /// turned away for them.
    pub caller_retry_preference: f64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            // The wait is known late and as a mean; half of the time is left for what it may be in fact.
            accept_all_below: 0.5,
            // Who waits longer is late.
            reject_most_above: 1.0,
            max_rejected_share: 0.8,
            // They were told to come back, and have little time for another return; but a place that a return gets is
            // a late answer where a newcomer could have been on time.
            caller_retry_preference: 0.25,
        }
    }
}

impl Admission {
    /// Tells whether a request is taken by a service that is so crowded.
    pub fn accepts(&self, load: &ServiceLoad, request: &AdmissionRequest) -> bool {
        let share = self.rejected_share_of_rank(self.rejected_share(load), load, request.rank);
        let share = if request.is_caller_retry {
            share * (1.0 - self.caller_retry_preference)
        } else {
            let returns = load.caller_retry_share.clamp(0.0, 0.9);
            share * (1.0 + self.caller_retry_preference * returns / (1.0 - returns))
        };
        request.random_fraction >= share.min(self.max_rejected_share)
    }

    /// Gives the share of all requests that is turned away.
    fn rejected_share(&self, load: &ServiceLoad) -> f64 {
        let wait = load.expected_wait().as_secs_f64();
        let wait = wait / load.wait_budget.as_secs_f64().max(f64::EPSILON);
        let span = (self.reject_most_above - self.accept_all_below).max(f64::EPSILON);
        ((wait - self.accept_all_below) / span).clamp(0.0, 1.0) * self.max_rejected_share
    }

    /// Gives the share of the requests of `rank` that is turned away, so that it is `share` of all together.
    fn rejected_share_of_rank(&self, share: f64, load: &ServiceLoad, rank: u8) -> f64 {
        let less_urgent = load
            .rank_shares
            .iter()
            .skip(usize::from(rank) + 1)
            .sum::<f64>();
        let own = load
            .rank_shares
            .get(usize::from(rank))
            .copied()
            .unwrap_or(0.0);
        let left = share - less_urgent * self.max_rejected_share;
        (left / own.max(f64::EPSILON)).clamp(0.0, self.max_rejected_share)
    }
}
