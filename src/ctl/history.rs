//! `cbctl history`: prints the records of the log with their verdicts.

use super::Command;
use super::CtlError;
use super::Output;
use super::platform;
use super::stream::Replay;
use super::stream::ReplayedRecord;
use crate::config::Verdict;
use crate::config::kind_of;
use crate::config::name_of;
use async_trait::async_trait;
use pico_args::Arguments;
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;

pub(super) struct History {
    log: SocketAddr,
}

#[derive(Serialize)]
struct HistoryReport {
    records: Vec<HistoryRecord>,
}

#[derive(Serialize)]
struct HistoryRecord {
    offset: u64,
    time_ms: u64,
    verdict: String,
    change: Option<String>,
    operator: Option<String>,
    note: Option<String>,
    objects: Vec<String>,
}

impl History {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        let log = platform::log_address(args)?;
        Ok(Self { log })
    }
}

#[async_trait]
impl Command for History {
    async fn run(&self, output: &Output) -> Result<(), CtlError> {
        let replay = Replay::read(platform::log_service(self.log).as_ref()).await?;
        output.print(&HistoryReport {
            records: replay.records.iter().map(history_record).collect(),
        })
    }
}

fn history_record(replayed: &ReplayedRecord) -> HistoryRecord {
    let change = replayed.change.as_ref();
    let put = change.map_or(&[][..], |change| &change.put);
    let deleted = change.map_or(&[][..], |change| &change.delete);
    let put = put
        .iter()
        .map(|object| format!("{} {}", kind_of(object), name_of(object)));
    let deleted = deleted
        .iter()
        .map(|object| format!("no {} {}", object.kind, object.name));
    HistoryRecord {
        offset: replayed.offset,
        time_ms: replayed.time_ms,
        verdict: match &replayed.verdict {
            Verdict::Accepted => "accepted".to_owned(),
            Verdict::Snapshot => "snapshot".to_owned(),
            Verdict::Refused(refused) => format!("refused: {refused}"),
        },
        change: change.map(|change| change.id.clone()),
        operator: change.map(|change| change.operator.clone()),
        note: change.map(|change| change.note.clone()),
        objects: put.chain(deleted).collect(),
    }
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for record in &self.records {
            write!(f, "{}: {}", record.offset, record.verdict)?;
            if let Some(operator) = &record.operator {
                write!(f, ", by {operator}")?;
            }
            if let Some(note) = record.note.as_ref().filter(|note| !note.is_empty()) {
                write!(f, ", \"{note}\"")?;
            }
            if !record.objects.is_empty() {
                write!(f, ", {}", record.objects.join(", "))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
