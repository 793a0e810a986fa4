//! What nodes and data centres reported last, for as long as it is fresh.

use super::load_table::MAX_LOAD_AGE;
use crate::clock::BootInstant;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// What one sender reported last.
#[derive(Debug)]
struct Row<T> {
    /// Name of a node or of a data centre.
    name: String,
    received_at: BootInstant,
    entries: Vec<T>,
}

#[derive(Debug)]
struct State<T> {
    /// Nodes that this node serves as relay, and itself.
    members: Vec<Row<T>>,
    /// Other data centres.
    centres: Vec<Row<T>>,
}

/// Entries that a relay received from the nodes of its data centre and from other relays.
#[derive(Debug)]
pub(super) struct ReportTable<T> {
    state: Mutex<State<T>>,
}

impl<T> Default for ReportTable<T> {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                members: Vec::new(),
                centres: Vec::new(),
            }),
        }
    }
}

impl<T: Clone> ReportTable<T> {
    /// Records the entries of a node of this data centre.
    pub(super) fn record_member(&self, node: &str, entries: Vec<T>, now: BootInstant) {
        upsert(&mut self.lock().members, node, entries, now);
    }

    /// Records the entries of all nodes of another data centre.
    pub(super) fn record_centre(&self, data_centre: &str, entries: Vec<T>, now: BootInstant) {
        upsert(&mut self.lock().centres, data_centre, entries, now);
    }

    /// Returns the entries of this data centre.
    pub(super) fn own_centre(&self, now: BootInstant) -> Vec<T> {
        fresh(&self.lock().members, now).cloned().collect()
    }

    /// Returns the entries of all data centres.
    pub(super) fn all(&self, now: BootInstant) -> Vec<T> {
        let state = self.lock();
        let centres = fresh(&state.centres, now);
        fresh(&state.members, now).chain(centres).cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn fresh<T>(rows: &[Row<T>], now: BootInstant) -> impl Iterator<Item = &T> {
    let rows = rows
        .iter()
        .filter(move |row| now.since(row.received_at) < MAX_LOAD_AGE);
    rows.flat_map(|row| &row.entries)
}

/// Replaces or inserts the row of `name` and removes stale rows.
fn upsert<T>(rows: &mut Vec<Row<T>>, name: &str, entries: Vec<T>, now: BootInstant) {
    rows.retain(|row| row.name != name && now.since(row.received_at) < MAX_LOAD_AGE);
    if !entries.is_empty() {
        rows.push(Row {
            name: name.to_owned(),
            received_at: now,
            entries,
        });
    }
}
