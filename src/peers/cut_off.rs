//! Which gateways reach no server of a service, as they tell each other, so that nobody has to find it out by asking each of them
//! for help. `docs/REACHING-SERVERS.md` says what follows from it.

use super::node::Shared;
use super::report_table::ReportTable;
use crate::clock::BootInstant;
use serde::Deserialize;
use serde::Serialize;

/// The gateways that reach no server of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CutOffNodes {
    /// Name of the service.
    pub service: String,
    /// Names of the gateways, sorted.
    pub nodes: Vec<String>,
}

/// What a relay received from the nodes of its data centre and from other relays.
#[derive(Debug, Default)]
pub(super) struct CutOffTable {
    reports: ReportTable<CutOffNodes>,
}

impl CutOffTable {
    /// Records the services of which a node of this data centre reaches no server.
    pub(super) fn record_member(&self, node: &str, services: Vec<CutOffNodes>, now: BootInstant) {
        self.reports.record_member(node, services, now);
    }

    /// Records the gateways of another data centre.
    pub(super) fn record_centre(
        &self,
        data_centre: &str,
        services: Vec<CutOffNodes>,
        now: BootInstant,
    ) {
        self.reports.record_centre(data_centre, services, now);
    }

    /// Returns the gateways of this data centre, sorted by service.
    pub(super) fn own_centre(&self, now: BootInstant) -> Vec<CutOffNodes> {
        merge(self.reports.own_centre(now))
    }

    /// Returns the gateways of all data centres, sorted by service.
    pub(super) fn all(&self, now: BootInstant) -> Vec<CutOffNodes> {
        merge(self.reports.all(now))
    }
}

fn merge(mut rows: Vec<CutOffNodes>) -> Vec<CutOffNodes> {
    rows.sort_by(|a, b| a.service.cmp(&b.service));
    let mut merged: Vec<CutOffNodes> = Vec::new();
    for row in rows {
        match merged.last_mut() {
            Some(last) if last.service == row.service => last.nodes.extend(row.nodes),
            _ => merged.push(row),
        }
    }
    for service in &mut merged {
        service.nodes.sort();
        service.nodes.dedup();
    }
    merged
}

impl Shared {
    /// Returns the services of which this node reaches no server.
    pub(super) fn own_cut_off(&self) -> Vec<CutOffNodes> {
        let Some(paths) = self.direct_paths.get() else {
            return Vec::new();
        };
        let services = self.catalog.by_service().into_iter();
        let cut_off = services.filter(|(_, servers)| paths.is_cut_off(servers));
        cut_off
            .map(|(service, _)| CutOffNodes {
                service,
                nodes: vec![self.own.name.clone()],
            })
            .collect()
    }
}
