//! Samples the configuration version that is in force on each node, and checks the samples.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;

use crate::cases::Findings;
use crate::fleet::CONFIG_STREAM;
use crate::fleet::Fleet;
use crate::fleet::PLATFORM_ZONE;
use crate::load::directory::NodeEntry;
use crate::load::directory::get_text;
use crate::wire::config::NodeStatus;
use crate::wire::config::ObjectStatus;

/// Interval between two samples of all nodes.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Gap between two samples from which on the earlier sample is too old for the time of an append.
const MAX_SAMPLE_GAP: Duration = Duration::from_secs(1);
/// Maximum for the 99th percentile of the times until a change is in force on a reachable node.
const MAX_IN_FORCE_TIME: Duration = Duration::from_secs(5);
/// Maximum time until all nodes have the newest version.
const UP_TO_DATE_TIMEOUT: Duration = Duration::from_secs(20);

/// State of one node at one time.
struct Sample {
    at: Instant,
    /// Whether the process responds and its data centre is not disconnected from the platform.
    reachable: bool,
    status: Option<NodeStatus>,
}

/// The samples of a run.
#[derive(Default)]
pub struct ConfigWatch {
    /// The samples of each node, in the order of the nodes.
    nodes: Vec<Vec<Sample>>,
    /// Offsets in the log, each with the time of the last sample before the offset was seen in the log.
    appended: Vec<(u64, Instant)>,
    last_sampled: Option<Instant>,
}

impl ConfigWatch {
    /// Takes a sample of the log and of all nodes.
    pub async fn sample(&mut self, fleet: &Fleet) {
        let entries = fleet.directory().nodes();
        self.record_appends(fleet);
        let statuses = join_all(entries.iter().map(status_of)).await;
        self.nodes.resize_with(entries.len(), Vec::new);
        for ((samples, entry), status) in self.nodes.iter_mut().zip(&entries).zip(statuses) {
            let zone = entry.name.split('-').next().unwrap_or_default();
            let is_disconnected = fleet.proxy().has_rule_between(zone, PLATFORM_ZONE);
            samples.push(Sample {
                at: Instant::now(),
                reachable: status.is_some() && !is_disconnected,
                status,
            });
        }
    }

