//! Snapshots: the whole configuration in one record, since the log keeps records for a limited time only.

use super::apply::RECORD_VERSION;
use super::state::State;
use super::state::StoredEntry;
use super::state::hex;
use super::state::unhex;
use crate::border::generated::config::ConfigRecord;
use crate::border::generated::config::Snapshot;
use crate::hop::mac;
use crate::settings::DeploymentKey;

impl State {
    /// Makes a snapshot, or nothing before the first record.
    pub fn snapshot(&self) -> Option<Snapshot> {
        Some(Snapshot {
            at: self.version?,
            entries: self.entries().cloned().collect(),
            seen: self.seen.clone(),
        })
    }

    /// Takes the configuration from a snapshot whose origin has been checked.
    pub fn from_snapshot(snapshot: Snapshot) -> Self {
        let mut state = Self {
            version: Some(snapshot.at),
            seen: snapshot.seen,
            ..Self::default()
        };
        for entry in snapshot.entries {
            state.insert(StoredEntry::new(entry));
        }
        state.rehash();
        state
    }
}

/// Writes the record of a snapshot, authenticated by the deployment's key.
pub(super) fn to_record(snapshot: &Snapshot, key: &DeploymentKey) -> Option<String> {
    let body = serde_json::to_string(snapshot).ok()?;
    let record = ConfigRecord::Snapshot {
        v: RECORD_VERSION,
        mac: hex(&mac::code(key, body.as_bytes())),
        body,
    };
    serde_json::to_string(&record).ok()
}

/// Reads the record of a snapshot; gives nothing for other records and for snapshots that no node of this deployment
/// has written.
pub(super) fn from_record(data: &str, key: &DeploymentKey) -> Option<Snapshot> {
    read(data, |body, code| mac::is_valid(key, body, code))
}

/// Reads the record of a snapshot without a check of its origin, which only the operators' tool does.
pub fn unchecked(data: &str) -> Option<Snapshot> {
    read(data, |_, _| true)
}

fn read(data: &str, is_valid: impl Fn(&[u8], &[u8]) -> bool) -> Option<Snapshot> {
    let ConfigRecord::Snapshot { v, body, mac } = serde_json::from_str(data).ok()? else {
        return None;
    };
    if v > RECORD_VERSION || !is_valid(body.as_bytes(), &unhex(&mac)?) {
        return None;
    }
    serde_json::from_str(&body).ok()
}
