//! Load of a service, estimated by a node from the requests that it sends there.

use super::team_share::HeavyTeam;
use std::time::Duration;

/// Number of distinct ranks; less urgent ones are counted as the last rank.
pub const RANK_COUNT: usize = 10;

/// The properties of a request that admission control uses.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Pseudo-random number from 0 to 1, derived from the request; decides which requests of a rank are rejected.
    pub random_fraction: f64,
    /// Rank of the request's route or team; 0 is the most urgent.
    pub rank: u8,
    /// Whether the request looks like a retry by a caller that was rejected before.
    pub is_caller_retry: bool,
    /// Time to the response, or to the first event of a stream, within which the response has its full value.
    pub latency_target: Duration,
    /// Whether the target applies to the first event of a stream, which follows soon after the request gets a slot.
    pub is_stream: bool,
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Teams with more than a fair share of the service; none where shares are not asked for.
    pub heavy_teams: &'a [HeavyTeam],
}

/// Estimated load of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad {
    /// Running and waiting requests as a multiple of the slots, averaged over about the last second.
    pub load_per_slot: f64,
    /// Mean time for which a request holds a slot; `None` before the first measurement.
    pub slot_time: Option<Duration>,
    /// Time that the latency target leaves for waiting, averaged over the arriving requests.
    pub wait_budget: Duration,
    /// Share of each rank among the arriving requests; the shares add up to 1.
    pub rank_shares: [f64; RANK_COUNT],
    /// Share of caller retries among the requests of the route.
    pub caller_retry_share: f64,
}

impl ServiceLoad {
    /// Returns the expected time for which a new request waits for a slot; zero while `slot_time` is unknown.
    pub fn expected_wait(&self) -> Duration {
        let ahead = (self.load_per_slot - 1.0).max(0.0);
        self.slot_time.unwrap_or_default().mul_f64(ahead)
    }
}

/// Weight of the newest request in the moving means, which thus reflect about the last fifty requests.
const SMOOTHING_FACTOR: f64 = 0.04;

/// Moving means of the requests that a node sends to one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceStats {
    slot_time_s: Option<f64>,
    wait_budget_s: Option<f64>,
    rank_shares: [f64; RANK_COUNT],
}

impl ServiceStats {
    /// Records an arriving request.
    pub fn record_request(&mut self, request: &AdmissionRequest<'_>) {
        let slot_time = self
            .slot_time_s
            .filter(|_| !request.is_stream)
            .unwrap_or(0.0);
        let wait_budget = (request.latency_target.as_secs_f64() - slot_time).max(0.0);
        let mean = self.wait_budget_s.get_or_insert(wait_budget);
        *mean += (wait_budget - *mean) * SMOOTHING_FACTOR;
        let rank = usize::from(request.rank).min(RANK_COUNT - 1);
        for (index, share) in self.rank_shares.iter_mut().enumerate() {
            let sample = f64::from(u8::from(index == rank));
            *share += (sample - *share) * SMOOTHING_FACTOR;
        }
    }

    /// Records that a request took `took` at a server whose load was `load_per_slot` requests per slot when the
    /// request was sent.
    pub fn record_response_time(&mut self, took: Duration, load_per_slot: f64) {
        // When requests wait at the server, `took` includes the time in its queue; the division estimates the time in
        // a slot.
        let sample = took.as_secs_f64() / load_per_slot.max(1.0);
        let mean = self.slot_time_s.get_or_insert(sample);
        *mean += (sample - *mean) * SMOOTHING_FACTOR;
    }

    /// Returns the load of the service, given its averaged load per slot and the route's share of caller retries.
    pub fn service_load(&self, load_per_slot: f64, caller_retry_share: f64) -> ServiceLoad {
        let total: f64 = self.rank_shares.iter().sum();
        ServiceLoad {
            load_per_slot,
            slot_time: self.slot_time_s.map(Duration::from_secs_f64),
            wait_budget: Duration::from_secs_f64(self.wait_budget_s.unwrap_or(0.0)),
            rank_shares: self
                .rank_shares
                .map(|share| share / total.max(f64::EPSILON)),
            caller_retry_share,
        }
    }
}
