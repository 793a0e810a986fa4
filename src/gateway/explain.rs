//! Answers where a request would be sent now, and why, by the decisions that requests go through. Nothing is sent or counted, and
//! no token is taken.

use super::candidates::ServerQuery;
use super::choice::first_request;
use super::choice::hash_request_id;
use super::choice::pick_service;
use super::explanation::AdmissionReport;
use super::explanation::ChoiceReport;
use super::explanation::ExplainPart;
use super::explanation::ExplainRequest;
use super::explanation::Explanation;
use super::explanation::Knowledge;
use super::explanation::Obstacle;
use super::explanation::ServerReport;
use super::handler::Gateway;
use crate::catalog::BackendServer;
use crate::catalog::Configuration;
use crate::catalog::Route;
use crate::catalog::Team;
use crate::clock::BootInstant;
use crate::decide::PathState;
use crate::decide::Placement;
use crate::decide::PlacementRequest;
use crate::decide::PromptPart;
use crate::decide::ServerView;
use std::time::Duration;

impl Gateway {
    /// Explains where `request` would be sent now.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with `request`: an unknown route or team, a missing team, or a malformed part.
    pub(super) fn explain(&self, request: &ExplainRequest) -> Result<Explanation, String> {
        let now = BootInstant::now();
        let configuration = self.catalog.configuration().ok_or("no configuration yet")?;
        let route = configuration
            .route(&request.host, &request.path)
            .ok_or_else(|| {
                format!(
                    "no route for host {} and path {}",
                    request.host, request.path
                )
            })?;
        let team = find_team(&configuration, route, request.team.as_deref())?;
        let parts = parse_parts(request)?;
        let salt = hash_request_id(&request.request_id);
        let service_name = pick_service(route, salt).ok_or("route without service")?;
        let (servers, list_version) = self.catalog.servers_of(&service_name);
        let query = ServerQuery {
            gateway: self,
            route,
            service: configuration.service(&service_name),
            team_regions: team.map_or(&[], |team| &team.allowed_regions),
            rank: team
                .and_then(|team| team.priority)
                .unwrap_or(route.priority),
            is_tried: &|_| false,
        };
        let placement_request = PlacementRequest {
            parts: &parts,
            salt,
        };
        let candidates = query.candidates(&servers);
        let mut views = candidates.views;
        let admission = self.explain_admission(&query, team, &service_name, &servers, &views, salt);
        let obstacles: Vec<Vec<Obstacle>> = servers
            .iter()
            .zip(&views)
            .map(|(server, view)| self.obstacles(&query, server, view, now))
            .collect();
        let mut over_limit = 0;
        for (view, obstacles) in views.iter_mut().zip(&obstacles) {
            let is_at_limit = obstacles.contains(&Obstacle::LimitReached);
            over_limit += u32::from(is_at_limit);
            view.is_draining |= is_at_limit;
        }
        let choice = if query.is_engine() {
            self.engines.choose(&placement_request, &views)
        } else {
            self.plain.choose(&placement_request, &views)
        };
        let refusal = match choice {
            None => Some(candidates.exclusions.no_server(&views, over_limit).cause()),
            // As for a request, a server with a bound of its own has room however full the others are.
            Some(choice) => {
                let has_own_bound =
                    views[choice.index].is_cold || self.rates.has_limit(&servers[choice.index]);
                let is_rejected = admission
                    .as_ref()
                    .is_some_and(|(_, is_rejected)| *is_rejected);
                (is_rejected && !has_own_bound).then_some("service full")
            }
        };
        let name = |index: usize| servers[index].id.clone();
        let order = if query.is_engine() {
            self.engines.home_order(&placement_request, &views)
        } else {
            (0..servers.len()).collect()
        };
        let server_report = |index: usize| ServerReport {
            server: name(index),
            data_centre: servers[index].entry.data_centre.clone(),
            load: views[index].load,
            slots: views[index].slots,
            slowness: views[index].slowness,
            obstacles: obstacles[index].clone(),
        };
        Ok(Explanation {
            data_centre: self.data_centre.clone(),
            route: route.name.clone(),
            rank: query.rank,
            configuration: Knowledge {
                version: configuration.version(),
                age_ms: self.catalog.config_age(now).map(millis),
            },
            server_list: Knowledge {
                version: list_version,
                age_ms: self.catalog.list_age(now).map(millis),
            },
            loads_age_ms: self.loads.remote_age(now).map(millis),
            admission: admission.map(|(report, _)| report),
            choice: choice
                .filter(|_| refusal.is_none())
                .map(|choice| ChoiceReport {
                    server: name(choice.index),
                    passed_over: choice.passed_over,
                    copy_from: choice.copy_from.map(name),
                }),
            refusal: refusal.map(str::to_owned),
            servers: order.into_iter().map(server_report).collect(),
            service: service_name,
        })
    }

