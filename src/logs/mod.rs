//! Structured logs on the standard output stream, which never block and have a ceiling.

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

/// Lines that may wait for the writer before further ones are left out; at some 300 bytes a line this is 1.2 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// Lines a second above which good outcomes are left out.
pub const MAX_LINES_PER_S_FOR_SUCCESS: u32 = 200;
/// Lines a second above which failures are left out as well.
pub const MAX_LINES_PER_S_FOR_FAILURE: u32 = 400;

/// How much a line matters when there are too many.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// A request that went well.
    Success,
    /// A request that did not.
    Failure,
}

#[derive(Debug)]
struct RateWindow {
    started: Instant,
    lines: u32,
    dropped: u64,
}

/// Where a process writes its log lines.
#[derive(Clone)]
pub struct Logs {
    log: Logger,
    window: Arc<Mutex<RateWindow>>,
    /// Ends the writer's thread once what waits is written.
    guard: Arc<Mutex<Option<AsyncGuard>>>,
}

impl Logs {
    /// Starts logs that write JSON lines to `writer` from a thread of their own.
    ///
    /// A writer that blocks holds up that thread alone; lines beyond the queue are dropped and counted.
    pub fn start(node: &str, writer: Box<dyn Write + Send>) -> Self {
        let drain = slog_json::Json::default(LineWriter::new(writer)).fuse();
        let (drain, guard) = slog_async::Async::new(drain)
            .chan_size(MAX_QUEUED_LINES)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build_with_guard();
        let log = Logger::root(drain.fuse(), o!("node" => node.to_owned()));
        Self::with_logger(log, Some(guard))
    }

    /// Makes logs that write nowhere, for tests.
    pub fn silent() -> Self {
        Self::with_logger(Logger::root(slog::Discard, o!()), None)
    }

    /// Writes the lines that wait, for `limit` at most: a writer that is blocked must not keep a process from ending.
    pub fn close(self, limit: Duration) {
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(guard) = guard.take() else {
            return;
        };
        let (tx, rx) = mpsc::channel();
        // Dropping the guard waits for the writer, however long it takes.
        std::thread::spawn(move || {
            drop(guard);
            // Nobody listens any more where the limit is over.
            let _ = tx.send(());
        });
        // Lines that are not written by then are lost, and nothing is left to say so to.
        let _ = rx.recv_timeout(limit);
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

    /// Lends the logger for lines that change what the process believes.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Lends the logger for a line on a request, or nothing where this second's ceiling is reached.
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
