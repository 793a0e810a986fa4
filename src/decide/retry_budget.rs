//! Keeps the fleet's budget of repeated sends.
//!
//! Load pattern: a service fails for everybody, and each node retries each request. The repeats of any window stay under
//! a share of the requests; the fixed part is divided between the nodes that live.

use crate::clock::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// The budget that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Repeats allowed for each request of the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Repeats allowed in a window besides, for the whole fleet.
    pub slack: f64,
}

/// Steps that a window is counted in.
const BUCKET_COUNT: u32 = 20;
/// Part of the budget that is used: nodes that die lose their counts while their repeats still count.
const USED_BUDGET_SHARE: f64 = 0.7;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Moment,
    requests: u32,
    retries: u32,
}

/// One node's part of the budget for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Starts with an empty window.
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            buckets: VecDeque::new(),
        }
    }

    /// Goes by other terms; what was counted under the old ones still counts.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Moment) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes one repeat out of the budget where there is one, `nodes` being how many share the fixed part.
    pub fn try_acquire(&mut self, now: Moment, nodes: u32) -> bool {
        self.current_bucket(now);
        let (requests, retries) = self
            .buckets
            .iter()
            .fold((0, 0), |(requests, retries), bucket| {
                (requests + bucket.requests, retries + bucket.retries)
            });
        let node_slack = self.policy.slack / f64::from(nodes.max(1));
        let allowed = (f64::from(requests) * self.policy.ratio + node_slack) * USED_BUDGET_SHARE;
        let is_allowed = f64::from(retries + 1) <= allowed;
        if is_allowed {
            self.current_bucket(now).retries += 1;
        }
        is_allowed
    }

    fn current_bucket(&mut self, now: Moment) -> &mut Bucket {
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
