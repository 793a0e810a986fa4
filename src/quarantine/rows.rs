//! The records of one gateway in order of arrival, of which each other gateway is sent those that it has not got yet.

use super::record::CrashEvent;
use super::record::Records;
use crate::clock::BootInstant;
use crate::decide::CrashBlame;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of records kept, of which each request that breaks off takes one; the oldest are dropped first.
const MAX_ROWS: usize = 8_192;
/// Maximum number of records in one message; the others follow in the next ones.
const MAX_ROWS_SENT: usize = 1_024;
/// Age from which crashes and answers are not sent any more. Held parts are, until they are let through.
const MAX_ROW_AGE: Duration = Duration::from_secs(600);

/// Where a record comes from, which decides to whom it is sent on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordSource {
    /// This gateway.
    Own,
    /// A gateway that this one serves as relay.
    Member,
    /// The relay that serves this gateway, or the relay of another data centre.
    Relay,
}

#[derive(Clone, Debug)]
struct Row {
    event: CrashEvent,
    source: RecordSource,
}

/// Numbered records.
#[derive(Debug, Default)]
pub(super) struct Rows {
    first_number: u64,
    rows: VecDeque<Row>,
}

impl Rows {
    pub(super) fn push(&mut self, event: CrashEvent, source: RecordSource) {
        self.rows.push_back(Row { event, source });
        if self.rows.len() > MAX_ROWS {
            self.rows.pop_front();
            self.first_number += 1;
        }
    }

    /// Returns the records numbered from `first` on that come from one of `sources`, and the number to continue from. Of
    /// what is no longer so, `blame` tells what is left: a gateway that starts may not hear of the answers since.
    pub(super) fn records_from(
        &self,
        first: u64,
        sources: &[RecordSource],
        now: BootInstant,
        blame: &CrashBlame,
    ) -> (Records, u64) {
        let first = first.clamp(
            self.first_number,
            self.first_number + self.rows.len() as u64,
        );
        let skipped = usize::try_from(first - self.first_number).unwrap_or(usize::MAX);
        let is_recent = |event: &CrashEvent| now.since(event.at()) < MAX_ROW_AGE;
        let current = |event: &CrashEvent| match event {
            CrashEvent::Hold(hold) => {
                let mut holds = blame.holds().iter();
                let is_held = holds.any(|known| known.part == hold.part);
                is_held.then(|| event.clone())
            }
            CrashEvent::Crash(crash) if is_recent(event) => {
                blame.current(crash).map(CrashEvent::Crash)
            }
            CrashEvent::Crash(_) => None,
            CrashEvent::Sound(..) | CrashEvent::Release(..) | CrashEvent::Seen(_) => {
                is_recent(event).then(|| event.clone())
            }
        };
        let rows = self.rows.iter().skip(skipped).take(MAX_ROWS_SENT);
        let next = first + rows.len() as u64;
        let events = rows
            .filter(|row| sources.contains(&row.source))
            .map(|row| &row.event);
        let merged = merge_crashes(events);
        let mut records = Records::default();
        let current = merged.iter().filter_map(current);
        current.for_each(|event| event.add_to(&mut records, now));
        (records, next)
    }
}

/// Joins the reports of each crash, so that the suspects of a busy server don't repeat its name.
fn merge_crashes<'a>(events: impl Iterator<Item = &'a CrashEvent>) -> Vec<CrashEvent> {
    let mut merged: Vec<CrashEvent> = Vec::new();
    for event in events {
        let same = merged.iter_mut().find_map(|known| match (known, event) {
            (CrashEvent::Crash(known), CrashEvent::Crash(crash)) => {
                let is_same =
                    known.server == crash.server && known.start_time_ms == crash.start_time_ms;
                is_same.then_some((known, crash))
            }
            _ => None,
        });
        match same {
            Some((known, crash)) => {
                known.at = known.at.min(crash.at);
                known.suspects.extend_from_slice(&crash.suspects);
            }
            None => merged.push(event.clone()),
        }
    }
    merged
}
