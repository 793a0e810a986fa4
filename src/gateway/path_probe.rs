//! Finds out about paths to servers beside requests: paths on which nothing comes any more, and blocked ones that are free
//! again.

use super::handler::Gateway;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::PathState;
use crate::decide::ServerPath;
use crate::quarantine::Renewals;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Interval at which paths are looked at.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time without a byte from a server with requests in flight after which its path is tried with another connection: over
/// twice the time that servers of the reference workload usually take until the next byte.
const MAX_INACTIVE_TIME: Duration = Duration::from_millis(400);
/// Maximum number of paths that are tried at each interval.
const MAX_PROBES: usize = 8;

/// The task that tries paths.
pub(super) struct PathProbe(JoinHandle<()>);

impl PathProbe {
    /// Starts to try the paths of `gateway`, whose servers report at intervals of `heartbeat`.
    pub(super) fn start(gateway: &Arc<Gateway>, heartbeat: Duration) -> Self {
        let renewals = Renewals::new(heartbeat);
        Self(tokio::spawn(run(Arc::clone(gateway), renewals)))
    }

    /// Stops.
    pub(super) fn close(self) {
        self.0.abort();
    }
}

async fn run(gateway: Arc<Gateway>, mut renewals: Renewals) {
    // Names of the servers whose paths were blocked at the last interval, sorted.
    let mut blocked: Vec<String> = Vec::new();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let now = BootInstant::now();
        record_renewals(&gateway, &mut renewals, now);
        let (servers, _) = gateway.catalog.servers();
        let inactive = gateway.loads.inactive_for(MAX_INACTIVE_TIME, now);
        let mut probes = 0;
        let mut blocked_now = Vec::new();
        for server in servers.iter() {
            let path = gateway.paths.path(server);
            let is_blocked = path.state(now) == PathState::Blocked;
            if is_blocked {
                blocked_now.push(server.id.clone());
                if blocked.binary_search(&server.id).is_err() {
                    gateway.loads.record_other_path(server);
                }
            }
            let is_inactive = inactive.binary_search(&server.id).is_ok();
            let is_due = path.is_retry_due(now)
                || (!is_blocked && is_inactive && path.has_not_been_tried_lately(now));
            if is_due && probes < MAX_PROBES {
                probes += 1;
                tokio::spawn(probe(Arc::clone(&gateway), server.clone(), path));
            }
        }
        blocked = blocked_now;
    }
}

/// Finds out which of the servers that were lost run on, as their entries tell.
fn record_renewals(gateway: &Gateway, renewals: &mut Renewals, now: BootInstant) {
    let Some(age) = gateway.catalog.list_age(now) else {
        return;
    };
    renewals.follow(gateway.catalog.own_read_series());
    let report_of = |id: &str| gateway.catalog.report_of(id);
    let doubted = gateway.paths.doubted();
    for (incarnation, at) in renewals.check(&doubted, &report_of, now.before(age)) {
        gateway.paths.record_running(&incarnation, at);
    }
}

async fn probe(gateway: Arc<Gateway>, server: BackendServer, path: ServerPath) {
    if path.is_unanswered() {
        gateway.ask_anew(&server).await;
    } else if path.state(BootInstant::now()) == PathState::Blocked {
        gateway.paths.probe_directly(&server).await;
    } else {
        gateway.paths.probe(&server).await;
    }
}
