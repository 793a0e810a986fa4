//! Loads of all gateways, as far as they were told.

use super::message::CentreLoads;
use super::message::LoadEntry;
use crate::clock::Moment;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Age up to which loads that were told count: several questions that went unanswered.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct Row {
    /// Name of a node, or of a data centre.
    name: String,
    received_at: Moment,
    loads: Vec<LoadEntry>,
}

#[derive(Debug, Default)]
struct State {
    own: Vec<LoadEntry>,
    members: Vec<Row>,
    centres: Vec<Row>,
}

/// Loads that a relay was told by the nodes of its data centre and by the relays of the others.
#[derive(Debug, Default)]
pub struct LoadTable {
    state: Mutex<State>,
}

impl LoadTable {
    /// Notes this node's own loads.
    pub fn record_own(&self, loads: Vec<LoadEntry>) {
        self.lock().own = loads;
    }

    /// Notes the loads of a node of this data centre.
    pub fn record_member(&self, node: &str, loads: Vec<LoadEntry>, now: Moment) {
        upsert(&mut self.lock().members, node, loads, now);
    }

    /// Notes the loads of another data centre.
    pub fn record_centre(&self, data_centre: &str, loads: Vec<LoadEntry>, now: Moment) {
        upsert(&mut self.lock().centres, data_centre, loads, now);
    }

    /// Adds up the loads of this data centre, this node's among them.
    pub fn own_centre(&self, now: Moment) -> Vec<LoadEntry> {
        let state = self.lock();
        let fresh = state
            .members
            .iter()
            .filter(|row| now.since(row.received_at) < MAX_LOAD_AGE);
        let all = fresh
            .map(|row| row.loads.as_slice())
            .chain([state.own.as_slice()]);
        sum_loads(all)
    }

    /// Gives the loads of every data centre, `own` being the name of this one.
    pub(super) fn all_centres(&self, own: &str, now: Moment) -> Vec<CentreLoads> {
        let mut centres = vec![CentreLoads {
            data_centre: own.to_owned(),
            loads: self.own_centre(now),
        }];
        let state = self.lock();
        let fresh = state
            .centres
            .iter()
            .filter(|row| now.since(row.received_at) < MAX_LOAD_AGE);
        centres.extend(fresh.map(|row| CentreLoads {
            data_centre: row.name.clone(),
            loads: row.loads.clone(),
        }));
        centres
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn upsert(rows: &mut Vec<Row>, name: &str, loads: Vec<LoadEntry>, now: Moment) {
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

/// Adds loads up by server; the sum is sorted.
pub(super) fn sum_loads<'a>(all: impl Iterator<Item = &'a [LoadEntry]>) -> Vec<LoadEntry> {
    let mut entries: Vec<LoadEntry> = all.flatten().cloned().collect();
    entries.sort_by(|a, b| a.server.cmp(&b.server));
    entries.dedup_by(|later, first| {
        let is_same = later.server == first.server;
        if is_same {
            first.in_flight += later.in_flight;
        }
        is_same
    });
    entries
}

/// Takes a node's own part out of a sum.
pub(super) fn subtract_own(sum: Vec<LoadEntry>, own: &[LoadEntry]) -> Vec<LoadEntry> {
    let part = |server: &str| {
        let found = own.binary_search_by(|entry| entry.server.as_str().cmp(server));
        found.map_or(0, |at| own[at].in_flight)
    };
    sum.into_iter()
        .map(|entry| LoadEntry {
            in_flight: entry.in_flight.saturating_sub(part(&entry.server)),
            server: entry.server,
        })
        .collect()
}
