//! Reads the whole config stream and replays it as the nodes do.

use super::CtlError;
use crate::border::LogService;
use crate::border::generated::config::Change;
use crate::border::generated::config::ConfigRecord;
use crate::config::STREAM;
use crate::config::State;
use crate::config::Verdict;
use crate::config::unchecked_snapshot;
use std::time::Duration;

/// Maximum number of records in one read of the log.
const READ_LIMIT: u32 = 500;

/// A record of the stream with its verdict.
#[derive(Clone, Debug)]
pub(super) struct ReplayedRecord {
    pub(super) offset: u64,
    /// Time at which the log appended the record, in milliseconds since 1970.
    pub(super) time_ms: u64,
    /// The change, if the record is one and can be parsed.
    pub(super) change: Option<Change>,
    pub(super) verdict: Verdict,
}

/// The state in force and the records that led to it, as far as the log still holds them.
#[derive(Clone, Debug, Default)]
pub(super) struct Replay {
    pub(super) state: State,
    pub(super) records: Vec<ReplayedRecord>,
}

impl Replay {
    /// Reads all records that the log holds. If the log has discarded its first records, the replay starts from the
    /// first snapshot, whose authentication code is not checked: the tool does not have the deployment's key, and nodes
    /// check every change themselves.
    pub(super) async fn read(log: &dyn LogService) -> Result<Self, CtlError> {
        let mut replay = Self::default();
        let mut from = 0;
        let mut has_base_state = true;
        loop {
            let read = log.read(STREAM, from, READ_LIMIT, Duration::ZERO).await;
            let read = read.map_err(CtlError::Read)?;
            if read.first_retained > from {
                from = read.first_retained;
                has_base_state = false;
            }
            for record in &read.records {
                let snapshot = unchecked_snapshot(&record.data);
                let snapshot =
                    snapshot.filter(|s| !has_base_state && s.at + 1 >= read.first_retained);
                if let Some(snapshot) = snapshot {
                    from = snapshot.at + 1;
                    replay.state = State::from_snapshot(snapshot);
                    has_base_state = true;
                    break;
                }
                from = record.offset + 1;
                if has_base_state {
                    replay.apply(record.offset, record.time_ms, &record.data)?;
                }
            }
            if from >= read.next {
                break;
            }
        }
        if has_base_state {
            Ok(replay)
        } else {
            Err(CtlError::NoSnapshot)
        }
    }

    fn apply(&mut self, offset: u64, time_ms: u64, data: &str) -> Result<(), CtlError> {
        let applied = self.state.apply(offset, data);
        let (state, verdict) = applied.map_err(|halt| CtlError::NewerRecord {
            offset,
            cause: halt.to_string(),
        })?;
        self.state = state;
        self.records.push(ReplayedRecord {
            offset,
            time_ms,
            change: parse_change(data),
            verdict,
        });
        Ok(())
    }

    /// Returns the first record of the change `id`, with its verdict.
    pub(super) fn find_change(&self, id: &str) -> Option<&ReplayedRecord> {
        let has_id = |record: &&ReplayedRecord| record.change.as_ref().is_some_and(|c| c.id == id);
        self.records.iter().find(has_id)
    }
}

fn parse_change(data: &str) -> Option<Change> {
    match serde_json::from_str(data).ok()? {
        ConfigRecord::Change { body, .. } => serde_json::from_str(&body).ok(),
        ConfigRecord::Snapshot { .. } => None,
    }
}
