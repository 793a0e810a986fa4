//! The weight store, from which engines load models; its loads share one limited rate.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::truth::lock;

/// Step in which a load takes its share of the rate.
const STEP: Duration = Duration::from_millis(20);

/// A weight store with a limited rate and number of loads at a time.
#[derive(Debug)]
pub struct WeightStore {
    bytes_per_second: u64,
    model_bytes: u64,
    max_loads: u32,
    state: Mutex<Usage>,
}

/// What the store saw so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Loads under way.
    pub active: u32,
    /// Most loads that were under way at a time.
    pub peak_loads: u32,
    /// Highest rate at which bytes were given out, in bytes a second.
    pub peak_rate: u64,
    /// Loads that were refused for the limit.
    pub refused: u32,
    /// Loads that were finished.
    pub finished: u32,
}

/// The store had as many loads as it allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverLimit;

impl fmt::Display for OverLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the weight store has as many loads as it allows")
    }
}

impl std::error::Error for OverLimit {}

impl WeightStore {
    /// A store whose models have `model_bytes` each; one load gets at most half of the store's rate.
    pub fn new(bytes_per_second: u64, model_bytes: u64, max_loads: u32) -> Arc<WeightStore> {
        Arc::new(WeightStore {
            bytes_per_second: bytes_per_second.max(1),
            model_bytes,
            max_loads,
            state: Mutex::new(Usage::default()),
        })
    }

    /// Loads a model's or adapter's weights.
    ///
    /// # Errors
    ///
    /// Where the store has as many loads as it allows; nothing is loaded then.
    pub async fn fetch(&self, _model: &str) -> Result<(), OverLimit> {
        let _load = self.begin()?;
        let mut left = self.model_bytes as f64;
        while left > 0.0 {
            let rate = self.share();
            left -= rate * STEP.as_secs_f64();
            tokio::time::sleep(STEP).await;
        }
        lock(&self.state).finished += 1;
        Ok(())
    }

    /// What the store saw so far.
    pub fn usage(&self) -> Usage {
        *lock(&self.state)
    }

    /// Highest rate at which bytes were given out, in bytes a second.
    pub fn peak_rate(&self) -> u64 {
        lock(&self.state).peak_rate
    }

    fn begin(&self) -> Result<Load<'_>, OverLimit> {
        let mut usage = lock(&self.state);
        if usage.active >= self.max_loads {
            usage.refused += 1;
            return Err(OverLimit);
        }
        usage.active += 1;
        usage.peak_loads = usage.peak_loads.max(usage.active);
        Ok(Load(self))
    }

    /// Rate of one load now.
    fn share(&self) -> f64 {
        let mut usage = lock(&self.state);
        let total = self.bytes_per_second as f64;
        let share = total / f64::from(usage.active.max(2));
        let given = share * f64::from(usage.active);
        usage.peak_rate = usage.peak_rate.max(given as u64);
        share
    }
}

/// Counts a load for as long as it runs.
struct Load<'a>(&'a WeightStore);

impl Drop for Load<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).active -= 1;
    }
}
