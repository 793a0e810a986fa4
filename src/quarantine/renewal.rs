//! Finds servers that renew their entry on the server list after they were taken for crashed, or keep it for longer than a
//! crashed one could.

use super::state::Quarantine;
use crate::catalog::Catalog;
use crate::catalog::Duties;
use crate::catalog::ReportStatus;
use crate::clock::BootInstant;
use crate::decide::Incarnation;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Interval at which the entries of such servers are compared with what they were.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time from a crash until the read of the list that later ones are compared with: an entry may have been renewed just
/// before the crash.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Number of intervals without a report after which an entry has certainly been removed: the platform removes it after
/// three.
const EXPIRY_INTERVALS: u32 = 4;

/// Sequence number of a server's report after it was taken for crashed.
#[derive(Clone, Debug)]
struct Baseline {
    incarnation: Incarnation,
    sequence: u64,
    /// Series of own reads that `sequence` is from; `None` if it is from a peer's list.
    series: Option<u64>,
    at: BootInstant,
}

/// What the list said of servers that were taken for crashed.
#[derive(Clone, Debug)]
pub struct Renewals {
    baselines: Vec<Baseline>,
    /// Interval at which servers report.
    heartbeat: Duration,
    /// When the list was last read.
    read_at: BootInstant,
    /// Which series of own reads the list is from; `None` if it is a peer's.
    series: Option<u64>,
}

impl Renewals {
    /// Returns no comparison yet; servers report at intervals of `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            baselines: Vec::new(),
            heartbeat,
            read_at: BootInstant::default(),
            series: Some(0),
        }
    }

    /// Sets which series of own reads the list is from now on, as [`Catalog::own_read_series`] tells. Numbers of different series
    /// are not compared, nor those of a peer's list: they may be from before a crash and its time of reading after it.
    pub fn follow(&mut self, series: Option<u64>) {
        self.series = series;
    }

    /// Compares the newest reports with the ones before. `crashed` are the servers taken for crashed, and when;
    /// `report_of` returns a server's newest report, `read_at` is when the list was read. Returns the incarnations that
    /// have reported again, and when each was still running.
    pub fn check(
        &mut self,
        crashed: &[(Incarnation, BootInstant)],
        report_of: &dyn Fn(&str) -> Option<ReportStatus>,
        read_at: BootInstant,
    ) -> Vec<(Incarnation, BootInstant)> {
        // While the list can't be read, entries may not expire either.
        let has_gap = read_at.since(self.read_at) > self.heartbeat * 2;
        self.read_at = read_at;
        self.baselines.retain(|baseline| {
            // A report from before the last crash tells nothing of it.
            let mut known = crashed.iter();
            known.any(|(incarnation, at)| *incarnation == baseline.incarnation && baseline.at > *at)
        });
        let mut renewed = Vec::new();
        for (incarnation, crashed_at) in crashed {
            let report = report_of(&incarnation.server);
            let report = report.filter(|report| report.start_time_ms == incarnation.start_time_ms);
            let mut known = self.baselines.iter_mut();
            let known = known.find(|baseline| baseline.incarnation == *incarnation);
            match (known, report) {
                (Some(baseline), Some(report)) => {
                    let is_kept = report.is_listed
                        && !has_gap
                        && read_at.since(baseline.at) > self.heartbeat * EXPIRY_INTERVALS;
                    let is_comparable = self.series.is_some() && baseline.series == self.series;
                    let has_reported = is_comparable && baseline.sequence < report.sequence;
                    if !is_comparable {
                        baseline.sequence = report.sequence;
                        baseline.series = self.series;
                    }
                    if has_reported || is_kept {
                        renewed.push((incarnation.clone(), baseline.at));
                    } else if has_gap {
                        baseline.at = read_at;
                    }
                }
                (None, Some(report)) if read_at > crashed_at.plus(SETTLE_TIME) => {
                    self.baselines.push(Baseline {
                        incarnation: incarnation.clone(),
                        sequence: report.sequence,
                        series: self.series,
                        at: read_at,
                    });
                }
                (Some(_) | None, _) => {}
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
    /// Starts to watch, while this gateway is the relay of its data centre.
    pub fn start(
        quarantine: &Arc<Quarantine>,
        catalog: &Arc<Catalog>,
        duties: &Duties,
        heartbeat: Duration,
    ) -> Self {
        let quarantine = Arc::clone(quarantine);
        let catalog = Arc::clone(catalog);
        let duties = duties.clone();
        let task = tokio::spawn(watch(quarantine, catalog, duties, heartbeat));
        Self { task }
    }

    /// Stops watching.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn watch(
    quarantine: Arc<Quarantine>,
    catalog: Arc<Catalog>,
    duties: Duties,
    heartbeat: Duration,
) {
    let mut renewals = Renewals::new(heartbeat);
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let crashed = quarantine.crashed();
        if !duties.is_relay() || crashed.is_empty() {
            renewals = Renewals::new(heartbeat);
            continue;
        }
        renewals.follow(catalog.own_read_series());
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
