//! Limits the retries of the whole fleet by a budget for each service.
//!
//! Load pattern: a service fails for all nodes, and each node retries each request. The budget keeps the number of
//! retries in any window below a share of the number of requests, plus a fixed slack that is divided among the live
//! nodes.

use crate::clock::BootInstant;
use std::collections::VecDeque;
use std::time::Duration;

/// Limits on the retries of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Number of retries allowed per request in the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Number of additional retries allowed in a window, for the whole fleet.
    pub slack: f64,
}

/// Number of buckets in which the requests and retries of a window are counted.
const BUCKET_COUNT: u32 = 20;
/// Share of the budget that is used. The rest is a margin for nodes that fail: their counts are lost, but the retries
/// that they sent still count towards the fleet's limit.
const USED_BUDGET_SHARE: f64 = 0.7;
/// Share of the used part that is left for the retries that are needed.
const RESERVED_SHARE: f64 = 0.5;
/// Share of the used part up to which a retry may only make sure of an answer.
const QUESTION_SHARE: f64 = 0.25;

/// How much depends on a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryNeed {
    /// The request fails without it, or a server that responds may answer it earlier.
    Full,
    /// It is a second chance beside a send that may still be answered, at a server that may be no better.
    Spare,
    /// The answer is probably whole without it.
    Question,
}

/// Number of requests and retries in one part of the window, which begins at `start`.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: BootInstant,
    requests: u32,
    retries: u32,
}

/// The budget of one node for the retries to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates a budget with an empty window.
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            buckets: VecDeque::new(),
        }
    }

    /// Replaces the limits; the requests and retries counted so far are kept.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
    }

    /// Records a caller's request, which increases the budget.
    pub fn record_request(&mut self, now: BootInstant) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes one retry out of the budget and returns `true`, or returns `false` if the budget is used up as far as `need`
    /// goes. `nodes` is the number of live nodes that share the slack.
    pub fn try_acquire(&mut self, now: BootInstant, nodes: u32, need: RetryNeed) -> bool {
        self.current_bucket(now);
        let (requests, retries) = self
            .buckets
            .iter()
            .fold((0, 0), |(requests, retries), bucket| {
                (requests + bucket.requests, retries + bucket.retries)
            });
        let node_slack = self.policy.slack / f64::from(nodes.max(1));
        let share = match need {
            RetryNeed::Full => USED_BUDGET_SHARE,
            RetryNeed::Spare => USED_BUDGET_SHARE * (1.0 - RESERVED_SHARE),
            RetryNeed::Question => USED_BUDGET_SHARE * QUESTION_SHARE,
        };
        let allowed = (f64::from(requests) * self.policy.ratio + node_slack) * share;
        let is_allowed = f64::from(retries + 1) <= allowed;
        if is_allowed {
            self.current_bucket(now).retries += 1;
        }
        is_allowed
    }

    /// Gives back a retry that was taken at `taken_at` and for which there was no server.
    pub fn release(&mut self, taken_at: BootInstant) {
        let mut newest_first = self.buckets.iter_mut().rev();
        if let Some(bucket) = newest_first.find(|bucket| bucket.start <= taken_at) {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }

    /// Returns the bucket that counts at `now`, and removes old ones. A bucket is kept for one bucket length longer
    /// than the window, since it may count requests and retries that came so much later than its start.
    fn current_bucket(&mut self, now: BootInstant) -> &mut Bucket {
        let length = self.policy.window / BUCKET_COUNT;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now.since(bucket.start) > self.policy.window + length)
        {
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|bucket| now.since(bucket.start) < length);
        if !is_current {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
