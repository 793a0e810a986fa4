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
