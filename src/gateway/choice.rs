//! Which service and which of its servers a request goes to.
//!
//! The decisions are in [`crate::decide`]; this part shows them what the gateway believes.

use super::answer::Refusal;
use super::exchange::Exchange;
use super::exchange::LEAST_TIME;
use crate::catalog::BackendServer;
use crate::catalog::Route;
use crate::clock::Moment;
use crate::decide::AdmissionRequest;
use crate::decide::Placement;
use crate::decide::PlacementRequest;
use crate::decide::ServerView;
use crate::decide::smoothed_load_per_slot;
use hyper::StatusCode;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::net::SocketAddr;

/// Where a request is sent.
pub(super) struct Target {
    pub(super) server: BackendServer,
    /// How full it is known to be, in multiples of its slots.
    pub(super) fill: f64,
    /// Server that the prompt's shared parts may be copied from.
    pub(super) copy_from: Option<SocketAddr>,
}

impl Exchange {
    /// Chooses the server for the next send.
    pub(super) fn next_server(&mut self) -> Result<Target, Refusal> {
        if self.time_left() <= LEAST_TIME {
            let status = if self.may_have_run {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return Err(Refusal::new(status, "time is over"));
        }
        let (servers, list_version) = self.gateway.catalog.servers_of(&self.service_name);
        self.report.list_version = list_version;
        let views = self.views(&servers);
        if self.sends == 0 && !self.is_admitted(&views) {
            return Err(self.too_full("service full"));
        }
        let is_engine = self
            .service
            .as_ref()
            .is_some_and(|service| service.engine.is_some());
        let placement: &dyn Placement = if is_engine {
            &self.gateway.engines
        } else {
            &self.gateway.plain
        };
        let work = PlacementRequest {
            parts: &self.ask.parts,
            salt: self.salt,
        };
        let Some(choice) = placement.choose(&work, &views) else {
            return Err(self.no_server("no server"));
        };
        let chosen = &views[choice.index];
        self.report.load = chosen.load;
        self.report.passed_over = choice.passed_over;
        Ok(Target {
            server: servers[choice.index].clone(),
            fill: chosen.load_per_slot(),
            copy_from: choice.copy_from.map(|at| servers[at].entry.address),
        })
    }

    fn is_tried(&self, server: &BackendServer) -> bool {
        self.report.servers.contains(&server.id)
    }

    /// Tells whether a server is left that the request was not sent to; without one, what there is has to do.
    pub(super) fn has_untried(&self) -> bool {
        let (servers, _) = self.gateway.catalog.servers_of(&self.service_name);
        servers
            .iter()
            .any(|server| !server.entry.is_draining && !self.is_tried(server))
    }

    /// Tells whether the request can still be answered in time, by how crowded its service is.
    fn is_admitted(&self, views: &[ServerView<'_>]) -> bool {
        let Some(fill) = smoothed_load_per_slot(views) else {
            return true;
        };
        let crowds = &self.gateway.crowds;
        let call = AdmissionRequest {
            random_fraction: f64::from(self.salt as u32) / f64::from(u32::MAX),
            rank: self.rank,
            is_caller_retry: self.report.is_return,
            latency_target: self.route.latency_target,
            is_stream: self.route.retry_mode.is_stream(),
        };
        let crowd = crowds.crowd(&self.route.name, &self.service_name, fill, &call);
        self.gateway.meters.crowd(&self.service_name, &crowd);
        self.gateway.admission.accepts(&crowd, &call)
    }

    fn views<'a>(&self, servers: &'a [BackendServer]) -> Vec<ServerView<'a>> {
        let standings = self.gateway.loads.standings(servers, Moment::now());
        servers
            .iter()
            .zip(standings)
            .map(|(server, standing)| ServerView {
                id: &server.id,
                is_near: server.entry.data_centre == self.gateway.data_centre,
                slots: server.entry.slots,
                load: standing.load,
                smoothed_load: standing.usual,
                is_suspended: standing.is_aside,
                is_tried: self.is_tried(server),
                is_warming_up: standing.is_young,
                is_draining: server.entry.is_draining,
            })
            .collect()
    }
}

/// Makes a number of a request's id that spreads evenly and is the same wherever the request is decided on.
pub(super) fn salt_of(request_id: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(request_id.as_bytes());
    hasher.finish()
}

/// Picks one of the route's services by their weights.
pub(super) fn pick_share(route: &Route, salt: u64) -> Option<String> {
    let total: u64 = route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    if total == 0 {
        return None;
    }
    let mut at = salt % total;
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if at < weight {
            return Some(share.service.clone());
        }
        at -= weight;
    }
    None
}
