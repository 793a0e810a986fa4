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
const QUEUE_LINES: usize = 4_096;

/// Lines a second above which good outcomes are left out.
pub const CEILING_LINES_PER_S: u32 = 200;
/// Lines a second above which failures are left out as well.
pub const CEILING_FAILURES_PER_S: u32 = 400;

/// How much a line matters when there are too many.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Weight {
    /// A request that went well.
    Success,
    /// A request that did not.
    Failure,
}

#[derive(Debug)]
struct Window {
    started: Instant,
    lines: u32,
    left_out: u64,
}

/// Where a process writes its log lines.
#[derive(Clone)]
pub struct Logs {
    log: Logger,
    window: Arc<Mutex<Window>>,
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
            .chan_size(QUEUE_LINES)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build_with_guard();
        let log = Logger::root(drain.fuse(), o!("node" => node.to_owned()));
        Self::over(log, Some(guard))
    }

    /// Makes logs that write nowhere, for tests.
    pub fn silent() -> Self {
        Self::over(Logger::root(slog::Discard, o!()), None)
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

    fn over(log: Logger, guard: Option<AsyncGuard>) -> Self {
        let window = Window {
            started: Instant::now(),
            lines: 0,
            left_out: 0,
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
    pub fn for_request(&self, weight: Weight) -> Option<&Logger> {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.started.elapsed() >= Duration::from_secs(1) {
            if window.left_out > 0 {
                slog::warn!(self.log, "request lines left out"; "count" => window.left_out);
            }
            *window = Window {
                started: Instant::now(),
                lines: 0,
                left_out: 0,
            };
        }
        let ceiling = match weight {
            Weight::Success => CEILING_LINES_PER_S,
            Weight::Failure => CEILING_FAILURES_PER_S,
        };
        if window.lines >= ceiling {
            window.left_out += 1;
            return None;
        }
        window.lines += 1;
        Some(&self.log)
    }
}
