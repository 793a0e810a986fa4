//! Turns requests away before their service is so full that those it takes are late.
//!
//! Load pattern: a service gets more than it can run. Taken until its queues are full, every request waits its turn
//! through them and is late; with short queues as many are run, and in time. How long a queue may be follows from the
//! time for which a request holds a slot, which is learnt, and from the latency targets of its routes. The least urgent
//! are turned away first, but never all of them.

use super::crowd::Call;
use super::crowd::Crowd;

/// Turns requests away by the wait that is expected.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Expected wait, as a share of what the latency targets leave for waiting, up to which every request is taken.
    pub take_all_below: f64,
    /// Expected wait, as a share of what the latency targets leave for waiting, from which the most requests are turned
    /// away.
    pub take_least_above: f64,
    /// Share of requests, of any rank, that are turned away at most; some are always taken, since loads are known late
    /// and nobody may be starved.
    pub turned_away_most: f64,
    /// Share of returning callers that are taken although their like would be turned away; as many newcomers are
    /// turned away for them.
    pub return_favour: f64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            // The wait is known late and as a mean; half of the time is left for what it may be in fact.
            take_all_below: 0.5,
            // Who waits longer is late.
            take_least_above: 1.0,
            turned_away_most: 0.8,
            // They were told to come back, and have little time for another return; but a place that a return gets is
            // a late answer where a newcomer could have been on time.
            return_favour: 0.25,
        }
    }
}

impl Admission {
    /// Tells whether a request is taken by a service that is so crowded.
    pub fn takes(&self, crowd: &Crowd, call: &Call) -> bool {
        let share = self.share_of_rank(self.share(crowd), crowd, call.rank);
        let share = if call.is_return {
            share * (1.0 - self.return_favour)
        } else {
            let returns = crowd.return_share.clamp(0.0, 0.9);
            share * (1.0 + self.return_favour * returns / (1.0 - returns))
        };
        call.chance >= share.min(self.turned_away_most)
    }

    /// Gives the share of all requests that is turned away.
    fn share(&self, crowd: &Crowd) -> f64 {
        let wait = crowd.expected_wait().as_secs_f64();
        let wait = wait / crowd.time_to_wait.as_secs_f64().max(f64::EPSILON);
        let span = (self.take_least_above - self.take_all_below).max(f64::EPSILON);
        ((wait - self.take_all_below) / span).clamp(0.0, 1.0) * self.turned_away_most
    }

    /// Gives the share of the requests of `rank` that is turned away, so that it is `share` of all together.
    fn share_of_rank(&self, share: f64, crowd: &Crowd, rank: u8) -> f64 {
        let less_urgent = crowd.ranks.iter().skip(usize::from(rank) + 1).sum::<f64>();
        let own = crowd.ranks.get(usize::from(rank)).copied().unwrap_or(0.0);
        let left = share - less_urgent * self.turned_away_most;
        (left / own.max(f64::EPSILON)).clamp(0.0, self.turned_away_most)
    }
}
