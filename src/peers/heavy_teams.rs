//! Which teams ask for more than a fair share of a service, as relays find out for all gateways.

use super::message::SyncedHeavyTeam;
use super::node::Shared;
use super::node::lock;
use crate::clock::BootInstant;
use crate::decide::HeavyTeam;
use crate::decide::heavy_teams;

/// Teams with more than a fair share of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTeams {
    /// Name of the service.
    pub service: String,
    /// Sorted by name.
    pub teams: Vec<HeavyTeam>,
}

/// Groups heavy teams by service; `rows` are sorted by service and team.
pub(super) fn group_heavy_teams(rows: Vec<SyncedHeavyTeam>) -> Vec<ServiceTeams> {
    let mut services: Vec<ServiceTeams> = Vec::new();
    for row in rows {
        let team = HeavyTeam {
            team: row.team,
            share: f64::from(row.share_milli) / 1_000.0,
            floor: f64::from(row.floor_milli) / 1_000.0,
        };
        match services.last_mut() {
            Some(last) if last.service == row.service => last.teams.push(team),
            _ => services.push(ServiceTeams {
                service: row.service,
                teams: vec![team],
            }),
        }
    }
    services
}

impl Shared {
    /// Decides anew which teams are heavy, from the requests at all nodes.
    pub(super) fn update_heavy_teams(&self, now: BootInstant) {
        let own = (self.own_teams)();
        self.team_table.record_member(&self.own.name, own, now);
        let all = self.team_table.all(now);
        let services = all.chunk_by(|a, b| a.service == b.service);
        let heavy = services.filter_map(|rows| {
            let requests: Vec<(&str, u32)> = rows
                .iter()
                .map(|row| (row.team.as_str(), row.requests))
                .collect();
            let teams = heavy_teams(&requests);
            let service = rows.first()?.service.clone();
            (!teams.is_empty()).then_some(ServiceTeams { service, teams })
        });
        *lock(&self.heavy_teams) = heavy.collect();
    }

    /// Returns the heavy teams as this node has decided; none if it is not the relay.
    pub(super) fn heavy_teams(&self) -> Vec<ServiceTeams> {
        if self.duties.is_relay() {
            lock(&self.heavy_teams).clone()
        } else {
            Vec::new()
        }
    }

    /// Returns the same as sent to other gateways.
    pub(super) fn synced_heavy_teams(&self) -> Vec<SyncedHeavyTeam> {
        let milli = |share: f64| (share * 1_000.0) as u32;
        let services = self.heavy_teams().into_iter();
        let rows = services.flat_map(|ServiceTeams { service, teams }| {
            teams.into_iter().map(move |heavy| SyncedHeavyTeam {
                service: service.clone(),
                team: heavy.team,
                share_milli: milli(heavy.share),
                floor_milli: milli(heavy.floor),
            })
        });
        rows.collect()
    }
}
