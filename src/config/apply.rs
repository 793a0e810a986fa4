//! Applies one record of the config stream to a state.
//!
//! The function is deterministic: every node that applies the same records gets the same state.

use super::object::ObjectKind;
use super::object::kind_of;
use super::object::name_of;
use super::signature;
use super::state::State;
use super::state::StoredEntry;
use crate::border::generated::config::Base;
use crate::border::generated::config::Change;
use crate::border::generated::config::ConfigRecord;
use crate::border::generated::config::Entry;
use crate::border::generated::config::Object;
use crate::border::generated::config::Seen;
use serde_json::Value;
use std::fmt;
use std::sync::Arc;

/// Newest version of the record format that this program reads and writes.
pub const RECORD_VERSION: u32 = 1;
/// Number of records after which a change is refused as expired, counted from the version it was written against. Until
/// then its id is remembered, so that appending the same change again has no effect.
pub(super) const CHANGE_WINDOW_RECORDS: u64 = 512;

/// Result of applying a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The change was accepted and is in force.
    Accepted,
    /// The record was refused and changes nothing but the version.
    Refused(RefusalReason),
    /// The record is a snapshot, which changes nothing on a node that has applied all records before it.
    Snapshot,
}

/// Reason why a record was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The record, or the change in it, can't be parsed; holds the cause.
    Unreadable(String),
    /// The operator is not declared, or the signature is not that operator's.
    NotAuthentic,
    /// A change with the same id was accepted before.
    Duplicate,
    /// More than `CHANGE_WINDOW_RECORDS` records were appended between the writing of the change and its append.
    Expired,
    /// An object that the change depends on was changed after the change was written.
    Stale(StaleBase),
    /// The change is malformed, contradicts itself, or would leave no operator who could change the configuration;
    /// holds the cause.
    Invalid(&'static str),
}

/// An object whose version is no longer the one that a change was written against.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StaleBase {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: String,
    /// Version that the change was written against; `None` if the object did not exist.
    pub base_version: Option<u64>,
    /// Version in force; `None` if the object was deleted.
    pub current_version: Option<u64>,
    /// Operator whose change set the version in force.
    pub changed_by: Option<String>,
}

/// Record that this version of the program does not support.
///
/// The node must stop applying there: if it skipped the record, its state would differ from that of nodes with a newer
/// version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UnsupportedRecord {
    /// The kind of the record, or of an object in it, is unknown.
    UnknownKind(String),
    /// The version of the record format is newer than `RECORD_VERSION`.
    NewerVersion(u64),
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(cause) => write!(f, "the record can't be read: {cause}"),
            Self::NotAuthentic => f.write_str("the operator is not declared or did not sign it"),
            Self::Duplicate => f.write_str("the change took effect before"),
            Self::Expired => f.write_str("the change came too long after it was written"),
            Self::Stale(stale) => stale.fmt(f),
            Self::Invalid(cause) => f.write_str(cause),
        }
    }
}

impl fmt::Display for StaleBase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} was ", self.kind, self.name)?;
        match (self.current_version, &self.changed_by) {
            (Some(version), Some(operator)) => {
                write!(f, "changed at version {version} by operator {operator}")
            }
            _ => f.write_str("deleted"),
        }
    }
}

impl fmt::Display for UnsupportedRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownKind(kind) => write!(f, "kind \"{kind}\" is not known to this version"),
            Self::NewerVersion(version) => {
                write!(
                    f,
                    "records of version {version} are newer than this program"
                )
            }
        }
    }
}

/// Error of applying a record: either the record is refused, or applying must stop.
enum ApplyError {
    Refused(RefusalReason),
    Unsupported(UnsupportedRecord),
}

impl From<RefusalReason> for ApplyError {
    fn from(refused: RefusalReason) -> Self {
        Self::Refused(refused)
    }
}

impl From<UnsupportedRecord> for ApplyError {
    fn from(unsupported: UnsupportedRecord) -> Self {
        Self::Unsupported(unsupported)
    }
}

