//! Fault settings that can be changed while a stand-in serves.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::answer::splitmix64;

/// A fault that affects a number of requests in a thousand, by a sequence that is the same in each run.
#[derive(Debug, Default)]
pub struct FaultRate {
    permille: AtomicU32,
    draws: AtomicU64,
}

impl FaultRate {
    /// Sets how many requests in a thousand are affected.
    pub fn set(&self, permille: u32) {
        self.permille.store(permille, Relaxed);
    }

    /// Returns whether the next request is affected, and advances the sequence.
    pub fn next_is_hit(&self) -> bool {
        let permille = self.permille.load(Relaxed);
        permille > 0 && splitmix64(self.draws.fetch_add(1, Relaxed)) % 1000 < u64::from(permille)
    }
}

/// A delay that is added to each response.
#[derive(Debug, Default)]
pub struct ExtraDelay(AtomicU64);

impl ExtraDelay {
    /// Sets the delay.
    pub fn set(&self, delay: Duration) {
        self.0.store(delay.as_micros() as u64, Relaxed);
    }

    /// Returns the delay.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.0.load(Relaxed))
    }

    /// Waits for the delay.
    pub async fn wait(&self) {
        let delay = self.get();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}
