//! Predicts the effect of a change on teams, backend servers, load and capacity.

use crate::border::Backends;
use crate::border::HttpBackends;
use crate::border::generated::backend::EngineState;
use crate::border::generated::config::Change;
use crate::border::generated::config::Object;
use crate::border::generated::config::Service;
use crate::config::ObjectKind;
use crate::config::State;
use crate::config::kind_of;
use crate::config::may_serve;
use crate::config::name_of;
use crate::membership::Backend;
use crate::membership::View;
use crate::operations::Metrics;
use crate::reconcile;
use futures_util::future::join_all;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::sync::Arc;

/// Predicted effect of a change.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub(super) struct Effect {
    /// Descriptions of the steps, in the order in which they happen.
    pub(super) steps: Vec<String>,
    /// Names of the teams that the change affects.
    pub(super) teams: Vec<String>,
    /// Names of the backend servers that the change affects.
    pub(super) backends: Vec<String>,
    /// Servers and load of each service and team for which the number of servers changes.
    pub(super) capacity: Vec<Capacity>,
    /// Reasons why parts of the change can't take effect at present, and teams that it leaves without a server.
    pub(super) unmet: Vec<String>,
}

/// Number and load of the servers of a service that may serve a team, before and after a change.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(super) struct Capacity {
    pub(super) service: String,
    /// Teams that these figures apply to.
    pub(super) teams: Vec<String>,
    pub(super) servers_before: usize,
    pub(super) servers_after: usize,
    /// Requests running or waiting at the servers before the change, as reported by the servers.
    pub(super) load: u32,
    /// Mean number of these requests per server before the change.
    pub(super) load_per_server_before: f64,
    /// The same after the change, if the total load stays the same; `None` if no server is left.
    pub(super) load_per_server_after: Option<f64>,
}

/// Load and state as reported by the backend servers; `None` for a server that does not respond.
struct ServerReports {
    /// Requests running or waiting at each backend server, in the order of the view.
    loads: Vec<Option<u32>>,
    /// State of each engine, in the order of the view; `None` for other servers.
    states: Vec<Option<EngineState>>,
}

/// Predicts the effect of `change`, which leads from the state `before` to the state `after`, on the hosts of `view`.
pub(super) async fn predict_effect(
    before: &State,
    after: &State,
    change: &Change,
    view: &View,
) -> Effect {
    let reports = ServerReports::fetch(view).await;
    let mut effect = Effect::default();
    for object in &change.delete {
        let step = format!("{} {} is removed", object.kind, object.name);
        effect.steps.push(step);
        if object.kind == ObjectKind::Team.as_str() {
            effect.teams.push(object.name.clone());
        }
    }
    for object in &change.put {
        effect.record_object(object, after, view, &reports);
    }
    for service in after.services() {
        for team in after.teams() {
            let capacity = capacity((before, after), service, &team.name, view, &reports);
            effect.record_capacity(capacity);
        }
    }
    effect
}

impl ServerReports {
    async fn fetch(view: &View) -> Self {
        let backends = HttpBackends::new(None, Arc::new(Metrics::new()));
        let requests = view.backends().iter().map(|backend| {
            let server = backends.engine(backend.address);
            async move {
                let load = server.load().await.ok();
                let state = if backend.is_engine {
                    server.state().await.ok()
                } else {
                    None
                };
                (load.map(|load| load.running + load.waiting), state)
            }
        });
        let (loads, states) = join_all(requests).await.into_iter().unzip();
        Self { loads, states }
    }
}

