//! The weight store, from which engines load models; all loads share its limited bandwidth.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::truth::lock;

/// Interval at which a load recomputes its share of the bandwidth.
const RATE_INTERVAL: Duration = Duration::from_millis(20);

/// A weight store with limited bandwidth and a limited number of concurrent loads.
#[derive(Debug)]
pub struct WeightStore {
    bytes_per_second: u64,
    model_bytes: u64,
    max_loads: u32,
    usage: Mutex<Usage>,
}

/// Usage of the store since it was created.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Loads in progress.
    pub active: u32,
    /// Highest number of concurrent loads.
    pub peak_loads: u32,
    /// Highest total rate of all loads, in bytes a second.
    pub peak_rate: u64,
    /// Loads that were refused because of the limit.
    pub refused: u32,
    /// Loads that have finished.
    pub finished: u32,
}

/// The store already has its maximum number of concurrent loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverLimit;

impl fmt::Display for OverLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the weight store already has its maximum number of concurrent loads")
    }
}

impl std::error::Error for OverLimit {}

impl WeightStore {
    /// Creates a store whose models have `model_bytes` each; one load gets at most half of the bandwidth.
    pub fn new(bytes_per_second: u64, model_bytes: u64, max_loads: u32) -> Arc<WeightStore> {
        Arc::new(WeightStore {
            bytes_per_second: bytes_per_second.max(1),
            model_bytes,
            max_loads,
            usage: Mutex::new(Usage::default()),
        })
    }

    /// Loads the weights of a model or an adapter.
    ///
    /// # Errors
    ///
    /// Returns an error, without loading anything, if the store already has its maximum number of loads.
    pub async fn fetch(&self, _model: &str) -> Result<(), OverLimit> {
        let _load = self.begin_load()?;
        let mut remaining_bytes = self.model_bytes as f64;
        while remaining_bytes > 0.0 {
            let rate = self.rate_per_load();
            remaining_bytes -= rate * RATE_INTERVAL.as_secs_f64();
            tokio::time::sleep(RATE_INTERVAL).await;
        }
        lock(&self.usage).finished += 1;
        Ok(())
    }

    /// Returns the usage since the store was created.
    pub fn usage(&self) -> Usage {
        *lock(&self.usage)
    }

    /// Returns the highest total rate of all loads, in bytes a second.
    pub fn peak_rate(&self) -> u64 {
        lock(&self.usage).peak_rate
    }

    fn begin_load(&self) -> Result<ActiveLoad<'_>, OverLimit> {
        let mut usage = lock(&self.usage);
        if usage.active >= self.max_loads {
            usage.refused += 1;
            return Err(OverLimit);
        }
        usage.active += 1;
        usage.peak_loads = usage.peak_loads.max(usage.active);
        Ok(ActiveLoad(self))
    }

    /// Returns the current rate of one load in bytes a second, and records the total rate.
    fn rate_per_load(&self) -> f64 {
        let mut usage = lock(&self.usage);
        let bandwidth = self.bytes_per_second as f64;
        let rate_per_load = bandwidth / f64::from(usage.active.max(2));
        let total_rate = rate_per_load * f64::from(usage.active);
        usage.peak_rate = usage.peak_rate.max(total_rate as u64);
        rate_per_load
    }
}

/// Counts a load as active until it is dropped.
struct ActiveLoad<'a>(&'a WeightStore);

impl Drop for ActiveLoad<'_> {
    fn drop(&mut self) {
        lock(&self.0.usage).active -= 1;
    }
}
