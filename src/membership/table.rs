//! Versioned records of all nodes, and how a newer one replaces an older one.

use super::record::NodeStatus;
use super::record::Record;
use std::time::Duration;
use std::time::Instant;

/// A record with what this node alone knows of it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) record: Record,
    /// Count of changes of the table at which it came in.
    pub(super) change_number: u64,
    /// When it came in.
    pub(super) changed_at: Instant,
}

/// What became of a record that was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ApplyOutcome {
    /// It was newer and is in force.
    Newer,
    /// It was known already, or a newer one is.
    Known,
    /// It is of an incarnation that has ended.
    OldIncarnation,
    /// It says that this node is suspected or gone, and was answered by a newer record.
    Refuted,
    /// Another process, started later, goes by this node's name.
    NameTaken,
}

/// Records of all nodes that were ever heard of.
#[derive(Debug)]
pub(super) struct Table {
    own_record: Record,
    // Sorted by name.
    entries: Vec<Entry>,
    change_count: u64,
    digest: u64,
}

impl Table {
    /// Makes a table that holds this node's own first record.
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

    /// Gives this node's own record.
    pub(super) fn own_record(&self) -> &Record {
        &self.own_record
    }

    /// Counts the changes so far.
    pub(super) fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Gives a digest that is equal where the records are.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Lists the records that came in after the change numbered `stamp`.
    pub(super) fn changed_since(&self, change_number: u64) -> Vec<Record> {
        let newer = self
            .entries
            .iter()
            .filter(|entry| entry.change_number > change_number);
        newer.map(|entry| entry.record.clone()).collect()
    }

    /// Finds the record of a node.
    pub(super) fn get(&self, name: &str) -> Option<&Record> {
        let found = self.find(name).ok();
        found.map(|i| &self.entries[i].record)
    }

    /// Takes in a record that was received.
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

    /// Marks a live node as suspected; tells whether that is news.
    pub(super) fn suspect(&mut self, name: &str, now: Instant) -> bool {
        let live = self.get(name).filter(|r| r.status == NodeStatus::Live);
        let Some(record) = live.cloned() else {
            return false;
        };
        self.insert(record.with_status(NodeStatus::Suspect), now);
        true
    }

    /// Marks the nodes that have been suspected for `limit` as dead; gives their names.
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

    /// Announces that this node is leaving.
    pub(super) fn announce_leaving(&mut self, now: Instant) {
        self.own_record.sequence += 1;
        self.own_record.status = NodeStatus::Leaving;
        self.insert(self.own_record.clone(), now);
    }

    fn apply_own(&mut self, record: &Record, now: Instant) -> ApplyOutcome {
        if record.precedence() <= self.own_record.precedence() {
            return ApplyOutcome::Known;
        }
        let is_later_process = record.incarnation > self.own_record.incarnation;
        if is_later_process && record.status == NodeStatus::Live {
            return ApplyOutcome::NameTaken;
        }
        // A former self whose clock was ahead has ended; this process goes on after it.
        if is_later_process {
            self.own_record.incarnation = record.incarnation + 1;
        }
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
