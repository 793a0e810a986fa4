//! Rates of faults that may be set while a stand-in serves.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::answer::splitmix64;

/// A fault that hits so many of a thousand requests, the same ones in each run.
#[derive(Debug, Default)]
pub struct FaultRate {
    permille: AtomicU32,
    draws: AtomicU64,
}

impl FaultRate {
    /// Sets how many of a thousand are hit.
    pub fn set(&self, permille: u32) {
        self.permille.store(permille, Relaxed);
    }

    /// Whether the next request is hit.
    pub fn next_is_hit(&self) -> bool {
        let permille = self.permille.load(Relaxed);
        permille > 0 && splitmix64(self.draws.fetch_add(1, Relaxed)) % 1000 < u64::from(permille)
    }
}

/// A time that is added to each answer.
#[derive(Debug, Default)]
pub struct ExtraDelay(AtomicU64);

impl ExtraDelay {
    /// Sets the time.
    pub fn set(&self, by: Duration) {
        self.0.store(by.as_micros() as u64, Relaxed);
    }

    /// The time that is set.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.0.load(Relaxed))
    }

    /// Waits for the time that is set.
    pub async fn wait(&self) {
        let by = self.get();
        if !by.is_zero() {
            tokio::time::sleep(by).await;
        }
    }
}
