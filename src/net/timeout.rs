//! A timeout for what comes from other processes.

use std::pin::pin;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::error::Elapsed;

/// Time by which a timer is late if the process stood still: timers are late by a few ms otherwise.
const MIN_STANDSTILL: Duration = Duration::from_millis(50);
/// Time for reading what arrived while the process stood still.
const CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// Waits for `future` until `until`, like [`tokio::time::timeout_at`]. If the process stood still when that time came, timers run
/// out before connections are read, so what arrived meanwhile is read first.
///
/// # Errors
///
/// Returns an error if `future` has not completed in time.
pub async fn timeout_at<F: Future>(until: Instant, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    match tokio::time::timeout_at(until, future.as_mut()).await {
        Err(_) if until.elapsed() >= MIN_STANDSTILL => {
            tokio::time::timeout(CATCH_UP_TIME, future).await
        }
        result => result,
    }
}
