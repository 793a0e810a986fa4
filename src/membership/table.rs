//! Versioned records of all nodes, and how a newer one replaces an older one.

use super::record::Record;
use super::record::Standing;
use std::time::Duration;
use std::time::Instant;

/// A record with what this node alone knows of it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) record: Record,
    /// Count of changes of the table at which it came in.
    pub(super) stamp: u64,
    /// When it came in.
    pub(super) since: Instant,
}

/// What became of a record that was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Applied {
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
    me: Record,
    // Sorted by name.
    entries: Vec<Entry>,
    stamp: u64,
    digest: u64,
}

impl Table {
    /// Makes a table that holds this node's own first record.
    pub(super) fn new(name: &str, incarnation: u64) -> Self {
        let me = Record {
            name: name.to_owned(),
            incarnation,
            sequence: 1,
            standing: Standing::Live,
        };
        let mut table = Self {
            me: me.clone(),
            entries: Vec::new(),
            stamp: 0,
            digest: 0,
        };
        table.put(me, Instant::now());
        table
    }

    /// Gives this node's own record.
    pub(super) fn me(&self) -> &Record {
        &self.me
    }

    /// Counts the changes so far.
    pub(super) fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Gives a digest that is equal where the records are.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Lists the records that came in after the change numbered `stamp`.
    pub(super) fn after(&self, stamp: u64) -> Vec<Record> {
        let newer = self.entries.iter().filter(|entry| entry.stamp > stamp);
        newer.map(|entry| entry.record.clone()).collect()
    }

    /// Finds the record of a node.
    pub(super) fn get(&self, name: &str) -> Option<&Record> {
        let found = self.find(name).ok();
        found.map(|i| &self.entries[i].record)
    }

    /// Takes in a record that was received.
    pub(super) fn apply(&mut self, record: &Record, now: Instant) -> Applied {
        if record.name == self.me.name {
            return self.apply_own(record, now);
        }
        match self.get(&record.name) {
            Some(known) if record.incarnation < known.incarnation => Applied::OldIncarnation,
            Some(known) if record.rank() <= known.rank() => Applied::Known,
            _ => {
                self.put(record.clone(), now);
                Applied::Newer
            }
        }
    }

    /// Marks a live node as suspected; tells whether that is news.
    pub(super) fn suspect(&mut self, name: &str, now: Instant) -> bool {
        let live = self.get(name).filter(|r| r.standing == Standing::Live);
        let Some(record) = live.cloned() else {
            return false;
        };
        self.put(record.with(Standing::Suspect), now);
        true
    }

    /// Marks the nodes that have been suspected for `limit` as dead; gives their names.
    pub(super) fn expire(&mut self, limit: Duration, now: Instant) -> Vec<String> {
        let is_due = |entry: &&Entry| {
            entry.record.standing == Standing::Suspect
                && now.saturating_duration_since(entry.since) >= limit
        };
        let due: Vec<Record> = self
            .entries
            .iter()
            .filter(is_due)
            .map(|entry| entry.record.clone())
            .collect();
        for record in &due {
            self.put(record.with(Standing::Dead), now);
        }
        due.into_iter().map(|record| record.name).collect()
    }

    /// Announces that this node is leaving.
    pub(super) fn leave(&mut self, now: Instant) {
        self.me.sequence += 1;
        self.me.standing = Standing::Leaving;
        self.put(self.me.clone(), now);
    }

    fn apply_own(&mut self, record: &Record, now: Instant) -> Applied {
        if record.rank() <= self.me.rank() {
            return Applied::Known;
        }
        let is_later = record.incarnation > self.me.incarnation;
        if is_later && record.standing == Standing::Live {
            return Applied::NameTaken;
        }
        // A former self whose clock was ahead has ended; this process goes on after it.
        if is_later {
            self.me.incarnation = record.incarnation + 1;
        }
        self.me.sequence = record.sequence + 1;
        self.put(self.me.clone(), now);
        Applied::Refuted
    }

    fn put(&mut self, record: Record, now: Instant) {
        self.stamp += 1;
        self.digest ^= record.digest();
        let entry = Entry {
            record,
            stamp: self.stamp,
            since: now,
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
