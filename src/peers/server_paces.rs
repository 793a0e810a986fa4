//! Which servers work slower than others, and what each takes well, as relays find out for all gateways.

use super::load_entry::LoadEntry;
use super::node::Shared;
use super::node::lock;
use crate::clock::BootInstant;
use crate::decide::CapacityStep;
use crate::decide::PaceKind;
use crate::decide::ServerSample;
use crate::decide::SlowServer;
use crate::decide::merge_slowness;
use slog::info;

impl Shared {
    /// Decides anew which servers are slow, from the loads of all nodes, sorted by server name.
    pub(super) fn update_paces(&self, all: &[LoadEntry], now: BootInstant) {
        let (servers, _) = self.catalog.listed();
        let configuration = self.catalog.configuration();
        let load_of = |id: &str| {
            let index = all.binary_search_by(|load| load.server.as_str().cmp(id));
            index.ok().map(|index| &all[index])
        };
        let pace_of = |id: &str| load_of(id).and_then(|load| load.pace);
        let mut services: Vec<&str> = servers
            .iter()
            .map(|server| server.entry.service.as_str())
            .collect();
        services.sort_unstable();
        services.dedup();
        let mut paces = lock(&self.paces);
        let mut capacities = lock(&self.capacities);
        let before = paces.slow().to_vec();
        for service in services {
            let is_engine = configuration
                .as_ref()
                .and_then(|configuration| configuration.service(service))
                .is_some_and(|service| service.engine.is_some());
            let kind = if is_engine {
                PaceKind::Events
            } else {
                PaceKind::Answers
            };
            let servers = servers
                .iter()
                .filter(|server| server.entry.service == service);
            let samples = servers.clone().map(|server| ServerSample {
                id: &server.id,
                start_time_ms: server.entry.start_time_ms,
                speed: load_of(&server.id).and_then(|load| load.speed),
                answers: pace_of(&server.id).filter(|_| !is_engine),
            });
            let samples: Vec<ServerSample<'_>> = samples.collect();
            capacities.update(kind, &samples, now);
            let service: Vec<_> = servers
                .map(|server| (server.id.as_str(), pace_of(&server.id)))
                .collect();
            paces.update(kind, &service, now);
        }
        paces.expire(now);
        capacities.expire(now);
        let steps = capacities.take_steps();
        let after = paces.slow().to_vec();
        drop((paces, capacities));
        self.log_capacities(&steps);
        self.log_slow_servers(&before, &after);
    }

    fn log_slow_servers(&self, before: &[SlowServer], after: &[SlowServer]) {
        let is_in = |list: &[SlowServer], id: &str| list.iter().any(|slow| slow.id == id);
        for slow in after.iter().filter(|slow| !is_in(before, &slow.id)) {
            info!(self.logs.log(), "server slow"; "server" => &slow.id, "slowness" => slow.slowness);
        }
        for slow in before.iter().filter(|slow| !is_in(after, &slow.id)) {
            info!(self.logs.log(), "server not slow any more"; "server" => &slow.id);
        }
    }

    fn log_capacities(&self, steps: &[CapacityStep]) {
        for step in steps {
            let message = if step.slowness > 1.0 {
                "server takes less"
            } else {
                "server takes its slots again"
            };
            info!(self.logs.log(), "{}", message; "server" => &step.id, "slowness" => step.slowness,
                "before" => step.before);
        }
    }

    /// Returns the servers that are slow as this node has decided, sorted by name; none if it is not the relay, since what it
    /// decided as such grows old.
    pub(super) fn slow_servers(&self) -> Vec<(String, f64)> {
        if !self.duties.is_relay() {
            return Vec::new();
        }
        let paces = lock(&self.paces);
        let slow = paces.slow().iter();
        let slow = slow.map(|slow| (slow.id.clone(), slow.slowness)).collect();
        merge_slowness(slow, lock(&self.capacities).uneven())
    }
}
