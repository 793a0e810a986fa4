//! The time line of events over all processes.
//!
//! Each event is one JSON line with a hybrid logical clock stamp; stamps travel with every message between nodes, so
//! that `cbtimeline` can put the lines of many processes in causal order. See `docs/TIMELINE.md`.

mod event;
pub mod merge;
mod settings;
#[cfg(test)]
mod tests;

pub use event::Event;
pub use event::EventKind;
pub use settings::Settings;

use slog::Drain;
use slog::Logger;
use slog::o;
use std::str::FromStr;
use uhlc::HLC;
use uhlc::HLCBuilder;
use uhlc::Timestamp;

/// Lines that may wait for the log's writer before further ones are dropped and counted.
const LOG_QUEUE_LINES: usize = 16_384;

/// Writes the events of one process and keeps its hybrid logical clock.
pub struct Timeline {
    clock: HLC,
    log: Logger,
}

impl Timeline {
    /// Starts a time line that writes JSON lines to the standard error stream.
    pub fn start(node: &str, settings: &Settings) -> Self {
        let drain = slog_json::Json::default(std::io::stderr()).fuse();
        let drain = slog_async::Async::new(drain)
            .chan_size(LOG_QUEUE_LINES)
            .build();
        let drain = drain.filter_level(settings.level).fuse();
        let log = Logger::root(drain, o!("node" => node.to_owned()));
        Self::with_log(log)
    }

    /// Makes a time line that writes nowhere, for tests.
    pub fn silent() -> Self {
        Self::with_log(Logger::root(slog::Discard, o!()))
    }

    fn with_log(log: Logger) -> Self {
        Self {
            clock: HLCBuilder::new().build(),
            log,
        }
    }

    /// Lends the structured log that the events go to.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Stamps a message that is about to be sent.
    pub fn stamp(&self) -> String {
        self.clock.new_timestamp().to_string()
    }

    /// Takes in the stamp of a message that was received; a stamp that can't be read is left alone.
    pub fn observe(&self, stamp: &str) {
        let Ok(stamp) = Timestamp::from_str(stamp) else {
            return;
        };
        if self.clock.update_with_timestamp(&stamp).is_err() {
            slog::warn!(self.log, "clock stamp too far ahead");
        }
    }

    /// Writes one event.
    pub fn event(&self, event: Event<'_>) {
        let stamp = self.stamp();
        slog::info!(self.log, "event"; "hlc" => stamp, event);
    }
}