    /// Returns what admission says, and whether it rejects the request; `None` if no server's load counts.
    fn explain_admission(
        &self,
        query: &ServerQuery<'_>,
        team: Option<&Team>,
        service: &str,
        servers: &[BackendServer],
        views: &[ServerView<'_>],
        salt: u64,
    ) -> Option<(AdmissionReport, bool)> {
        let load_per_slot = self.load_per_slot(servers, views)?;
        let heavy_teams = self.team_demand.heavy(service, BootInstant::now());
        let team = team.map(|team| team.name.as_str());
        let route = query.route;
        let admission_request = first_request(route, query.rank, team, &heavy_teams, salt);
        let load = self
            .admission_stats
            .service_load(&route.name, service, load_per_slot);
        let rejected = self
            .admission
            .rejection_probability(&load, &admission_request);
        let heavy = heavy_teams
            .iter()
            .find(|heavy| Some(heavy.team.as_str()) == team);
        let report = AdmissionReport {
            load_per_slot,
            expected_wait_ms: millis(load.expected_wait()),
            wait_budget_ms: millis(load.wait_budget),
            rejected,
            team_share: heavy.map(|heavy| heavy.share),
        };
        let is_rejected = !self.admission.accepts(&load, &admission_request);
        Some((report, is_rejected))
    }

    fn obstacles(
        &self,
        query: &ServerQuery<'_>,
        server: &BackendServer,
        view: &ServerView<'_>,
        now: BootInstant,
    ) -> Vec<Obstacle> {
        let evacuations = self.catalog.evacuations();
        let known = [
            (!query.may_be_served_at(server), Obstacle::OtherRegion),
            (
                evacuations.is_evacuated(&server.entry.data_centre),
                Obstacle::Evacuated,
            ),
            (server.entry.is_draining, Obstacle::Draining),
            (self.loads.is_closed(server, now), Obstacle::Closed),
            (view.is_suspended, Obstacle::Suspended),
            (view.is_cold && !view.is_withheld, Obstacle::Cold),
            (view.is_withheld, Obstacle::ColdWithoutToken),
            (self.rates.is_exhausted(server), Obstacle::LimitReached),
            (view.slowness > 1.0, Obstacle::Slow),
            (
                self.paths.state(server) == PathState::Blocked,
                Obstacle::PathBlocked,
            ),
        ];
        let present = known.into_iter().filter(|(is_present, _)| *is_present);
        present.map(|(_, obstacle)| obstacle).collect()
    }
}

fn find_team<'a>(
    configuration: &'a Configuration,
    route: &Route,
    name: Option<&str>,
) -> Result<Option<&'a Team>, String> {
    match name {
        _ if !configuration.needs_key(route) => Ok(None),
        None => Err(format!("route {} needs a team", route.name)),
        Some(name) => configuration
            .team(name)
            .map(Some)
            .ok_or_else(|| format!("no team {name}")),
    }
}

fn parse_parts(request: &ExplainRequest) -> Result<Vec<PromptPart>, String> {
    let part = |part: &ExplainPart| {
        u64::from_str_radix(&part.id, 16)
            .map(|id| PromptPart {
                id,
                tokens: part.tokens,
            })
            .map_err(|_| format!("{} is not a hexadecimal id of a part", part.id))
    };
    request.parts.iter().map(part).collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
