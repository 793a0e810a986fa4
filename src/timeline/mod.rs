//! Timeline of the events of all processes.
//!
//! Each event is one JSON line with a hybrid logical clock stamp. Every message between nodes carries a stamp too, so
//! `cbtimeline` can sort the lines of many processes in causal order. See `docs/TIMELINE.md`.

mod clock;
mod event;
pub mod follow;
mod kind;
pub mod log_line;
pub mod merge;
mod metrics;
pub mod render;
mod select;
mod settings;
pub mod streams;
#[cfg(test)]
mod tests;
pub mod unanswered;

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

/// Maximum number of lines that wait for the log writer; further lines are dropped and counted.
const MAX_QUEUED_LOG_LINES: usize = 16_384;

/// Records the events of one process and holds its hybrid logical clock.
pub struct Timeline {
    clock: Clock,
    log: Logger,
    event_metrics: EventMetrics,
}

impl Timeline {
    /// Creates a timeline that writes JSON lines to the standard error stream.
    pub fn start(node: &str, settings: &Settings) -> Self {
        // The serializer writes in small pieces; `LineWriter` writes each line with one system call.
        let drain = slog_json::Json::default(LineWriter::new(std::io::stderr())).ignore_res();
        let drain = slog_async::Async::new(drain)
            .chan_size(MAX_QUEUED_LOG_LINES)
            .build();
        let drain = drain.filter_level(settings.level).ignore_res();
        let log = Logger::root(drain, o!("node" => node.to_owned()));
        Self {
            clock: Clock::new(node, settings.max_drift),
            log,
            event_metrics: EventMetrics::new(),
        }
    }

    /// Creates a timeline that counts events and writes none, for tests.
    pub fn silent() -> Self {
        Self {
            clock: Clock::new("silent", Settings::DEFAULT_MAX_DRIFT),
            log: Logger::root(slog::Discard, o!()),
            event_metrics: EventMetrics::new(),
        }
    }

    /// Returns a reference to the logger that events are written to.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Registers the timeline's metrics with those of the node.
    pub fn register(&self, metrics: &Metrics) {
        metrics.register(Box::new(self.clock.dropped_stamps().clone()));
        self.event_metrics.register(metrics);
    }

    /// Returns a stamp for a message that is about to be sent. Events recorded before it have smaller stamps.
    pub fn stamp(&self) -> String {
        self.clock.stamp()
    }

    /// Observes the stamp of a received message. Events recorded after it have greater stamps.
    ///
    /// A stamp that can't be parsed is ignored; one that is too far ahead of this host's clock is dropped and counted.
    pub fn observe(&self, stamp: &str) {
        if !self.clock.observe(stamp) {
            self.event(Event::new(EventKind::StampDropped).detail(stamp));
        }
    }

    /// Counts an event, and writes it if its level is enabled.
    pub fn event(&self, event: Event<'_>) {
        self.event_metrics.record(&event);
        let level = event.kind.level();
        if !self.log.is_enabled(level) {
            return;
        }
        let stamp = self.stamp();
        let location = slog::record_static!(level, "");
        let fields = slog::kv!("hlc" => stamp, event);
        let fields = BorrowedKV(&fields);
        self.log
            .log(&Record::new(&location, &format_args!("event"), fields));
    }
}
