//! Snapshots: records that hold the whole configuration. The log keeps records for a limited time only, so a node that
//! starts later needs a snapshot to replace the records that were removed.

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
    /// Returns a snapshot of the state, or `None` if no record has been applied yet.
    pub fn snapshot(&self) -> Option<Snapshot> {
        Some(Snapshot {
            at: self.version?,
            entries: self.entries().cloned().collect(),
            seen: self.seen.clone(),
        })
    }

    /// Creates the state from `snapshot`. The caller must have verified where the snapshot comes from.
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

/// Serializes `snapshot` as a record with a MAC made with the deployment's key.
pub(super) fn to_record(snapshot: &Snapshot, key: &DeploymentKey) -> Option<String> {
    let body = serde_json::to_string(snapshot).ok()?;
    let record = ConfigRecord::Snapshot {
        v: RECORD_VERSION,
        mac: hex(&mac::code(key, body.as_bytes())),
        body,
    };
    serde_json::to_string(&record).ok()
}

/// Parses a snapshot record. Returns `None` for other records, and for snapshots whose MAC shows that they were not
/// written by a node of this deployment.
pub(super) fn from_record(data: &str, key: &DeploymentKey) -> Option<Snapshot> {
    read(data, |body, code| mac::is_valid(key, body, code))
}

/// Parses a snapshot record without verifying its MAC. Only the operators' tool, which lacks the deployment's key, may
/// use this.
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
