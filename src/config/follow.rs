//! Follows the config stream, one task for the stream.

use super::ConfigSource;
use super::STREAM;
use super::Settings;
use super::State;
use crate::border::LogService;
use crate::border::generated::platform::LogRecord;
use crate::operations::Metrics;
use crate::operations::Readiness;
use crate::timeline::Event;
use crate::timeline::EventKind;
use crate::timeline::Timeline;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a node waits for before it is ready.
pub const READY_CONFIG: &str = "config";

/// Records that one read asks for.
const READ_LIMIT: u32 = 500;

/// The task that follows the config stream, and the state it has reached.
pub struct Follower {
    rx: watch::Receiver<Arc<State>>,
    task: JoinHandle<()>,
}

/// What the following task works with.
struct Following {
    log: Arc<dyn LogService>,
    settings: Settings,
    metrics: Arc<Metrics>,
    readiness: Readiness,
    timeline: Arc<Timeline>,
    tx: watch::Sender<Arc<State>>,
}

impl Follower {
    /// Starts to follow the stream from its first retained record.
    pub fn start(
        log: Arc<dyn LogService>,
        settings: &Settings,
        metrics: Arc<Metrics>,
        readiness: Readiness,
        timeline: Arc<Timeline>,
    ) -> Self {
        let (tx, rx) = watch::channel(Arc::new(State::default()));
        let following = Following {
            log,
            settings: settings.clone(),
            metrics,
            readiness,
            timeline,
            tx,
        };
        let task = tokio::spawn(following.run());
        Self { rx, task }
    }

    /// Stops following.
    pub fn close(self) {
        self.task.abort();
    }

    /// Gives a handle by which other slices see the configuration in force.
    pub fn source(&self) -> Arc<dyn ConfigSource> {
        Arc::new(Source(self.rx.clone()))
    }
}

struct Source(watch::Receiver<Arc<State>>);

impl ConfigSource for Source {
    fn state(&self) -> Arc<State> {
        Arc::clone(&self.0.borrow())
    }
}

impl Following {
    async fn run(self) {
        let mut next = 0;
        loop {
            let wait = self.settings.poll_wait;
            match self.log.read(STREAM, next, READ_LIMIT, wait).await {
                Ok(answer) => {
                    next = next.max(answer.first_retained);
                    for record in &answer.records {
                        self.apply(record);
                        next = record.offset + 1;
                    }
                    if next >= answer.next && self.tx.borrow().version.is_some() {
                        self.readiness.reached(READY_CONFIG);
                    }
                }
                Err(err) => {
                    slog::warn!(self.timeline.log(), "config stream not read"; "cause" => ?err);
                    tokio::time::sleep(self.settings.retry_pause).await;
                }
            }
        }
    }

    fn apply(&self, record: &LogRecord) {
        let current = Arc::clone(&self.tx.borrow());
        match current.apply(record.offset, &record.data) {
            Ok(state) => {
                self.tx.send_replace(Arc::new(state));
                self.metrics.config_version(record.offset);
                let version = record.offset.to_string();
                self.timeline
                    .event(Event::new(EventKind::ConfigApplied).detail(&version));
            }
            Err(err) => slog::error!(self.timeline.log(), "config record refused";
                "offset" => record.offset, "cause" => ?err),
        }
    }
}
