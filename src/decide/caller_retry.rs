//! When callers that are turned away may come back, and how they are recognised.
//!
//! Load pattern: many are turned away in the same instant, by a lost store or a full service. Told the same time, they
//! come back as one wave; their returns are spread. A burst lasts some seconds: callers that a full service turned away
//! and that come back within it find it full again, and take the places of others if they are let in.
//!
//! Nothing on the wire marks a return, and it mostly reaches another node; but callers announce how much of their time is
//! left, and a return has a good deal less than the newcomers of its route. Times of newcomers differ as well, so that returns
//! soon after the first attempt aren't recognised.

use std::time::Duration;

/// Spreads the returns of callers over time.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfter {
    /// Earliest return.
    pub min_delay: Duration,
    /// Width over which returns are spread.
    pub spread: Duration,
}

impl RetryAfter {
    /// Returns of callers whom another node may serve at once.
    pub const OTHER_NODE: Self = Self {
        // Loads are known four times a second; sooner nothing can have changed.
        min_delay: Duration::from_millis(150),
        // With the soonest return a second, within which the balancer and the other nodes learn of most troubles.
        spread: Duration::from_millis(850),
    };

    /// Returns of callers whom a full service turned away.
    pub const SERVICE_FULL: Self = Self {
        // The usual load looks back a second, so that the next decision is a new one.
        min_delay: Duration::from_millis(1_000),
        // Bursts of the sheets last three to six seconds; callers bound it by a third of their time.
        spread: Duration::from_millis(4_000),
    };

    /// Gives the time after which a caller may return; `salt` differs between callers, `time_left` bounds it so that a
    /// third of the caller's time is not exceeded, which callers would not wait.
    pub fn delay(&self, salt: u64, time_left: Duration) -> Duration {
        let fraction = f64::from((salt >> 32) as u32) / f64::from(u32::MAX);
        let max_delay = (self.min_delay + self.spread).min(time_left / 3);
        let min_delay = self.min_delay.min(max_delay);
        min_delay + (max_delay - min_delay).mul_f64(fraction)
    }
}

/// Share of the most time of its route's callers that a return has at most: newcomers of the sheets have 0.85 of it and more,
/// and a caller that a full service turned away has lost a second or a third of its time.
const MAX_RETRY_TIME_SHARE: f64 = 0.8;
/// Requests of a route over which the most time is remembered, once and once more: some seconds on a busy route.
const WINDOW_REQUESTS: u32 = 64;

#[derive(Clone, Debug, Default)]
struct RouteStats {
    route: String,
    /// Most time that a caller had among the requests that are counted now, and among those before.
    max_time: Duration,
    previous_max_time: Duration,
    request_count: u32,
    /// Moving mean of the share of returns.
    retry_share: f64,
}

/// Weight of the newest request in the share of returns.
const SMOOTHING_FACTOR: f64 = 0.03;

/// What time callers announce on each route.
#[derive(Clone, Debug, Default)]
pub struct CallerRetryDetector {
    routes: Vec<RouteStats>,
}

impl CallerRetryDetector {
    /// Notes a caller's time on `route`, and tells whether the caller was here before.
    pub fn detect_retry(&mut self, route: &str, time_left: Duration) -> bool {
        let index = match self
            .routes
            .binary_search_by(|stats| stats.route.as_str().cmp(route))
        {
            Ok(index) => index,
            Err(index) => {
                let stats = RouteStats {
                    route: route.to_owned(),
                    ..RouteStats::default()
                };
                self.routes.insert(index, stats);
                index
            }
        };
        let stats = &mut self.routes[index];
        if stats.request_count >= WINDOW_REQUESTS {
            (stats.previous_max_time, stats.max_time, stats.request_count) =
                (stats.max_time, Duration::ZERO, 0);
        }
        stats.request_count += 1;
        stats.max_time = stats.max_time.max(time_left);
        let max_time = stats.max_time.max(stats.previous_max_time);
        let is_retry = time_left < max_time.mul_f64(MAX_RETRY_TIME_SHARE);
        stats.retry_share += (f64::from(u8::from(is_retry)) - stats.retry_share) * SMOOTHING_FACTOR;
        is_retry
    }

    /// Gives the share of returns among the last requests of `route`.
    pub fn retry_share(&self, route: &str) -> f64 {
        let index = self
            .routes
            .binary_search_by(|stats| stats.route.as_str().cmp(route));
        index.map_or(0.0, |index| self.routes[index].retry_share)
    }

    /// Forgets routes that `is_known` doesn't name.
    pub fn prune(&mut self, is_known: &dyn Fn(&str) -> bool) {
        self.routes.retain(|stats| is_known(&stats.route));
    }
}
