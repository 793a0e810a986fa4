//! Follows the platform's host list, one task.

use super::Membership;
use super::View;
use crate::border::HostListSource;
use crate::operations::Readiness;
use crate::timeline::Event;
use crate::timeline::EventKind;
use crate::timeline::Timeline;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a node waits for before it is ready.
pub const READY_HOSTS: &str = "host list";

/// The task that follows the host list, and the view it has reached.
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
        let (tx, rx) = watch::channel(Arc::new(View::default()));
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

    /// Gives a handle by which other slices see the view.
    pub fn membership(&self) -> Arc<dyn Membership> {
        Arc::new(Watched(self.rx.clone()))
    }
}

struct Watched(watch::Receiver<Arc<View>>);

impl Membership for Watched {
    fn view(&self) -> Arc<View> {
        Arc::clone(&self.0.borrow())
    }
}

impl Polling {
    async fn run(self) {
        loop {
            match self.source.hosts().await {
                Ok(list) => self.take(&View::from_hosts(&list.hosts)),
                Err(err) => {
                    slog::warn!(self.timeline.log(), "host list not read"; "cause" => ?err);
                }
            }
            tokio::time::sleep(self.interval).await;
        }
    }

    fn take(&self, view: &View) {
        if !view.nodes().is_empty() {
            self.readiness.reached(READY_HOSTS);
        }
        if **self.tx.borrow() == *view {
            return;
        }
        self.timeline.event(Event::new(EventKind::ViewChanged));
        self.tx.send_replace(Arc::new(view.clone()));
    }
}
