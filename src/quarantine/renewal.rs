//! Finds servers that renew their entry on the server list after they were taken for crashed.

use super::state::Quarantine;
use crate::catalog::Catalog;
use crate::clock::BootInstant;
use crate::decide::Incarnation;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Interval at which the entries of such servers are compared with what they were.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time from a crash until the read of the list that later ones are compared with: an entry may have been renewed just
/// before the crash.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Sequence number of a server's report after it was taken for crashed.
#[derive(Clone, Debug)]
struct Baseline {
    incarnation: Incarnation,
    sequence: u64,
    at: BootInstant,
}

/// What the list said of servers that were taken for crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct Renewals {
    baselines: Vec<Baseline>,
}

impl Renewals {
    /// Compares the newest reports with the ones before. `crashed` are the servers taken for crashed, and when;
    /// `report_of` returns start time and sequence number of a server's newest report, `read_at` is when the list was
    /// read. Returns the incarnations that have reported again, and when each was still running.
    pub(super) fn check(
        &mut self,
        crashed: &[(Incarnation, BootInstant)],
        report_of: &dyn Fn(&str) -> Option<(u64, u64)>,
        read_at: BootInstant,
    ) -> Vec<(Incarnation, BootInstant)> {
        self.baselines.retain(|baseline| {
            let mut known = crashed.iter().map(|(incarnation, _)| incarnation);
            known.any(|incarnation| *incarnation == baseline.incarnation)
        });
        let mut renewed = Vec::new();
        for (incarnation, crashed_at) in crashed {
            let report = report_of(&incarnation.server);
            let Some((start_time_ms, sequence)) = report else {
                continue;
            };
            if start_time_ms != incarnation.start_time_ms {
                continue;
            }
            let known = self
                .baselines
                .iter()
                .find(|baseline| baseline.incarnation == *incarnation);
            match known {
                Some(baseline) if baseline.sequence < sequence => {
                    renewed.push((incarnation.clone(), baseline.at));
                }
                None if read_at > crashed_at.plus(SETTLE_TIME) => self.baselines.push(Baseline {
                    incarnation: incarnation.clone(),
                    sequence,
                    at: read_at,
                }),
                Some(_) | None => {}
            }
        }
        renewed
    }
}

/// Watches the server list for servers that were taken for crashed and run on.
pub struct RenewalWatch {
    task: JoinHandle<()>,
}

impl RenewalWatch {
    /// Starts to watch, while this gateway is the relay of its data centre and so reads each renewal.
    pub fn start(
        quarantine: &Arc<Quarantine>,
        catalog: &Arc<Catalog>,
        is_relay: &Arc<AtomicBool>,
    ) -> Self {
        let quarantine = Arc::clone(quarantine);
        let catalog = Arc::clone(catalog);
        let is_relay = Arc::clone(is_relay);
        let task = tokio::spawn(watch(quarantine, catalog, is_relay));
        Self { task }
    }

    /// Stops watching.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn watch(quarantine: Arc<Quarantine>, catalog: Arc<Catalog>, is_relay: Arc<AtomicBool>) {
    let mut renewals = Renewals::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let crashed = quarantine.crashed();
        if !is_relay.load(Ordering::Relaxed) || crashed.is_empty() {
            renewals = Renewals::default();
            continue;
        }
        let now = BootInstant::now();
        let Some(age) = catalog.list_age(now) else {
            continue;
        };
        let report_of = |id: &str| catalog.report_of(id);
        for (incarnation, at) in renewals.check(&crashed, &report_of, now.before(age)) {
            quarantine.record_renewal(incarnation, at);
        }
    }
}
