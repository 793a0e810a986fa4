//! Changes, records and fakes shared by the tests.

use crate::border::AppendError;
use crate::border::LogService;
use crate::border::ReadError;
use crate::border::generated::config::Base;
use crate::border::generated::config::Change;
use crate::border::generated::config::ConfigRecord;
use crate::border::generated::config::Object;
use crate::border::generated::config::Operator;
use crate::border::generated::config::Team;
use crate::border::generated::platform::LogRecord;
use crate::border::generated::platform::ReadResponse;
use crate::config::OperatorKey;
use crate::config::RECORD_VERSION;
use crate::config::State;
use crate::config::Verdict;
use crate::config::hex;
use crate::config::kind_of;
use crate::config::name_of;
use crate::settings::DeploymentKey;
use async_trait::async_trait;
use sha2::Digest;
use sha2::Sha256;
use std::sync::Mutex;
use std::time::Duration;

pub(super) fn key() -> OperatorKey {
    OperatorKey::from_seed([7; 32])
}

pub(super) fn deployment_key() -> DeploymentKey {
    "ab".repeat(32).parse().unwrap()
}

pub(super) fn team(name: &str, weight: u32) -> Object {
    Object::Team {
        team: Team {
            name: name.to_owned(),
            key_hashes: vec![hex(&Sha256::digest(name.as_bytes()))],
            weight,
            priority: "interactive".to_owned(),
            excluded_data_centres: Vec::new(),
        },
    }
}

pub(super) fn operator() -> Object {
    Object::Operator {
        operator: Operator {
            name: "op".to_owned(),
            public_key: key().public(),
        },
    }
}

pub(super) fn change(id: &str, read: Option<u64>, put: Vec<(Object, Option<u64>)>) -> Change {
    let base = |(object, version): &(Object, Option<u64>)| Base {
        kind: kind_of(object).as_str().to_owned(),
        name: name_of(object).to_owned(),
        version: *version,
    };
    Change {
        id: id.to_owned(),
        operator: "op".to_owned(),
        read,
        note: String::new(),
        bases: put.iter().map(base).collect(),
        put: put.into_iter().map(|(object, _)| object).collect(),
        delete: Vec::new(),
    }
}

pub(super) fn signed_record(change: &Change, key: &OperatorKey) -> String {
    let body = serde_json::to_string(change).unwrap();
    let record = ConfigRecord::Change {
        signature: Some(key.sign(&body)),
        body,
        v: RECORD_VERSION,
    };
    serde_json::to_string(&record).unwrap()
}

/// Returns the first record of a stream, which declares the operator `op` and the team `falun`.
pub(super) fn first_record() -> String {
    let put = vec![(operator(), None), (team("falun", 1), None)];
    signed_record(&change("first", None, put), &key())
}

/// Returns a signed change that sets a team's weight, written against `base`, the version of the team.
pub(super) fn weight_record(
    id: &str,
    read: u64,
    name: &str,
    weight: u32,
    base: Option<u64>,
) -> String {
    let put = vec![(team(name, weight), base)];
    signed_record(&change(id, Some(read), put), &key())
}

/// Applies `records` from offset 0 on to an empty state.
pub(super) fn replay(records: &[String]) -> (State, Vec<Verdict>) {
    replay_from(State::default(), records)
}

/// Applies those of `records` that `state` does not include yet.
pub(super) fn replay_from(state: State, records: &[String]) -> (State, Vec<Verdict>) {
    let mut state = state;
    let mut verdicts = Vec::new();
    let from = state.next_offset() as usize;
    for (offset, record) in records.iter().enumerate().skip(from) {
        let (next, verdict) = state.apply(offset as u64, record).unwrap();
        state = next;
        verdicts.push(verdict);
    }
    (state, verdicts)
}

/// A log in memory that can be unavailable or have removed its first records.
#[derive(Default)]
pub(super) struct FakeLog {
    pub(super) records: Mutex<Vec<String>>,
    pub(super) first_retained: u64,
    pub(super) is_down: bool,
}

#[async_trait]
impl LogService for FakeLog {
    async fn append(&self, _stream: &str, data: &str) -> Result<u64, AppendError> {
        if self.is_down {
            return Err(AppendError::NotAppended("down".to_owned()));
        }
        let mut records = self.records.lock().unwrap();
        records.push(data.to_owned());
        Ok(records.len() as u64 - 1)
    }

    async fn read(
        &self,
        _stream: &str,
        from: u64,
        limit: u32,
        _wait: Duration,
    ) -> Result<ReadResponse, ReadError> {
        if self.is_down {
            return Err(ReadError::Unavailable("down".to_owned()));
        }
        let records = self.records.lock().unwrap();
        let start = from.max(self.first_retained);
        let kept = records.iter().enumerate().skip(start as usize);
        let kept = kept.take(limit as usize).map(|(offset, data)| LogRecord {
            offset: offset as u64,
            time_ms: 0,
            data: data.clone(),
        });
        Ok(ReadResponse {
            first_retained: self.first_retained,
            next: records.len() as u64,
            records: kept.collect(),
        })
    }
}