impl State {
    /// Applies the record at `offset` and returns the state after it. A refused record increases the version and
    /// changes nothing else.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is of a kind or version that this program does not support; the caller must stop
    /// applying there.
    pub fn apply(&self, offset: u64, data: &str) -> Result<(Self, Verdict), UnsupportedRecord> {
        let mut next = self.clone();
        next.version = Some(offset);
        let verdict = match next.try_apply(offset, data) {
            Ok(verdict) => verdict,
            Err(ApplyError::Refused(refused)) => Verdict::Refused(refused),
            Err(ApplyError::Unsupported(unsupported)) => return Err(unsupported),
        };
        Ok((next, verdict))
    }

    /// Returns the state that would result if `change` were appended next. Does not check the signature.
    ///
    /// # Errors
    ///
    /// Returns the reason why the change would be refused.
    pub fn preview(&self, change: &Change) -> Result<Self, RefusalReason> {
        let offset = self.next_offset();
        let mut next = self.clone();
        // Confirming a plan sets `read` to the version in force then, so a plan does not expire by its age.
        let change = Change {
            read: self.version,
            ..change.clone()
        };
        next.check_change(offset, &change)?;
        next.version = Some(offset);
        next.apply_change(offset, change);
        Ok(next)
    }

    fn try_apply(&mut self, offset: u64, data: &str) -> Result<Verdict, ApplyError> {
        let (body, signature) = match read_record(data)? {
            ConfigRecord::Snapshot { .. } => return Ok(Verdict::Snapshot),
            ConfigRecord::Change {
                body, signature, ..
            } => (body, signature),
        };
        let value: Value = serde_json::from_str(&body).map_err(unreadable)?;
        self.check_signature(&value, &body, signature.as_deref())?;
        check_kinds(&value)?;
        let change: Change = serde_json::from_value(value).map_err(unreadable)?;
        self.check_change(offset, &change)?;
        self.apply_change(offset, change);
        Ok(Verdict::Accepted)
    }

    /// Checks that a declared operator signed the change. While no operator is declared, any change is accepted.
    fn check_signature(
        &self,
        value: &Value,
        body: &str,
        signature: Option<&str>,
    ) -> Result<(), RefusalReason> {
        if self.operators().next().is_none() {
            return Ok(());
        }
        let name = value["operator"].as_str().unwrap_or_default();
        let operator = self.operators().find(|operator| operator.name == name);
        let is_valid = operator
            .zip(signature)
            .is_some_and(|(operator, signature)| {
                signature::is_valid(&operator.public_key, body, signature)
            });
        if is_valid {
            Ok(())
        } else {
            Err(RefusalReason::NotAuthentic)
        }
    }

    fn check_change(&self, offset: u64, change: &Change) -> Result<(), RefusalReason> {
        if self.seen.iter().any(|seen| seen.id == change.id) {
            return Err(RefusalReason::Duplicate);
        }
        // Offset of the first record that was not yet applied when the change was written.
        let written_at = change.read.map_or(0, |read| read + 1);
        if written_at > offset {
            return Err(RefusalReason::Invalid(
                "the change is written against a later version",
            ));
        }
        if offset - written_at > CHANGE_WINDOW_RECORDS {
            return Err(RefusalReason::Expired);
        }
        check_touched_objects(change)?;
        for base in &change.bases {
            self.check_base(base)?;
        }
        self.check_operator_remains(change)
    }

    /// Checks that an object still has the version that the change was written against.
    fn check_base(&self, base: &Base) -> Result<(), RefusalReason> {
        let kind: ObjectKind = base
            .kind
            .parse()
            .map_err(|_| RefusalReason::Invalid("a base is of an unknown kind"))?;
        let entry = self.entry(kind, &base.name);
        let current_version = entry.map(|entry| entry.version);
        if current_version == base.version {
            return Ok(());
        }
        Err(RefusalReason::Stale(StaleBase {
            kind,
            name: base.name.clone(),
            base_version: base.version,
            current_version,
            changed_by: entry.map(|entry| entry.operator.clone()),
        }))
    }

