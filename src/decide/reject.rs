//! When callers that are turned away may come back.
//!
//! Load pattern: many are turned away in the same instant, by a lost store or a full service. Told the same time, they
//! come back as one wave; their returns are spread over the time in which there will be room again.

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
    /// Gives the time after which a caller may return; `salt` differs between callers, `time_left` bounds it so that a
    /// third of the caller's time is not exceeded, which callers would not wait.
    pub fn after(&self, salt: u64, time_left: Duration) -> Duration {
        let part = f64::from((salt >> 32) as u32) / f64::from(u32::MAX);
        let wanted = self.soonest + self.spread.mul_f64(part);
        wanted.min(time_left / 3)
    }
}

/// Turns calls away before their service is so full that those it takes are late.
///
/// Load pattern: a plain service gets more calls than it can run. Taken until its queues are full, every call waits its
/// turn through them and is late; with short queues as many calls are run, and in time.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Usual load, in shares of the slots, up to which every call is taken.
    pub take_all_below: f64,
    /// Usual load, in shares of the slots, from which the most calls are turned away.
    pub take_least_above: f64,
    /// Share of calls that are turned away then; some are always taken, since loads are known late.
    pub turned_away_most: f64,
}

impl Admission {
    /// Tells whether a call is taken at a usual `fill` of its service; `chance` is from 0 to 1 and differs between calls.
    pub fn takes(&self, fill: f64, chance: f64) -> bool {
        let span = (self.take_least_above - self.take_all_below).max(f64::EPSILON);
        let share = ((fill - self.take_all_below) / span).clamp(0.0, 1.0) * self.turned_away_most;
        chance >= share
    }
}