impl Effect {
    fn record_object(
        &mut self,
        object: &Object,
        after: &State,
        view: &View,
        reports: &ServerReports,
    ) {
        match object {
            Object::Team { team } => {
                self.teams.push(team.name.clone());
                for data_centre in &team.excluded_data_centres {
                    let step = format!("team {}: no new work in {data_centre}", team.name);
                    self.steps.push(step);
                }
            }
            Object::Backend { backend } => {
                self.backends.push(backend.name.clone());
                let found = view.backends().iter().position(|b| b.name == backend.name);
                let Some(i) = found else {
                    let unmet = format!("backend {} is not in the host list", backend.name);
                    self.unmet.push(unmet);
                    return;
                };
                if backend.drain {
                    let load = reports.loads[i].map_or("unknown".to_owned(), |l| l.to_string());
                    let step = format!(
                        "{}: no new work; requests in flight finish (now {load})",
                        backend.name
                    );
                    self.steps.push(step);
                }
                let Some(reported) = &reports.states[i] else {
                    if view.backends()[i].is_engine {
                        self.unmet
                            .push(format!("{} does not respond", backend.name));
                    }
                    return;
                };
                let orders = reconcile::planned_orders(after, backend, reported);
                let steps = orders
                    .iter()
                    .map(|order| format!("{}: {order}", backend.name));
                self.steps.extend(steps);
            }
            other => {
                let step = format!("{} {} is set as declared", kind_of(other), name_of(other));
                self.steps.push(step);
            }
        }
    }

    fn record_capacity(&mut self, capacity: Capacity) {
        if capacity.servers_before == capacity.servers_after {
            return;
        }
        for team in &capacity.teams {
            if capacity.servers_after == 0 {
                let unmet = format!("no server of {} is left for team {team}", capacity.service);
                self.unmet.push(unmet);
            }
            if !self.teams.contains(team) {
                self.teams.push(team.clone());
            }
        }
        let mut recorded = self.capacity.iter_mut();
        match recorded.find(|recorded| recorded.has_same_figures(&capacity)) {
            Some(recorded) => recorded.teams.extend(capacity.teams),
            None => self.capacity.push(capacity),
        }
    }
}

fn capacity(
    (before, after): (&State, &State),
    service: &Service,
    team: &str,
    view: &View,
    reports: &ServerReports,
) -> Capacity {
    let is_usable = |state: &State, service: &Service, backend: &Backend| {
        !backend.leaving
            && backend.service == service.name
            && may_serve(state, service, team, backend)
    };
    let mut load = 0;
    let mut servers = [0; 2];
    for (backend, reported) in view.backends().iter().zip(&reports.loads) {
        let service_before = before
            .service(&service.name)
            .filter(|_| before.team(team).is_some());
        if service_before.is_some_and(|service_before| is_usable(before, service_before, backend)) {
            servers[0] += 1;
            load += reported.unwrap_or(0);
        }
        servers[1] += usize::from(is_usable(after, service, backend));
    }
    let per_server = |servers: usize| f64::from(load) / servers as f64;
    Capacity {
        service: service.name.clone(),
        teams: vec![team.to_owned()],
        servers_before: servers[0],
        servers_after: servers[1],
        load,
        load_per_server_before: if servers[0] == 0 {
            0.0
        } else {
            per_server(servers[0])
        },
        load_per_server_after: (servers[1] > 0).then(|| per_server(servers[1])),
    }
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, step) in self.steps.iter().enumerate() {
            writeln!(f, "  step {}: {step}", i + 1)?;
        }
        if !self.teams.is_empty() {
            writeln!(f, "  teams touched: {}", self.teams.join(", "))?;
        }
        if !self.backends.is_empty() {
            writeln!(f, "  backend servers touched: {}", self.backends.join(", "))?;
        }
        for capacity in &self.capacity {
            capacity.fmt(f)?;
        }
        for unmet in &self.unmet {
            writeln!(f, "  problem: {unmet}")?;
        }
        Ok(())
    }
}

impl Capacity {
    fn has_same_figures(&self, other: &Self) -> bool {
        self.service == other.service
            && self.servers_before == other.servers_before
            && self.servers_after == other.servers_after
            && self.load == other.load
    }
}

impl fmt::Display for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let after = self
            .load_per_server_after
            .map_or("none".to_owned(), |load| format!("{load:.1}"));
        writeln!(
            f,
            "  {} for {}: {} servers before, {} after; load {}, for each server {:.1} before, {after} after",
            self.service,
            self.teams.join(", "),
            self.servers_before,
            self.servers_after,
            self.load,
            self.load_per_server_before,
        )
    }
}
