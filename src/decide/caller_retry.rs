//! Decides when a rejected caller may retry, and detects the retries of rejected callers.
//!
//! Load pattern: a lost store or a full service causes many callers to be rejected at the same instant. If all were
//! given the same delay, they would retry in one wave, so the delays are spread. A burst lasts for some seconds:
//! callers rejected by a full service that retry within the burst find the service full again, and displace other
//! requests if they are accepted.
//!
//! Nothing in a request marks it as a caller's retry, and most retries reach another node. But callers announce the
//! time that they have left, and a retry has much less of it than the new requests of its route. The times of new
//! requests vary too, so a retry that follows soon after the first attempt is not detected.

use std::time::Duration;

/// The range from which the retry-after delays of rejected callers are taken.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfter {
    /// Shortest delay.
    pub min_delay: Duration,
    /// Difference between the longest and the shortest delay.
    pub spread: Duration,
}

impl RetryAfter {
    /// Delays for callers that another node may be able to serve immediately.
    pub const OTHER_NODE: Self = Self {
        // Load information arrives four times a second; before that the decision would be the same.
        min_delay: Duration::from_millis(150),
        // The longest delay is one second, in which the load balancer and the other nodes detect most failures.
        spread: Duration::from_millis(850),
    };

    /// Delays for callers that were rejected because the service is full.
    pub const SERVICE_FULL: Self = Self {
        // The smoothed load covers about one second, so the retry is decided on new load information.
        min_delay: Duration::from_millis(1_000),
        // Bursts of the reference workload last three to six seconds. A caller's delay is also limited to a third of
        // its time left.
        spread: Duration::from_millis(4_000),
    };

    /// Returns the delays for callers for whom there is room within `time`, spread over it.
    pub fn within(time: Duration) -> Self {
        Self {
            min_delay: Self::OTHER_NODE.min_delay,
            spread: time,
        }
    }

    /// Returns the delay after which a caller may retry. `salt` differs between callers. The delay is at most a third
    /// of `time_left`, since callers would not wait longer.
    pub fn delay(&self, salt: u64, time_left: Duration) -> Duration {
        let fraction = f64::from((salt >> 32) as u32) / f64::from(u32::MAX);
        let max_delay = (self.min_delay + self.spread).min(time_left / 3);
        let min_delay = self.min_delay.min(max_delay);
        min_delay + (max_delay - min_delay).mul_f64(fraction)
    }
}

/// Share of the longest time left among the route's callers below which a request counts as a retry. New requests of
/// the reference workload have at least 0.85 of it, and a caller rejected by a full service has lost a second or a
/// third of its time.
const MAX_RETRY_TIME_SHARE: f64 = 0.8;
/// Number of requests of a route in a window. The longest time left is taken from the current and the previous
/// window, which together cover some seconds on a busy route.
const WINDOW_REQUESTS: u32 = 64;

#[derive(Clone, Debug, Default)]
struct RouteStats {
    route: String,
    /// Longest time left of a caller in the current window, and in the previous one.
    max_time: Duration,
    previous_max_time: Duration,
    request_count: u32,
    /// Moving mean of the share of retries.
    retry_share: f64,
}

/// Weight of the newest request in the share of retries.
const SMOOTHING_FACTOR: f64 = 0.03;

/// Detects retries by the time that callers have left, separately for each route.
#[derive(Clone, Debug, Default)]
pub struct CallerRetryDetector {
    routes: Vec<RouteStats>,
}

impl CallerRetryDetector {
    /// Records a request on `route` whose caller has `time_left`, and returns whether it is a retry.
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

    /// Returns the share of retries among the recent requests of `route`.
    pub fn retry_share(&self, route: &str) -> f64 {
        let index = self
            .routes
            .binary_search_by(|stats| stats.route.as_str().cmp(route));
        index.map_or(0.0, |index| self.routes[index].retry_share)
    }

    /// Removes the routes for which `is_known` returns `false`.
    pub fn prune(&mut self, is_known: &dyn Fn(&str) -> bool) {
        self.routes.retain(|stats| is_known(&stats.route));
    }
}
