//! Reads the whole config stream and replays it, as nodes do.

use super::CtlError;
use crate::border::LogService;
use crate::border::generated::config::Change;
use crate::border::generated::config::ConfigRecord;
use crate::config::STREAM;
use crate::config::State;
use crate::config::Verdict;
use crate::config::unchecked_snapshot;
use std::time::Duration;

/// Records that one read asks for.
const READ_LIMIT: u32 = 500;

/// One record of the stream with what came of it.
#[derive(Clone, Debug)]
pub(super) struct ReplayedRecord {
    pub(super) offset: u64,
    /// The log's time of the append, in milliseconds since 1970.
    pub(super) time_ms: u64,
    /// The change, where the record is one that can be read.
    pub(super) change: Option<Change>,
    pub(super) verdict: Verdict,
}

/// The state in force with the records that led to it, as far as the log still holds them.
#[derive(Clone, Debug, Default)]
pub(super) struct Replay {
    pub(super) state: State,
    pub(super) records: Vec<ReplayedRecord>,
}

impl Replay {
    /// Reads everything that the log holds. Where it has forgotten its start, the first snapshot is taken on trust: the
    /// tool has no key of the deployment, and nodes check every change by themselves.
    pub(super) async fn read(log: &dyn LogService) -> Result<Self, CtlError> {
        let mut replay = Self::default();
        let mut from = 0;
        let mut is_started = true;
        loop {
            let read = log.read(STREAM, from, READ_LIMIT, Duration::ZERO).await;
            let read = read.map_err(CtlError::Read)?;
            if read.first_retained > from {
                from = read.first_retained;
                is_started = false;
            }
            for record in &read.records {
                let snapshot = unchecked_snapshot(&record.data);
                let snapshot = snapshot.filter(|s| !is_started && s.at + 1 >= read.first_retained);
                if let Some(snapshot) = snapshot {
                    from = snapshot.at + 1;
                    replay.state = State::from_snapshot(snapshot);
                    is_started = true;
                    break;
                }
                from = record.offset + 1;
                if is_started {
                    replay.apply(record.offset, record.time_ms, &record.data)?;
                }
            }
            if from >= read.next {
                break;
            }
        }
        if is_started {
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
            change: change_of(data),
            verdict,
        });
        Ok(())
    }

    /// Gives what came of the first record of the change `id`.
    pub(super) fn find_change(&self, id: &str) -> Option<&ReplayedRecord> {
        let is_it = |record: &&ReplayedRecord| record.change.as_ref().is_some_and(|c| c.id == id);
        self.records.iter().find(is_it)
    }
}

fn change_of(data: &str) -> Option<Change> {
    match serde_json::from_str(data).ok()? {
        ConfigRecord::Change { body, .. } => serde_json::from_str(&body).ok(),
        ConfigRecord::Snapshot { .. } => None,
    }
}
