//! The time line of events over all processes.
//!
//! Each event is one JSON line with a hybrid logical clock stamp; stamps travel with every message between nodes, so
//! that `cbtimeline` can put the lines of many processes in causal order. See `docs/TIMELINE.md`.

mod clock;
mod event;
pub mod follow;
mod kind;
pub mod merge;
mod metrics;
pub mod render;
mod select;
mod settings;
#[cfg(test)]
mod tests;

pub use event::Event;
pub use kind::EventKind;
pub use select::Selection;
pub use settings::Settings;

use crate::operations::Metrics;
use clock::Clock;
use metrics::EventMetrics;
use slog::BorrowedKV;
use slog::Drain;
use slog::Logger;
use slog::Record;
use slog::o;
use std::io::LineWriter;

/// Lines that may wait for the log's writer before further ones are dropped and counted.
const LOG_QUEUE_LINES: usize = 16_384;

/// Writes the events of one process and keeps its hybrid logical clock.
pub struct Timeline {
    clock: Clock,
    log: Logger,
    event_metrics: EventMetrics,
}

impl Timeline {
    /// Starts a time line that writes JSON lines to the standard error stream.
    pub fn start(node: &str, settings: &Settings) -> Self {
        // The serialiser writes in small pieces; a whole line is one system call.
        let drain = slog_json::Json::default(LineWriter::new(std::io::stderr())).fuse();
        let drain = slog_async::Async::new(drain)
            .chan_size(LOG_QUEUE_LINES)
            .build();
        let drain = drain.filter_level(settings.level).fuse();
        let log = Logger::root(drain, o!("node" => node.to_owned()));
        Self {
            clock: Clock::new(node, settings.max_drift),
            log,
            event_metrics: EventMetrics::new(),
        }
    }

    /// Makes a time line that writes nowhere, for tests.
    pub fn silent() -> Self {
        Self {
            clock: Clock::new("silent", Settings::DEFAULT_MAX_DRIFT),
            log: Logger::root(slog::Discard, o!()),
            event_metrics: EventMetrics::new(),
        }
    }

    /// Lends the structured log that the events go to.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Puts the time line's metrics among those of the node.
    pub fn register(&self, metrics: &Metrics) {
        metrics.register(Box::new(self.clock.dropped().clone()));
        self.event_metrics.register(metrics);
    }

    /// Stamps a message that is about to be sent; the events that led to it come before the stamp.
    pub fn stamp(&self) -> String {
        self.clock.stamp()
    }

    /// Takes in the stamp of a message that was received; the events that follow come after it.
    ///
    /// A stamp that can't be read is left alone, one that is too far ahead is dropped and counted.
    pub fn observe(&self, stamp: &str) {
        if !self.clock.observe(stamp) {
            self.event(Event::new(EventKind::StampDropped).detail(stamp));
        }
    }

    /// Counts one event, and writes it where its level is written.
    pub fn event(&self, event: Event<'_>) {
        self.event_metrics.record(&event);
        let level = event.kind.level();
        if !self.log.is_enabled(level) {
            return;
        }
        let stamp = self.stamp();
        let place = slog::record_static!(level, "");
        let fields = slog::kv!("hlc" => stamp, event);
        let fields = BorrowedKV(&fields);
        self.log
            .log(&Record::new(&place, &format_args!("event"), fields));
    }
}
