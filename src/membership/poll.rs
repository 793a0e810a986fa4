//! Follows the platform's host list, one task.

use super::View;
use crate::border::HostListSource;
use crate::operations::Readiness;
use crate::timeline::Timeline;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a node waits for before it is ready.
pub const READY_HOSTS: &str = "host list";

/// The task that follows the host list, and the list it has reached.
pub struct Poller {
    rx: watch::Receiver<Arc<View>>,
    task: JoinHandle<()>,
}

struct Polling {
    source: Arc<dyn HostListSource>,
    interval: Duration,
    readiness: Readiness,
    timeline: Arc<Timeline>,
    tx: watch::Sender<Arc<View>>,
}

impl Poller {
    /// Starts to ask `source` once every `interval`.
    pub fn start(
        source: Arc<dyn HostListSource>,
        interval: Duration,
        readiness: Readiness,
        timeline: Arc<Timeline>,
    ) -> Self {
        let (tx, rx) = watch::channel(Arc::default());
        let polling = Polling {
            source,
            interval,
            readiness,
            timeline,
            tx,
        };
        let task = tokio::spawn(polling.run());
        Self { rx, task }
    }

    /// Stops asking.
    pub fn close(self) {
        self.task.abort();
    }

    /// Gives the list as it was last read.
    pub fn listed(&self) -> watch::Receiver<Arc<View>> {
        self.rx.clone()
    }
}

impl Polling {
    async fn run(self) {
        loop {
            match self.source.hosts().await {
                Ok(list) => self.take(View::from_hosts(&list.hosts)),
                Err(err) => {
                    slog::warn!(self.timeline.log(), "host list not read"; "cause" => ?err);
                }
            }
            tokio::time::sleep(self.interval).await;
        }
    }

    fn take(&self, listed: View) {
        if !listed.nodes().is_empty() {
            self.readiness.reached(READY_HOSTS);
        }
        if **self.tx.borrow() != listed {
            self.tx.send_replace(Arc::new(listed));
        }
    }
}
