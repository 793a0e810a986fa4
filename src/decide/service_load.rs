//! How crowded a service is, learnt from what a node sends to it.

use std::time::Duration;

/// Ranks that are told apart; less urgent ones count as the last.
pub const RANK_COUNT: usize = 10;

/// A request as admission sees it.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// A number from 0 to 1 that differs between requests.
    pub random_fraction: f64,
    /// Rank of its route or team, 0 the most urgent.
    pub rank: u8,
    /// Whether its caller was turned away before.
    pub is_caller_retry: bool,
    /// Time to the answer, or to its first event, within which it has its full value.
    pub latency_target: Duration,
    /// Whether the target is for the first event of a stream, which comes soon after its start.
    pub is_stream: bool,
}

/// How crowded a service is.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad {
    /// Requests that run and wait, as a multiple of the slots, over the last second or so.
    pub load_per_slot: f64,
    /// Time for which a request holds a slot, where it is known.
    pub slot_time: Option<Duration>,
    /// Time that latency targets leave for waiting, in the mean of the requests that come.
    pub wait_budget: Duration,
    /// Shares of the ranks among the requests that come; together 1.
    pub rank_shares: [f64; RANK_COUNT],
    /// Share of returns among the requests of the route.
    pub caller_retry_share: f64,
}

impl ServiceLoad {
    /// Gives the time for which a request waits for a slot.
    pub fn expected_wait(&self) -> Duration {
        let ahead = (self.load_per_slot - 1.0).max(0.0);
        self.slot_time.unwrap_or_default().mul_f64(ahead)
    }
}

/// Weight of the newest request in the moving means: some fifty requests are looked back on.
const SMOOTHING_FACTOR: f64 = 0.04;

/// What a node learns of the requests that it sends to a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceStats {
    slot_time_s: Option<f64>,
    wait_budget_s: Option<f64>,
    rank_shares: [f64; RANK_COUNT],
}

impl ServiceStats {
    /// Notes a request that came.
    pub fn record_request(&mut self, request: &AdmissionRequest) {
        let work = self
            .slot_time_s
            .filter(|_| !request.is_stream)
            .unwrap_or(0.0);
        let time = (request.latency_target.as_secs_f64() - work).max(0.0);
        let mean = self.wait_budget_s.get_or_insert(time);
        *mean += (time - *mean) * SMOOTHING_FACTOR;
        let rank = usize::from(request.rank).min(RANK_COUNT - 1);
        for (at, share) in self.rank_shares.iter_mut().enumerate() {
            let now = f64::from(u8::from(at == rank));
            *share += (now - *share) * SMOOTHING_FACTOR;
        }
    }

    /// Notes that a request took `took` at a server that was `load_per_slot` times as full as its slots when it came there.
    pub fn record_time(&mut self, took: Duration, load_per_slot: f64) {
        // Where requests wait, the time at the server is that of a queue and not of a slot.
        let sample = took.as_secs_f64() / load_per_slot.max(1.0);
        let mean = self.slot_time_s.get_or_insert(sample);
        *mean += (sample - *mean) * SMOOTHING_FACTOR;
    }

    /// Gives how crowded the service is at a usual load of `load_per_slot` times its slots.
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
