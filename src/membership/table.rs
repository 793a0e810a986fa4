//! Table of the newest known record of each node, and the rules by which a newer record replaces an older one.
//!
//! Of two records of a node, the one with the higher [precedence](Record::precedence) is newer. It is ordered first by
//! the incarnation, which normally rises at each start of the node's process, then by the sequence number, which only
//! the node itself raises within one incarnation, and last by the status.

use super::record::NodeStatus;
use super::record::Record;
use std::time::Duration;
use std::time::Instant;

/// A record with data that is local to this node.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) record: Record,
    /// Number of the change to the table that inserted the record.
    pub(super) change_number: u64,
    /// When the record was inserted.
    pub(super) changed_at: Instant,
}

/// Result of applying a received record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ApplyOutcome {
    /// The record was inserted: it is newer than the known one, or none was known.
    Newer,
    /// The same record or a newer one was known already.
    Known,
    /// The record of another node is of an older incarnation than the known one. It is distinguished from
    /// [`Known`](Self::Known) because it is counted as a refusal.
    OldIncarnation,
    /// The record had precedence over this node's own one, for example because it reports a suspicion, and was refuted
    /// by a newer own record.
    Refuted,
    /// The record is of a live process with this node's name that started later. The table is unchanged.
    NameTaken,
}

/// The newest record of each node that was ever received, and of this node.
#[derive(Debug)]
pub(super) struct Table {
    own_record: Record,
    // Sorted by name.
    entries: Vec<Entry>,
    /// Number of changes so far, which is also the number of the last change.
    change_count: u64,
    digest: u64,
}

impl Table {
    /// Creates a table with the first record of this node.
    pub(super) fn new(name: &str, incarnation: u64) -> Self {
        let own_record = Record {
            name: name.to_owned(),
            incarnation,
            sequence: 1,
            status: NodeStatus::Live,
        };
        let mut table = Self {
            own_record: own_record.clone(),
            entries: Vec::new(),
            change_count: 0,
            digest: 0,
        };
        table.insert(own_record, Instant::now());
        table
    }

    /// Returns this node's own record.
    pub(super) fn own_record(&self) -> &Record {
        &self.own_record
    }

    /// Returns the number of changes to the table so far.
    pub(super) fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns a digest of all records. Tables with equal records have equal digests, whatever the order of changes.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the records that were inserted after the change with the number `change_number`.
    pub(super) fn changed_since(&self, change_number: u64) -> Vec<Record> {
        let newer = self
            .entries
            .iter()
            .filter(|entry| entry.change_number > change_number);
        newer.map(|entry| entry.record.clone()).collect()
    }

    /// Returns the record of a node, if one is known.
    pub(super) fn get(&self, name: &str) -> Option<&Record> {
        let found = self.find(name).ok();
        found.map(|i| &self.entries[i].record)
    }

    /// Applies a received record.
    pub(super) fn apply(&mut self, record: &Record, now: Instant) -> ApplyOutcome {
        if record.name == self.own_record.name {
            return self.apply_own(record, now);
        }
        match self.get(&record.name) {
            Some(known) if record.incarnation < known.incarnation => ApplyOutcome::OldIncarnation,
            Some(known) if record.precedence() <= known.precedence() => ApplyOutcome::Known,
            _ => {
                self.insert(record.clone(), now);
                ApplyOutcome::Newer
            }
        }
    }

    /// Marks a live node as suspected. Returns `false` if the node is unknown or not live.
    pub(super) fn suspect(&mut self, name: &str, now: Instant) -> bool {
        let live = self.get(name).filter(|r| r.status == NodeStatus::Live);
        let Some(record) = live.cloned() else {
            return false;
        };
        self.insert(record.with_status(NodeStatus::Suspect), now);
        true
    }

    /// Marks the nodes that have been suspected for at least `limit` as dead, and returns their names. The time is
    /// measured from when this node learned of the suspicion.
    pub(super) fn expire_suspects(&mut self, limit: Duration, now: Instant) -> Vec<String> {
        let is_due = |entry: &&Entry| {
            entry.record.status == NodeStatus::Suspect
                && now.saturating_duration_since(entry.changed_at) >= limit
        };
        let due: Vec<Record> = self
            .entries
            .iter()
            .filter(is_due)
            .map(|entry| entry.record.clone())
            .collect();
        for record in &due {
            self.insert(record.with_status(NodeStatus::Dead), now);
        }
        due.into_iter().map(|record| record.name).collect()
    }

    /// Announces that this node is leaving. This only changes its own record, which is sent to the peers with the next
    /// changes.
    pub(super) fn announce_leaving(&mut self, now: Instant) {
        self.own_record.sequence += 1;
        self.own_record.status = NodeStatus::Leaving;
        self.insert(self.own_record.clone(), now);
    }

    fn apply_own(&mut self, record: &Record, now: Instant) -> ApplyOutcome {
        if record.precedence() <= self.own_record.precedence() {
            return ApplyOutcome::Known;
        }
        let has_higher_incarnation = record.incarnation > self.own_record.incarnation;
        if has_higher_incarnation && record.status == NodeStatus::Live {
            return ApplyOutcome::NameTaken;
        }
        // A record with a higher incarnation that is not live is taken for one of an earlier process of this node whose
        // clock was ahead and which has ended. This process takes the next higher incarnation, so that its records have
        // precedence.
        if has_higher_incarnation {
            self.own_record.incarnation = record.incarnation + 1;
        }
        // Within the same incarnation, the higher sequence number gives the own record precedence.
        self.own_record.sequence = record.sequence + 1;
        self.insert(self.own_record.clone(), now);
        ApplyOutcome::Refuted
    }

    fn insert(&mut self, record: Record, now: Instant) {
        self.change_count += 1;
        self.digest ^= record.digest();
        let entry = Entry {
            record,
            change_number: self.change_count,
            changed_at: now,
        };
        match self.find(&entry.record.name) {
            Ok(i) => {
                self.digest ^= self.entries[i].record.digest();
                self.entries[i] = entry;
            }
            Err(i) => self.entries.insert(i, entry),
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.record.name.as_str().cmp(name))
    }
}
