//! The task that polls the platform for the host list.

use super::HostDirectory;
use crate::border::HostListSource;
use crate::operations::Readiness;
use crate::timeline::Timeline;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Readiness condition that is met when the host list contains a node.
pub const READY_HOSTS: &str = "host list";
/// Largest fleet in which each node polls at the configured interval. In a larger one each node polls less often, so
/// that the total rate stays the same, and nodes also get changes by gossip.
const FULL_RATE_NODES: usize = 8;

/// Handle of the polling task, with the directory that it updates.
pub struct Poller {
    hosts: Arc<HostDirectory>,
    task: JoinHandle<()>,
}

struct PollTask {
    source: Arc<dyn HostListSource>,
    interval: Duration,
    readiness: Readiness,
    timeline: Arc<Timeline>,
    hosts: Arc<HostDirectory>,
}

impl Poller {
    /// Starts to poll `source` once every `interval`, or less often in a large fleet.
    pub fn start(
        source: Arc<dyn HostListSource>,
        interval: Duration,
        readiness: Readiness,
        timeline: Arc<Timeline>,
    ) -> Self {
        let hosts = HostDirectory::new();
        let poll_task = PollTask {
            source,
            interval,
            readiness,
            timeline,
            hosts: Arc::clone(&hosts),
        };
        let task = tokio::spawn(poll_task.run());
        Self { hosts, task }
    }

    /// Stops polling.
    pub fn close(self) {
        self.task.abort();
    }

    /// Returns the directory with the host list.
    pub fn hosts(&self) -> Arc<HostDirectory> {
        Arc::clone(&self.hosts)
    }
}

impl PollTask {
    async fn run(self) {
        loop {
            match self.source.hosts(self.hosts.version()).await {
                Ok(Some(list)) => self.hosts.replace(list),
                Ok(None) => {}
                Err(err) => {
                    slog::warn!(self.timeline.log(), "failed to read the host list"; "cause" => ?err);
                }
            }
            let nodes = self.hosts.subscribe().borrow().nodes().len();
            if nodes > 0 {
                self.readiness.set_met(READY_HOSTS);
            }
            tokio::time::sleep(poll_delay(self.interval, nodes)).await;
        }
    }
}

/// Returns the time until the next poll in a fleet of `nodes` nodes.
fn poll_delay(interval: Duration, nodes: usize) -> Duration {
    if nodes <= FULL_RATE_NODES {
        return interval;
    }
    let share = nodes as f64 / FULL_RATE_NODES as f64;
    // Without jitter all nodes would poll at the same time, and each would read the whole list for the same change.
    interval.mul_f64(share * rand::rng().random_range(0.5..1.5))
}
