//! Measures how long the event loop stands still: because a task computes, or because the process gets no processor.

use super::metrics::GatewayMetrics;
use crate::logs::Logs;
use slog::warn;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Interval at which the watch wakes up; a pause is measured as shorter by this time at most.
const INTERVAL: Duration = Duration::from_millis(25);
/// Pauses from which on a line is logged: callers' latency targets start at a small multiple of it.
const MIN_LOGGED_PAUSE: Duration = Duration::from_millis(50);
/// Time of which the longest pause is logged, which bounds the number of lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The task that measures the pauses of the event loop.
pub(super) struct LoopWatch(JoinHandle<()>);

impl LoopWatch {
    pub(super) fn start(metrics: &Arc<GatewayMetrics>, logs: &Logs) -> Self {
        Self(tokio::spawn(watch(Arc::clone(metrics), logs.clone())))
    }

    pub(super) fn close(self) {
        self.0.abort();
    }
}

async fn watch(metrics: Arc<GatewayMetrics>, logs: Logs) {
    let mut longest = Duration::ZERO;
    let mut logged_at = Instant::now();
    loop {
        let due = Instant::now() + INTERVAL;
        tokio::time::sleep_until(due).await;
        let now = Instant::now();
        let pause = now.saturating_duration_since(due);
        metrics.record_pause(pause);
        longest = longest.max(pause);
        if now.saturating_duration_since(logged_at) >= LOG_INTERVAL {
            if longest >= MIN_LOGGED_PAUSE {
                warn!(logs.log(), "event loop stood still"; "ms" => longest.as_millis() as u64);
            }
            (longest, logged_at) = (Duration::ZERO, now);
        }
    }
}
