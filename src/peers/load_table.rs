//! Loads of other nodes and data centres, as last received.

use super::load_entry::LoadEntry;
use crate::clock::BootInstant;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Maximum age at which received loads are still counted: several sync intervals, so that a few lost requests do not
/// drop a sender's loads.
pub(super) const MAX_LOAD_AGE: Duration = Duration::from_millis(1_500);

/// The last loads received from one sender.
#[derive(Debug)]
struct Row {
    /// Name of a node or of a data centre.
    name: String,
    received_at: BootInstant,
    loads: Vec<LoadEntry>,
}

#[derive(Debug, Default)]
struct State {
    /// This node's own loads, and when they were recorded.
    own: (BootInstant, Vec<LoadEntry>),
    /// Loads of the nodes that this node serves as relay, sorted by node.
    members: Vec<Row>,
    /// Loads of the other data centres, sorted by data centre.
    centres: Vec<Row>,
}

/// Loads that a relay received from the nodes of its data centre and from the relays of the other data centres.
#[derive(Debug, Default)]
pub struct LoadTable {
    state: Mutex<State>,
}

impl LoadTable {
    /// Records this node's own loads.
    pub fn record_own(&self, loads: Vec<LoadEntry>, now: BootInstant) {
        self.lock().own = (now, loads);
    }

    /// Records the loads received from a node that this node serves as relay.
    pub fn record_member(&self, node: &str, loads: Vec<LoadEntry>, now: BootInstant) {
        upsert(&mut self.lock().members, node, loads, now);
    }

    /// Records the loads of another data centre.
    pub fn record_centre(&self, data_centre: &str, loads: Vec<LoadEntry>, now: BootInstant) {
        upsert(&mut self.lock().centres, data_centre, loads, now);
    }

    /// Returns the sum of this data centre's loads, including this node's own.
    pub fn own_centre(&self, now: BootInstant) -> Vec<LoadEntry> {
        let state = self.lock();
        sum_aged(state.own_rows(now))
    }

    /// Returns the sum of the loads of all data centres.
    pub fn all(&self, now: BootInstant) -> Vec<LoadEntry> {
        let state = self.lock();
        sum_aged(state.own_rows(now).chain(fresh(&state.centres, now)))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the loads of the nodes of this data centre, each with its age.
    fn own_rows(&self, now: BootInstant) -> impl Iterator<Item = (Duration, &[LoadEntry])> {
        let (recorded_at, own) = &self.own;
        fresh(&self.members, now).chain([(now.since(*recorded_at), own.as_slice())])
    }
}

/// Returns the rows that are not stale, each with its age.
fn fresh(rows: &[Row], now: BootInstant) -> impl Iterator<Item = (Duration, &[LoadEntry])> {
    let rows = rows
        .iter()
        .map(move |row| (now.since(row.received_at), row));
    rows.filter(|(age, _)| *age < MAX_LOAD_AGE)
        .map(|(age, row)| (age, row.loads.as_slice()))
}

/// Replaces or inserts the row of `name` and removes the rows of other senders that are stale.
fn upsert(rows: &mut Vec<Row>, name: &str, loads: Vec<LoadEntry>, now: BootInstant) {
    rows.retain(|row| now.since(row.received_at) < MAX_LOAD_AGE || row.name == name);
    let row = Row {
        name: name.to_owned(),
        received_at: now,
        loads,
    };
    match rows.binary_search_by(|known| known.name.as_str().cmp(name)) {
        Ok(at) => rows[at] = row,
        Err(at) => rows.insert(at, row),
    }
}

/// Returns `loads` as they are after `time`.
pub(super) fn aged(loads: &[LoadEntry], time: Duration) -> Vec<LoadEntry> {
    let mut loads = loads.to_vec();
    loads.iter_mut().for_each(|entry| entry.age_by(time));
    loads
}

/// Sums loads by backend server; the result is sorted by server name.
pub(super) fn sum_loads<'a>(all: impl Iterator<Item = &'a [LoadEntry]>) -> Vec<LoadEntry> {
    sum_aged(all.map(|loads| (Duration::ZERO, loads)))
}

/// Sums loads of the given ages by backend server; the result is sorted by server name. A relay does this for each request
/// of each node that it serves, so no entry is copied but the first of each server.
fn sum_aged<'a>(all: impl Iterator<Item = (Duration, &'a [LoadEntry])>) -> Vec<LoadEntry> {
    let mut entries: Vec<(&LoadEntry, Duration)> = all
        .flat_map(|(age, loads)| loads.iter().map(move |entry| (entry, age)))
        .collect();
    entries.sort_by(|(a, _), (b, _)| a.server.cmp(&b.server));
    let mut sum: Vec<LoadEntry> = Vec::new();
    for (entry, age) in entries {
        match sum.last_mut() {
            Some(last) if last.server == entry.server => last.add(entry, age),
            _ => {
                let mut first = entry.clone();
                first.age_by(age);
                sum.push(first);
            }
        }
    }
    sum
}

/// Returns `sum` minus the node's own loads; `own` must be sorted by server name.
pub(super) fn subtract_own(sum: Vec<LoadEntry>, own: &[LoadEntry]) -> Vec<LoadEntry> {
    let mut rest = sum;
    for entry in &mut rest {
        let found = own.binary_search_by(|known| known.server.cmp(&entry.server));
        if let Ok(index) = found {
            entry.subtract(&own[index]);
        }
    }
    rest
}