    /// Takes samples until `until`.
    pub async fn sample_until(&mut self, fleet: &Fleet, until: Instant) {
        while Instant::now() < until {
            self.sample(fleet).await;
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Takes samples until all nodes have the newest version in the log. Returns whether that happened in time.
    pub async fn wait_until_current(&mut self, fleet: &Fleet) -> bool {
        let until = Instant::now() + UP_TO_DATE_TIMEOUT;
        while Instant::now() < until {
            self.sample(fleet).await;
            let newest = self.appended.last().map(|(offset, _)| *offset);
            let has_newest = |samples: &Vec<Sample>| {
                let status = samples.last().and_then(|sample| sample.status.as_ref());
                status.is_some_and(|status| status.version >= newest)
            };
            if self.nodes.iter().all(has_newest) {
                return true;
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        false
    }

    fn record_appends(&mut self, fleet: &Fleet) {
        let known = self.appended.last().map(|(offset, _)| *offset);
        // The time until an append is in force counts from the last sample before the append, so that it is never too
        // short. If that sample is too old, it counts from now, because the time of the append is not known.
        let now = Instant::now();
        let before = self.last_sampled.replace(now);
        let before = before.filter(|before| now - *before < MAX_SAMPLE_GAP);
        let before = before.unwrap_or(now);
        let records = fleet.log().records(CONFIG_STREAM);
        let new = records
            .iter()
            .filter(|(offset, _)| known.is_none_or(|known| *offset > known));
        self.appended
            .extend(new.map(|(offset, _)| (*offset, before)));
    }

    /// Returns the number of reverts: the samples in which a node has an older version than before (after a restart
    /// only if it is ready), plus the versions at which nodes have different states.
    pub fn reverted(&self) -> u64 {
        self.nodes
            .iter()
            .map(|samples| count_reverts(samples))
            .sum::<u64>()
            + self.disagreements()
    }

    /// Returns the number of differences between states at the same version.
    fn disagreements(&self) -> u64 {
        let statuses = self
            .nodes
            .iter()
            .flatten()
            .filter_map(|sample| sample.status.as_ref());
        let mut states: Vec<(u64, &str)> = statuses
            .filter_map(|status| Some((status.version?, status.hash.as_str())))
            .collect();
        states.sort_unstable();
        states.dedup();
        states
            .windows(2)
            .filter(|pair| pair[0].0 == pair[1].0)
            .count() as u64
    }

    /// Returns the 99th percentile and the maximum of the times until a record was in force on a reachable node.
    pub fn in_force_times(&self) -> (Duration, Duration) {
        let mut times = Vec::new();
        for (offset, at) in &self.appended {
            let taken = self
                .nodes
                .iter()
                .filter_map(|samples| in_force_time(samples, *offset, *at));
            times.extend(taken);
        }
        times.sort_unstable();
        let longest = times.last().copied().unwrap_or_default();
        let rank = (times.len() * 99).div_ceil(100).saturating_sub(1);
        (times.get(rank).copied().unwrap_or_default(), longest)
    }

    /// Checks all samples and returns the findings.
    pub fn findings(&self, is_current: bool) -> Findings {
        let mut findings = Findings {
            reverted: self.reverted(),
            ..Findings::default()
        };
        let mut fail = |text: String| findings.failures.push(text);
        if !is_current {
            let versions: Vec<Option<u64>> =
                self.last_statuses().map(|status| status.version).collect();
            fail(format!(
                "not all nodes have the newest version: {versions:?}"
            ));
        }
        let mut hashes: Vec<&str> = self
            .last_statuses()
            .map(|status| status.hash.as_str())
            .collect();
        hashes.sort_unstable();
        hashes.dedup();
        if hashes.len() != 1 {
            fail(format!("{} different states at the end", hashes.len()));
        }
        let (p99, longest) = self.in_force_times();
        if p99 > MAX_IN_FORCE_TIME {
            fail(format!(
                "time until in force is too long: 99th percentile {p99:.1?}, maximum {longest:.1?}"
            ));
        }
        findings
    }

    fn last_statuses(&self) -> impl Iterator<Item = &NodeStatus> {
        self.nodes
            .iter()
            .filter_map(|samples| samples.last()?.status.as_ref())
    }
}

fn count_reverts(samples: &[Sample]) -> u64 {
    let mut newest = None;
    let mut count = 0;
    let mut is_new_process = false;
    for sample in samples {
        let Some(status) = &sample.status else {
            is_new_process = true;
            continue;
        };
        let may_be_behind = is_new_process && !status.ready;
        if status.version < newest && !may_be_behind {
            count += 1;
        }
        if status.ready {
            is_new_process = false;
        }
        newest = newest.max(status.version);
    }
    count
}

/// Returns the time from when a node could first receive a record until the record was in force on the node.
///
/// Time during which the node was not reachable does not count. Returns `None` if the record never came into force, for
/// example on a node that stayed unreachable.
fn in_force_time(samples: &[Sample], offset: u64, at: Instant) -> Option<Duration> {
    let mut from = None;
    for sample in samples.iter().filter(|sample| sample.at >= at) {
        let version = sample.status.as_ref().and_then(|status| status.version);
        if version.is_some_and(|version| version >= offset) {
            return Some(sample.at.duration_since(from.unwrap_or(at)));
        }
        // For a node that was unreachable, the time restarts when it is reachable again.
        from = match (sample.reachable, from) {
            (true, None) if was_always_reachable(samples, at, sample.at) => Some(at),
            (true, None) => Some(sample.at),
            (true, from) => from,
            (false, _) => None,
        };
    }
    None
}

/// Returns whether a node was reachable in all samples from `at` to `to`.
fn was_always_reachable(samples: &[Sample], at: Instant, to: Instant) -> bool {
    let between = |sample: &&Sample| sample.at >= at && sample.at <= to;
    samples
        .iter()
        .filter(between)
        .all(|sample| sample.reachable)
}

async fn status_of(entry: &NodeEntry) -> Option<NodeStatus> {
    let text = get_text(entry.operations_address, "/status").await?;
    serde_json::from_str(&text).ok()
}

/// Returns the configuration objects that are in force on one node, or none if they cannot be read.
pub async fn objects_of(entry: &NodeEntry) -> Vec<ObjectStatus> {
    let text = get_text(entry.operations_address, "/objects").await;
    let objects = text.and_then(|text| serde_json::from_str(&text).ok());
    objects.unwrap_or_default()
}
