//! Requests of teams for services, as last received from other nodes and data centres.

use super::load_entry::TeamRequests;
use super::load_table::MAX_LOAD_AGE;
use crate::clock::BootInstant;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// What one sender reported last.
#[derive(Debug)]
struct Row {
    /// Name of a node or of a data centre.
    name: String,
    received_at: BootInstant,
    requests: Vec<TeamRequests>,
}

#[derive(Debug, Default)]
struct State {
    /// Nodes that this node serves as relay, and itself, sorted by name.
    members: Vec<Row>,
    /// Other data centres, sorted by name.
    centres: Vec<Row>,
}

/// Requests of teams that a relay received from the nodes of its data centre and from other relays.
#[derive(Debug, Default)]
pub(super) struct TeamTable {
    state: Mutex<State>,
}

impl TeamTable {
    /// Records the requests that a node of this data centre has received.
    pub(super) fn record_member(&self, node: &str, requests: Vec<TeamRequests>, now: BootInstant) {
        upsert(&mut self.lock().members, node, requests, now);
    }

    /// Records the sum of another data centre.
    pub(super) fn record_centre(
        &self,
        data_centre: &str,
        requests: Vec<TeamRequests>,
        now: BootInstant,
    ) {
        upsert(&mut self.lock().centres, data_centre, requests, now);
    }

    /// Returns the sum of this data centre, sorted by service and team.
    pub(super) fn own_centre(&self, now: BootInstant) -> Vec<TeamRequests> {
        sum(fresh(&self.lock().members, now))
    }

    /// Returns the sum of all data centres, sorted by service and team.
    pub(super) fn all(&self, now: BootInstant) -> Vec<TeamRequests> {
        let state = self.lock();
        sum(fresh(&state.members, now).chain(fresh(&state.centres, now)))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn fresh(rows: &[Row], now: BootInstant) -> impl Iterator<Item = &TeamRequests> {
    let rows = rows
        .iter()
        .filter(move |row| now.since(row.received_at) < MAX_LOAD_AGE);
    rows.flat_map(|row| &row.requests)
}

/// Replaces or inserts the row of `name` and removes stale rows.
fn upsert(rows: &mut Vec<Row>, name: &str, requests: Vec<TeamRequests>, now: BootInstant) {
    rows.retain(|row| row.name != name && now.since(row.received_at) < MAX_LOAD_AGE);
    if !requests.is_empty() {
        rows.push(Row {
            name: name.to_owned(),
            received_at: now,
            requests,
        });
    }
}

fn sum<'a>(all: impl Iterator<Item = &'a TeamRequests>) -> Vec<TeamRequests> {
    let mut rows: Vec<&TeamRequests> = all.collect();
    rows.sort_by(|a, b| (&a.service, &a.team).cmp(&(&b.service, &b.team)));
    let mut sum: Vec<TeamRequests> = Vec::new();
    for row in rows {
        match sum.last_mut() {
            Some(last) if last.service == row.service && last.team == row.team => {
                last.requests = last.requests.saturating_add(row.requests);
            }
            _ => sum.push(row.clone()),
        }
    }
    sum
}
