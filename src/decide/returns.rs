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
pub struct Returns {
    /// Earliest return.
    pub soonest: Duration,
    /// Width over which returns are spread.
    pub spread: Duration,
}

impl Returns {
    /// Returns of callers whom another node may serve at once.
    pub const ELSEWHERE: Self = Self {
        // Loads are known four times a second; sooner nothing can have changed.
        soonest: Duration::from_millis(150),
        // With the soonest return a second, within which the balancer and the other nodes learn of most troubles.
        spread: Duration::from_millis(850),
    };

    /// Returns of callers whom a full service turned away.
    pub const WHEN_FULL: Self = Self {
        // The usual load looks back a second, so that the next decision is a new one.
        soonest: Duration::from_millis(1_000),
        // Bursts of the sheets last three to six seconds; callers bound it by a third of their time.
        spread: Duration::from_millis(4_000),
    };

    /// Gives the time after which a caller may return; `salt` differs between callers, `time_left` bounds it so that a
    /// third of the caller's time is not exceeded, which callers would not wait.
    pub fn after(&self, salt: u64, time_left: Duration) -> Duration {
        let part = f64::from((salt >> 32) as u32) / f64::from(u32::MAX);
        let latest = (self.soonest + self.spread).min(time_left / 3);
        let soonest = self.soonest.min(latest);
        soonest + (latest - soonest).mul_f64(part)
    }
}

/// Share of the most time of its route's callers that a return has at most: newcomers of the sheets have 0.85 of it and more,
/// and a caller that a full service turned away has lost a second or a third of its time.
const RETURN_SHARE: f64 = 0.8;
/// Requests of a route over which the most time is remembered, once and once more: some seconds on a busy route.
const REMEMBERED: u32 = 64;

#[derive(Clone, Debug, Default)]
struct Row {
    route: String,
    /// Most time that a caller had among the requests that are counted now, and among those before.
    most: Duration,
    most_before: Duration,
    counted: u32,
    /// Moving mean of the share of returns.
    return_share: f64,
}

/// Weight of the newest request in the share of returns.
const SHARE_GAIN: f64 = 0.03;

/// What time callers announce on each route.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    rows: Vec<Row>,
}

impl Arrivals {
    /// Notes a caller's time on `route`, and tells whether the caller was here before.
    pub fn is_return(&mut self, route: &str, time_left: Duration) -> bool {
        let at = match self
            .rows
            .binary_search_by(|row| row.route.as_str().cmp(route))
        {
            Ok(at) => at,
            Err(at) => {
                let row = Row {
                    route: route.to_owned(),
                    ..Row::default()
                };
                self.rows.insert(at, row);
                at
            }
        };
        let row = &mut self.rows[at];
        if row.counted >= REMEMBERED {
            (row.most_before, row.most, row.counted) = (row.most, Duration::ZERO, 0);
        }
        row.counted += 1;
        row.most = row.most.max(time_left);
        let most = row.most.max(row.most_before);
        let is_return = time_left < most.mul_f64(RETURN_SHARE);
        row.return_share += (f64::from(u8::from(is_return)) - row.return_share) * SHARE_GAIN;
        is_return
    }

    /// Gives the share of returns among the last requests of `route`.
    pub fn return_share(&self, route: &str) -> f64 {
        let at = self
            .rows
            .binary_search_by(|row| row.route.as_str().cmp(route));
        at.map_or(0.0, |at| self.rows[at].return_share)
    }

    /// Forgets routes that `is_known` doesn't name.
    pub fn prune(&mut self, is_known: &dyn Fn(&str) -> bool) {
        self.rows.retain(|row| is_known(&row.route));
    }
}
