//! Configuration changes at a constant rate, mixed with stale and unreadable records.

use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::CHAT_CALLERS;
use super::NODES;
use super::watch::ConfigWatch;
use super::watch::objects_of;
use super::writer::ConfigWriter;
use super::writer::newest_offset;
use super::writer::offset_of;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;
use crate::cases::RunOptions;
use crate::fleet::CONFIG_STREAM;
use crate::fleet::team_object;
use crate::truth::lock;
use crate::wire::config::Object;

/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of records between two snapshots; small, so that a run has several snapshots.
const SNAPSHOT_RECORDS: u32 = 8;
/// Number of changes after which a stale copy of the latest change is appended with a different id.
const STALE_EVERY: u32 = 3;
/// Number of changes after which a truncated copy of the latest record is appended.
const TRUNCATED_EVERY: u32 = 4;
/// Maximum time after the load for which the last append is retried.
const APPEND_GRACE: Duration = Duration::from_secs(5);

/// Changes at a constant rate.
#[derive(Default)]
pub struct Changes {
    observations: Mutex<Option<Observations>>,
}

/// Observations during the load, which are checked after it.
struct Observations {
    watch: ConfigWatch,
    /// The expected final version of each team.
    expected_versions: Vec<(String, u64)>,
    /// Number of changes that are in the log.
    changes: usize,
}

#[async_trait]
impl Case for Changes {
    fn name(&self) -> &'static str {
        "config"
    }

    fn description(&self) -> &'static str {
        "a change of the configuration each second, with stale and unreadable ones among them"
    }

    fn options(&self, options: &mut RunOptions) {
        options.fleet.nodes = NODES;
        options.load.chat_callers = CHAT_CALLERS;
        options.fleet.extra_settings.extend([
            String::from("[config]"),
            format!("snapshot_records = {SNAPSHOT_RECORDS}"),
        ]);
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        let mut watch = ConfigWatch::default();
        let mut findings = Findings::default();
        let watching = watch.sample_until(cx.fleet, cx.until);
        let ((), (expected_versions, changes)) =
            tokio::join!(watching, write_changes(cx, &mut findings));
        // Samples until all nodes have the last changes, because the checks that follow in the run take no samples.
        watch.wait_until_current(cx.fleet).await;
        *lock(&self.observations) = Some(Observations {
            watch,
            expected_versions,
            changes,
        });
        findings
    }

    async fn check_fleet(&self, cx: &CaseContext<'_>) -> Findings {
        let observations = lock(&self.observations).take();
        let Some(mut observations) = observations else {
            return Findings::default();
        };
        let is_current = observations.watch.wait_until_current(cx.fleet).await;
        let mut findings = observations.watch.findings(is_current);
        findings.reverted += count_outdated(cx, &observations.expected_versions).await;
        let (p99, longest) = observations.watch.in_force_times();
        let snapshots = cx
            .fleet
            .log()
            .records(CONFIG_STREAM)
            .iter()
            .filter(|(_, data)| data.contains("\"kind\":\"snapshot\""))
            .count();
        eprintln!(
            "config: {} changes, {snapshots} snapshots, time until in force: 99th percentile {p99:.2?}, maximum {longest:.2?}",
            observations.changes
        );
        if observations.changes == 0 {
            findings
                .failures
                .push(String::from("no change reached the log"));
        }
        findings
    }
}

/// Writes changes until the load ends. Returns the expected final version of each team and the number of changes.
async fn write_changes(
    cx: &CaseContext<'_>,
    findings: &mut Findings,
) -> (Vec<(String, u64)>, usize) {
    let writer = ConfigWriter::new(cx.fleet, cx.fleet.options().operator());
    let mut rng = StdRng::seed_from_u64(cx.seed);
    let teams = cx.fleet.teams();
    let mut expected_versions: Vec<(String, u64)> =
        teams.iter().map(|team| (team.team.clone(), 0)).collect();
    let mut changes = 0;
    let mut number = 0;
    while cx.pause(CHANGE_INTERVAL).await {
        number += 1;
        let index = rng.random_range(0..teams.len());
        let mut object = team_object(&teams[index]);
        if let Object::Team { team } = &mut object {
            team.weight = number;
        }
        let read = newest_offset(cx.fleet);
        let base = expected_versions[index].1;
        let record = writer.put(
            &format!("change-{number}"),
            read,
            object.clone(),
            Some(base),
        );
        if !writer.append(&record, cx.until + APPEND_GRACE).await {
            findings
                .failures
                .push(format!("change {number} did not reach the log"));
            continue;
        }
        if let Some(offset) = offset_of(cx.fleet, &record) {
            expected_versions[index].1 = offset;
            changes += 1;
        }
        if number % STALE_EVERY == 0 {
            let stale = writer.put(&format!("stale-{number}"), read, object, Some(base));
            cx.fleet.log().append(CONFIG_STREAM, &stale);
        }
        if number % TRUNCATED_EVERY == 0 {
            cx.fleet
                .log()
                .append(CONFIG_STREAM, &record[..record.len() / 2]);
        }
    }
    (expected_versions, changes)
}

/// Returns the number of teams, summed over all nodes, that do not have their expected final version.
async fn count_outdated(cx: &CaseContext<'_>, expected_versions: &[(String, u64)]) -> u64 {
    let mut outdated = 0;
    for entry in cx.fleet.directory().nodes() {
        let objects = objects_of(&entry).await;
        let in_force = |name: &str| {
            let mut objects = objects.iter();
            let found = objects.find(|object| object.kind == "team" && object.name == name);
            found.map(|object| object.version)
        };
        let is_outdated = |(name, version): &&(String, u64)| in_force(name) != Some(*version);
        outdated += expected_versions.iter().filter(is_outdated).count() as u64;
    }
    outdated
}
