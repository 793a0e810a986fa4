//! How crowded a service is, learnt from what a node sends to it.

use std::time::Duration;

/// Ranks that are told apart; less urgent ones count as the last.
pub const RANKS: usize = 10;

/// A request as admission sees it.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// A number from 0 to 1 that differs between requests.
    pub chance: f64,
    /// Rank of its route or team, 0 the most urgent.
    pub rank: u8,
    /// Whether its caller was turned away before.
    pub is_return: bool,
    /// Time to the answer, or to its first event, within which it has its full value.
    pub latency_target: Duration,
    /// Whether the target is for the first event of a stream, which comes soon after its start.
    pub is_stream: bool,
}

/// How crowded a service is.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// Requests that run and wait, as a multiple of the slots, over the last second or so.
    pub fill: f64,
    /// Time for which a request holds a slot, where it is known.
    pub slot_time: Option<Duration>,
    /// Time that latency targets leave for waiting, in the mean of the requests that come.
    pub time_to_wait: Duration,
    /// Shares of the ranks among the requests that come; together 1.
    pub ranks: [f64; RANKS],
    /// Share of returns among the requests of the route.
    pub return_share: f64,
}

impl Crowd {
    /// Gives the time for which a request waits for a slot.
    pub fn expected_wait(&self) -> Duration {
        let ahead = (self.fill - 1.0).max(0.0);
        self.slot_time.unwrap_or_default().mul_f64(ahead)
    }
}

/// Weight of the newest request in the moving means: some fifty requests are looked back on.
const GAIN: f64 = 0.04;

/// What a node learns of the requests that it sends to a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLog {
    slot_time_s: Option<f64>,
    time_to_wait_s: Option<f64>,
    ranks: [f64; RANKS],
}

impl ServiceLog {
    /// Notes a request that came.
    pub fn note_call(&mut self, call: &Call) {
        let work = self.slot_time_s.filter(|_| !call.is_stream).unwrap_or(0.0);
        let time = (call.latency_target.as_secs_f64() - work).max(0.0);
        let mean = self.time_to_wait_s.get_or_insert(time);
        *mean += (time - *mean) * GAIN;
        let rank = usize::from(call.rank).min(RANKS - 1);
        for (at, share) in self.ranks.iter_mut().enumerate() {
            let now = f64::from(u8::from(at == rank));
            *share += (now - *share) * GAIN;
        }
    }

    /// Notes that a request took `took` at a server that was `fill` times as full as its slots when it came there.
    pub fn note_time(&mut self, took: Duration, fill: f64) {
        // Where requests wait, the time at the server is that of a queue and not of a slot.
        let sample = took.as_secs_f64() / fill.max(1.0);
        let mean = self.slot_time_s.get_or_insert(sample);
        *mean += (sample - *mean) * GAIN;
    }

    /// Gives how crowded the service is at a usual load of `fill` times its slots.
    pub fn crowd(&self, fill: f64, return_share: f64) -> Crowd {
        let total: f64 = self.ranks.iter().sum();
        Crowd {
            fill,
            slot_time: self.slot_time_s.map(Duration::from_secs_f64),
            time_to_wait: Duration::from_secs_f64(self.time_to_wait_s.unwrap_or(0.0)),
            ranks: self.ranks.map(|share| share / total.max(f64::EPSILON)),
            return_share,
        }
    }
}