    /// Refuses a change that deletes all operators and adds none. Passes if no operator is declared yet.
    fn check_operator_remains(&self, change: &Change) -> Result<(), RefusalReason> {
        let operator = ObjectKind::Operator;
        let is_deleted = |name: &str| {
            let mut deleted = change.delete.iter();
            deleted.any(|object| object.kind == operator.as_str() && object.name == name)
        };
        let has_remaining_operator = self.operators().any(|operator| !is_deleted(&operator.name));
        let adds_operator = change.put.iter().any(|object| kind_of(object) == operator);
        let has_operators = self.operators().next().is_some();
        if has_operators && !has_remaining_operator && !adds_operator {
            return Err(RefusalReason::Invalid("the change would leave no operator"));
        }
        Ok(())
    }

    fn apply_change(&mut self, offset: u64, change: Change) {
        for object in &change.delete {
            let found = object
                .kind
                .parse()
                .map(|kind| self.find(kind, &object.name));
            if let Ok(Ok(index)) = found {
                self.stored.remove(index);
            }
        }
        for object in change.put {
            let stored = StoredEntry::new(Entry {
                version: offset,
                change: change.id.clone(),
                operator: change.operator.clone(),
                object,
            });
            self.insert(stored);
        }
        self.seen
            .retain(|seen| offset.saturating_sub(seen.offset) <= CHANGE_WINDOW_RECORDS);
        self.seen.push(Seen {
            offset,
            id: change.id,
        });
        self.rehash();
    }

    pub(super) fn insert(&mut self, stored: StoredEntry) {
        let found = self.find(stored.kind, name_of(&stored.entry.object));
        let stored = Arc::new(stored);
        match found {
            Ok(index) => self.stored[index] = stored,
            Err(index) => self.stored.insert(index, stored),
        }
    }
}

fn unreadable(err: serde_json::Error) -> RefusalReason {
    RefusalReason::Unreadable(err.to_string())
}

fn read_record(data: &str) -> Result<ConfigRecord, ApplyError> {
    let value: Value = serde_json::from_str(data).map_err(unreadable)?;
    let kind = value["kind"]
        .as_str()
        .ok_or_else(|| RefusalReason::Unreadable("it has no kind".to_owned()))?;
    let version = value["v"]
        .as_u64()
        .ok_or_else(|| RefusalReason::Unreadable("it has no version".to_owned()))?;
    if version > u64::from(RECORD_VERSION) {
        return Err(UnsupportedRecord::NewerVersion(version).into());
    }
    if !matches!(kind, "change" | "snapshot") {
        return Err(UnsupportedRecord::UnknownKind(kind.to_owned()).into());
    }
    serde_json::from_value(value).map_err(|err| unreadable(err).into())
}

/// Returns an error if the change sets an object of an unknown kind. Runs after the signature check, so that only a
/// declared operator can make nodes stop in this way.
fn check_kinds(value: &Value) -> Result<(), UnsupportedRecord> {
    let objects = value["put"].as_array().map_or(&[][..], Vec::as_slice);
    let kinds = objects.iter().filter_map(|object| object["kind"].as_str());
    let mut unknown = kinds.filter(|kind| kind.parse::<ObjectKind>().is_err());
    match unknown.next() {
        Some(kind) => Err(UnsupportedRecord::UnknownKind(kind.to_owned())),
        None => Ok(()),
    }
}

/// Checks that each object that the change sets or deletes has a name and a base version, and occurs only once.
fn check_touched_objects(change: &Change) -> Result<(), RefusalReason> {
    let put = change.put.iter().map(kind_and_name);
    let deleted = change
        .delete
        .iter()
        .map(|object| (object.kind.as_str(), object.name.as_str()));
    let mut touched: Vec<(&str, &str)> = put.chain(deleted).collect();
    touched.sort_unstable();
    if touched.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err(RefusalReason::Invalid("the change touches an object twice"));
    }
    if touched.iter().any(|(_, name)| name.is_empty()) {
        return Err(RefusalReason::Invalid("an object has no name"));
    }
    let has_base = |(kind, name): &(&str, &str)| {
        let mut bases = change.bases.iter();
        bases.any(|base| base.kind == *kind && base.name == *name)
    };
    if !touched.iter().all(has_base) {
        return Err(RefusalReason::Invalid("an object has no base version"));
    }
    Ok(())
}

fn kind_and_name(object: &Object) -> (&str, &str) {
    (kind_of(object).as_str(), name_of(object))
}
