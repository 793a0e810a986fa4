//! Keeps the fleet's budget of repeated sends.
//!
//! Load pattern: a service fails for everybody, and each node retries each request. The repeats of any window stay under
//! a share of the requests; the fixed part is divided between the nodes that live.

use crate::clock::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// The budget that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Repeats allowed for each request of the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Repeats allowed in a window besides, for the whole fleet.
    pub slack: f64,
}

/// Steps that a window is counted in.
const STEPS: u32 = 20;
/// Part of the budget that is used: nodes that die lose their counts while their repeats still count.
const USED_SHARE: f64 = 0.7;

#[derive(Clone, Copy, Debug)]
struct Step {
    began: Moment,
    requests: u32,
    repeats: u32,
}

/// One node's part of the budget for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    terms: RetryTerms,
    steps: VecDeque<Step>,
}

impl RetryBudget {
    /// Starts with an empty window.
    pub fn new(terms: RetryTerms) -> Self {
        Self {
            terms,
            steps: VecDeque::new(),
        }
    }

    /// Goes by other terms; what was counted under the old ones still counts.
    pub fn set_terms(&mut self, terms: RetryTerms) {
        self.terms = terms;
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, now: Moment) {
        self.step(now).requests += 1;
    }

    /// Takes one repeat out of the budget where there is one, `nodes` being how many share the fixed part.
    pub fn take(&mut self, now: Moment, nodes: u32) -> bool {
        self.step(now);
        let (requests, repeats) = self.steps.iter().fold((0, 0), |(requests, repeats), step| {
            (requests + step.requests, repeats + step.repeats)
        });
        let fixed = self.terms.slack / f64::from(nodes.max(1));
        let allowed = (f64::from(requests) * self.terms.ratio + fixed) * USED_SHARE;
        let is_allowed = f64::from(repeats + 1) <= allowed;
        if is_allowed {
            self.step(now).repeats += 1;
        }
        is_allowed
    }

    fn step(&mut self, now: Moment) -> &mut Step {
        let length = self.terms.window / STEPS;
        while self
            .steps
            .front()
            .is_some_and(|step| now.since(step.began) > self.terms.window + length)
        {
            self.steps.pop_front();
        }
        let is_current = self
            .steps
            .back()
            .is_some_and(|step| now.since(step.began) < length);
        if !is_current {
            self.steps.push_back(Step {
                began: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
