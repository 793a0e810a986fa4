//! Requests of teams for services, as last received from other nodes and data centres.

use super::load_entry::TeamRequests;
use super::report_table::ReportTable;
use crate::clock::BootInstant;

/// Requests of teams that a relay received from the nodes of its data centre and from other relays.
#[derive(Debug, Default)]
pub(super) struct TeamTable {
    reports: ReportTable<TeamRequests>,
}

impl TeamTable {
    /// Records the requests that a node of this data centre has received.
    pub(super) fn record_member(&self, node: &str, requests: Vec<TeamRequests>, now: BootInstant) {
        self.reports.record_member(node, requests, now);
    }

    /// Records the sum of another data centre.
    pub(super) fn record_centre(
        &self,
        data_centre: &str,
        requests: Vec<TeamRequests>,
        now: BootInstant,
    ) {
        self.reports.record_centre(data_centre, requests, now);
    }

    /// Returns the sum of this data centre, sorted by service and team.
    pub(super) fn own_centre(&self, now: BootInstant) -> Vec<TeamRequests> {
        sum(self.reports.own_centre(now))
    }

    /// Returns the sum of all data centres, sorted by service and team.
    pub(super) fn all(&self, now: BootInstant) -> Vec<TeamRequests> {
        sum(self.reports.all(now))
    }
}

fn sum(mut rows: Vec<TeamRequests>) -> Vec<TeamRequests> {
    rows.sort_by(|a, b| (&a.service, &a.team).cmp(&(&b.service, &b.team)));
    let mut sum: Vec<TeamRequests> = Vec::new();
    for row in rows {
        match sum.last_mut() {
            Some(last) if last.service == row.service && last.team == row.team => {
                last.requests = last.requests.saturating_add(row.requests);
            }
            _ => sum.push(row),
        }
    }
    sum
}
