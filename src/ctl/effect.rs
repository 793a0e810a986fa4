//! What a change would do to teams, engines, load and capacity.

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

/// What a change would do.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub(super) struct Effect {
    /// What happens one after another.
    pub(super) steps: Vec<String>,
    /// Teams for which something changes.
    pub(super) teams: Vec<String>,
    /// Backend servers for which something changes.
    pub(super) backends: Vec<String>,
    /// Servers and load of the services and teams for which they change.
    pub(super) capacity: Vec<Capacity>,
    /// What can't be met as things are.
    pub(super) unmet: Vec<String>,
}

/// The servers that may serve a team, before and after.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(super) struct Capacity {
    pub(super) service: String,
    /// Teams for which the figures are the same.
    pub(super) teams: Vec<String>,
    pub(super) servers_before: usize,
    pub(super) servers_after: usize,
    /// Requests in flight at the servers before, as they report them.
    pub(super) load: u32,
    /// Requests in flight for each server.
    pub(super) load_per_server_before: f64,
    /// The same, if the load stays and goes to the servers that are left.
    pub(super) load_per_server_after: Option<f64>,
}

/// What backend servers say of themselves.
struct Reports {
    /// In the order of the view.
    loads: Vec<Option<u32>>,
    states: Vec<Option<EngineState>>,
}

/// Works out what `change` would do to what is in force `before`.
pub(super) async fn effect(before: &State, after: &State, change: &Change, view: &View) -> Effect {
    let reports = Reports::ask(view).await;
    let mut effect = Effect::default();
    for object in &change.delete {
        let step = format!("{} {} is no longer known", object.kind, object.name);
        effect.steps.push(step);
        if object.kind == ObjectKind::Team.as_str() {
            effect.teams.push(object.name.clone());
        }
    }
    for object in &change.put {
        effect.note(object, after, view, &reports);
    }
    for service in after.services() {
        for team in after.teams() {
            let capacity = capacity((before, after), service, &team.name, view, &reports);
            effect.note_capacity(capacity);
        }
    }
    effect
}

impl Reports {
    async fn ask(view: &View) -> Self {
        let backends = HttpBackends::new(None, Arc::new(Metrics::new()));
        let asked = view.backends().iter().map(|backend| {
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
        let (loads, states) = join_all(asked).await.into_iter().unzip();
        Self { loads, states }
    }
}

impl Effect {
    fn note(&mut self, object: &Object, after: &State, view: &View, reports: &Reports) {
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
                    let step = format!("{}: no new work, {load} in flight end", backend.name);
                    self.steps.push(step);
                }
                let Some(reported) = &reports.states[i] else {
                    if view.backends()[i].is_engine {
                        self.unmet.push(format!("{} does not answer", backend.name));
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
                let step = format!("{} {} as declared", kind_of(other), name_of(other));
                self.steps.push(step);
            }
        }
    }

    fn note_capacity(&mut self, capacity: Capacity) {
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
        let mut known = self.capacity.iter_mut();
        match known.find(|known| known.has_figures_of(&capacity)) {
            Some(known) => known.teams.extend(capacity.teams),
            None => self.capacity.push(capacity),
        }
    }
}

fn capacity(
    (before, after): (&State, &State),
    service: &Service,
    team: &str,
    view: &View,
    reports: &Reports,
) -> Capacity {
    let usable = |state: &State, service: &Service, backend: &Backend| {
        !backend.leaving
            && backend.service == service.name
            && may_serve(state, service, team, backend)
    };
    let mut load = 0;
    let mut servers = [0; 2];
    for (backend, reported) in view.backends().iter().zip(&reports.loads) {
        let former = before
            .service(&service.name)
            .filter(|_| before.team(team).is_some());
        if former.is_some_and(|former| usable(before, former, backend)) {
            servers[0] += 1;
            load += reported.unwrap_or(0);
        }
        servers[1] += usize::from(usable(after, service, backend));
    }
    let for_each = |servers: usize| f64::from(load) / servers as f64;
    Capacity {
        service: service.name.clone(),
        teams: vec![team.to_owned()],
        servers_before: servers[0],
        servers_after: servers[1],
        load,
        load_per_server_before: if servers[0] == 0 {
            0.0
        } else {
            for_each(servers[0])
        },
        load_per_server_after: (servers[1] > 0).then(|| for_each(servers[1])),
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
            writeln!(f, "  can't be met: {unmet}")?;
        }
        Ok(())
    }
}

impl Capacity {
    fn has_figures_of(&self, other: &Self) -> bool {
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
