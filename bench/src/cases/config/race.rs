//! Operators that submit conflicting changes at the same time.

use std::time::Duration;

use async_trait::async_trait;
use futures_util::future::join_all;

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
use crate::fleet::team_object;
use crate::wire::config::Object;

/// Number of operators in a race.
const OPERATORS: u32 = 4;
/// Pause between two races.
const RACE_PAUSE: Duration = Duration::from_millis(700);
/// Maximum time after the load for which an append is retried.
const APPEND_GRACE: Duration = Duration::from_secs(5);

/// Conflicting changes, of which exactly one must win.
pub struct Race;

#[async_trait]
impl Case for Race {
    fn name(&self) -> &'static str {
        "race"
    }

    fn description(&self) -> &'static str {
        "operators confirm conflicting changes at the same time; exactly one wins, the same on every node"
    }

    fn options(&self, options: &mut RunOptions) {
        options.fleet.nodes = NODES;
        options.load.chat_callers = CHAT_CALLERS;
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        let mut findings = Findings::default();
        let mut number = 0;
        let team = cx.fleet.teams()[0].clone();
        let mut base = 0;
        while cx.pause(RACE_PAUSE).await {
            number += 1;
            let records: Vec<(String, String)> = (0..OPERATORS)
                .map(|rival| {
                    let id = format!("race-{number}-{rival}");
                    let mut object = team_object(&team);
                    if let Object::Team { team } = &mut object {
                        team.weight = number * OPERATORS + rival;
                    }
                    let writer = ConfigWriter::new(cx.fleet, cx.fleet.options().operator());
                    let record = writer.put(&id, newest_offset(cx.fleet), object, Some(base));
                    (id, record)
                })
                .collect();
            let writer = ConfigWriter::new(cx.fleet, cx.fleet.options().operator());
            let until = cx.until + APPEND_GRACE;
            join_all(
                records
                    .iter()
                    .map(|(_, record)| writer.append(record, until)),
            )
            .await;
            let winner = records
                .iter()
                .filter_map(|(id, record)| Some((offset_of(cx.fleet, record)?, id)))
                .min();
            let Some((offset, id)) = winner else {
                findings
                    .failures
                    .push(format!("race {number} did not reach the log"));
                continue;
            };
            base = offset;
            findings
                .failures
                .extend(check(cx, &team.team, offset, id).await);
        }
        findings
    }
}

/// Waits until all nodes have the newest version. Returns a message for each node on which a change other than the
/// winner is in force.
async fn check(cx: &CaseContext<'_>, team: &str, offset: u64, winner: &str) -> Vec<String> {
    let mut watch = ConfigWatch::default();
    let is_current = watch.wait_until_current(cx.fleet).await;
    let mut failures = watch.findings(is_current).failures;
    for entry in cx.fleet.directory().nodes() {
        let objects = objects_of(&entry).await;
        let found = objects
            .iter()
            .find(|object| object.kind == "team" && object.name == team);
        let in_force = found.map(|object| (object.version, object.change.as_str()));
        if in_force != Some((offset, winner)) {
            failures.push(format!(
                "{}: {in_force:?} is in force, but {winner} at offset {offset} came first",
                entry.name
            ));
        }
    }
    failures
}
