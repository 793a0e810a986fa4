//! Asks the platform for the host list, one task.

use super::HostBoard;
use crate::border::HostListSource;
use crate::operations::Readiness;
use crate::timeline::Timeline;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// What a node waits for before it is ready.
pub const READY_HOSTS: &str = "host list";
/// Nodes that ask at the full pace; in a larger fleet each one asks less often, and changes come by gossip.
const FULL_PACE_NODES: usize = 8;

/// The task that asks for the host list, and the board that it shows it on.
pub struct Poller {
    board: Arc<HostBoard>,
    task: JoinHandle<()>,
}

struct Polling {
    source: Arc<dyn HostListSource>,
    interval: Duration,
    readiness: Readiness,
    timeline: Arc<Timeline>,
    board: Arc<HostBoard>,
}

impl Poller {
    /// Starts to ask `source` once every `interval`, or less often in a large fleet.
    pub fn start(
        source: Arc<dyn HostListSource>,
        interval: Duration,
        readiness: Readiness,
        timeline: Arc<Timeline>,
    ) -> Self {
        let board = HostBoard::new();
        let polling = Polling {
            source,
            interval,
            readiness,
            timeline,
            board: Arc::clone(&board),
        };
        let task = tokio::spawn(polling.run());
        Self { board, task }
    }

    /// Stops asking.
    pub fn close(self) {
        self.task.abort();
    }

    /// Gives the board that shows the list.
    pub fn board(&self) -> Arc<HostBoard> {
        Arc::clone(&self.board)
    }
}

impl Polling {
    async fn run(self) {
        loop {
            match self.source.hosts(self.board.version()).await {
                Ok(Some(list)) => self.board.take(list),
                Ok(None) => {}
                Err(err) => {
                    slog::warn!(self.timeline.log(), "host list not read"; "cause" => ?err);
                }
            }
            let nodes = self.board.listed().borrow().nodes().len();
            if nodes > 0 {
                self.readiness.set_met(READY_HOSTS);
            }
            tokio::time::sleep(pause(self.interval, nodes)).await;
        }
    }
}

/// Gives the time until a node of a fleet of that size asks again.
fn pause(interval: Duration, nodes: usize) -> Duration {
    if nodes <= FULL_PACE_NODES {
        return interval;
    }
    let share = nodes as f64 / FULL_PACE_NODES as f64;
    // Nodes that ask in step would all read the same change.
    interval.mul_f64(share * rand::rng().random_range(0.5..1.5))
}
