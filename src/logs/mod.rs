//! Structured logs on standard output. Logging never blocks, and lines on requests are limited per second.

#[cfg(test)]
mod tests;

use slog::Drain;
use slog::Logger;
use slog::o;
use slog_async::AsyncGuard;
use slog_async::OverflowStrategy;
use std::io::LineWriter;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

/// Lines that may wait for the writer before further ones are dropped; at about 300 bytes per line this is 1.2 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// Request lines per second above which lines on successful requests are dropped.
pub const MAX_LINES_PER_S_FOR_SUCCESS: u32 = 200;
/// Request lines per second above which lines on failed requests are dropped as well.
pub const MAX_LINES_PER_S_FOR_FAILURE: u32 = 400;

/// Outcome of a request; lines on failures are kept up to a higher rate than lines on successes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The request was answered.
    Success,
    /// The request was not answered.
    Failure,
}

#[derive(Debug)]
struct RateWindow {
    started: Instant,
    lines: u32,
    dropped: u64,
}

/// The log output of a process.
#[derive(Clone)]
pub struct Logs {
    log: Logger,
    window: Arc<Mutex<RateWindow>>,
    /// Dropping it waits until the queued lines are written, then ends the writer's thread.
    guard: Arc<Mutex<Option<AsyncGuard>>>,
}

impl Logs {
    /// Starts logs that write JSON lines to `writer` from a separate thread.
    ///
    /// A writer that blocks delays only that thread; lines that don't fit into the queue are dropped and counted. Lines that can't
    /// be written are lost: nothing could be told of it but by the log.
    pub fn start(node: &str, writer: Box<dyn Write + Send>) -> Self {
        let drain = slog_json::Json::default(LineWriter::new(writer)).ignore_res();
        let (drain, guard) = slog_async::Async::new(drain)
            .chan_size(MAX_QUEUED_LINES)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build_with_guard();
        let log = Logger::root(drain.ignore_res(), o!("node" => node.to_owned()));
        Self::with_logger(log, Some(guard))
    }

    /// Creates logs that discard all lines, for tests.
    pub fn silent() -> Self {
        Self::with_logger(Logger::root(slog::Discard, o!()), None)
    }

    /// Writes the queued lines, waiting for `timeout` at most: a blocked writer must not keep the process from ending.
    pub fn close(self, timeout: Duration) {
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(guard) = guard.take() else {
            return;
        };
        let (tx, rx) = mpsc::channel();
        // Dropping the guard waits for the writer, however long it takes.
        std::thread::spawn(move || {
            drop(guard);
            // The receiver no longer exists if the timeout has passed.
            let _ = tx.send(());
        });
        // Lines that are not written by then are lost; this can't be reported, as the log itself is blocked.
        let _ = rx.recv_timeout(timeout);
    }

    fn with_logger(log: Logger, guard: Option<AsyncGuard>) -> Self {
        let window = RateWindow {
            started: Instant::now(),
            lines: 0,
            dropped: 0,
        };
        Self {
            log,
            window: Arc::new(Mutex::new(window)),
            guard: Arc::new(Mutex::new(guard)),
        }
    }

    /// Returns the logger for lines on changes of the process's state, which are not limited.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Returns the logger for a line on a request, or `None` if the limit of this second is reached.
    pub fn request_logger(&self, outcome: RequestOutcome) -> Option<&Logger> {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.started.elapsed() >= Duration::from_secs(1) {
            if window.dropped > 0 {
                slog::warn!(self.log, "request lines left out"; "count" => window.dropped);
            }
            *window = RateWindow {
                started: Instant::now(),
                lines: 0,
                dropped: 0,
            };
        }
        let max_lines = match outcome {
            RequestOutcome::Success => MAX_LINES_PER_S_FOR_SUCCESS,
            RequestOutcome::Failure => MAX_LINES_PER_S_FOR_FAILURE,
        };
        if window.lines >= max_lines {
            window.dropped += 1;
            return None;
        }
        window.lines += 1;
        Some(&self.log)
    }
}
