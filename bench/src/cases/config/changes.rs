//! Changes at a steady rate, with stale and unreadable records among them.

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

/// Time between two changes.
const CHANGE_PAUSE: Duration = Duration::from_secs(1);
/// Records between two snapshots, few enough for several in a run.
const SNAPSHOT_RECORDS: u32 = 8;
/// One in so many changes is followed by a stale copy with another id.
const STALE_EVERY: u32 = 3;
/// One in so many changes is followed by a record that is cut short.
const CUT_EVERY: u32 = 4;
/// Longest time beyond the load for which the last append is tried.
const APPEND_GRACE: Duration = Duration::from_secs(5);

/// The case.
#[derive(Default)]
pub struct Changes {
    seen: Mutex<Option<Seen>>,
}

struct Seen {
    watch: ConfigWatch,
    /// The version that each team must end at.
    wanted: Vec<(String, u64)>,
    /// Changes that the log took.
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
        let ((), (wanted, changes)) = tokio::join!(watching, write(cx, &mut findings));
        // The last changes are watched to their end, before the run goes on with other things.
        watch.wait_until_current(cx.fleet).await;
        *lock(&self.seen) = Some(Seen {
            watch,
            wanted,
            changes,
        });
        findings
    }

    async fn check_fleet(&self, cx: &CaseContext<'_>) -> Findings {
        let seen = lock(&self.seen).take();
        let Some(mut seen) = seen else {
            return Findings::default();
        };
        let is_current = seen.watch.wait_until_current(cx.fleet).await;
        let mut findings = seen.watch.findings(is_current);
        findings.reverted += lost(cx, &seen.wanted).await;
        let (p99, longest) = seen.watch.in_force_times();
        let snapshots = cx
            .fleet
            .log()
            .records(CONFIG_STREAM)
            .iter()
            .filter(|(_, data)| data.contains("\"kind\":\"snapshot\""))
            .count();
        eprintln!(
            "config: {} changes, {snapshots} snapshots, in force after {p99:.2?} at the 99th percentile, {longest:.2?} at most",
            seen.changes
        );
        if seen.changes == 0 {
            findings
                .failures
                .push(String::from("no change reached the log"));
        }
        findings
    }
}

/// Writes changes until the load ends; gives the version that each team must end at, and the count of changes.
async fn write(cx: &CaseContext<'_>, findings: &mut Findings) -> (Vec<(String, u64)>, usize) {
    let writer = ConfigWriter::new(cx.fleet, cx.fleet.options().operator());
    let mut rng = StdRng::seed_from_u64(cx.seed);
    let teams = cx.fleet.teams();
    let mut wanted: Vec<(String, u64)> = teams.iter().map(|team| (team.team.clone(), 0)).collect();
    let mut changes = 0;
    let mut number = 0;
    while cx.pause(CHANGE_PAUSE).await {
        number += 1;
        let index = rng.random_range(0..teams.len());
        let mut object = team_object(&teams[index]);
        if let Object::Team { team } = &mut object {
            team.weight = number;
        }
        let read = newest_offset(cx.fleet);
        let base = wanted[index].1;
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
            wanted[index].1 = offset;
            changes += 1;
        }
        if number % STALE_EVERY == 0 {
            let stale = writer.put(&format!("stale-{number}"), read, object, Some(base));
            cx.fleet.log().append(CONFIG_STREAM, &stale);
        }
        if number % CUT_EVERY == 0 {
            cx.fleet
                .log()
                .append(CONFIG_STREAM, &record[..record.len() / 2]);
        }
    }
    (wanted, changes)
}

/// Counts, over all nodes, the teams that are not at the version that they must end at.
async fn lost(cx: &CaseContext<'_>, wanted: &[(String, u64)]) -> u64 {
    let mut lost = 0;
    for entry in cx.fleet.directory().nodes() {
        let objects = objects_of(&entry).await;
        let in_force = |name: &str| {
            let mut objects = objects.iter();
            let found = objects.find(|object| object.kind == "team" && object.name == name);
            found.map(|object| object.version)
        };
        let is_lost = |(name, version): &&(String, u64)| in_force(name) != Some(*version);
        lost += wanted.iter().filter(is_lost).count() as u64;
    }
    lost
}
