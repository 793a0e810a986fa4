//! The servers of a request's service, with what is known of each: what placement chooses from.

use super::exchange::Exchange;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::ServerView;
use std::time::Duration;

/// Maximum slowness by a server's own word, so that a wrong one doesn't leave it without calls.
const MAX_HINT: f64 = 4.0;

/// The servers of a request's service as placement sees them.
pub(super) struct Candidates<'a> {
    pub(super) views: Vec<ServerView<'a>>,
    /// Longest time for which a server is still cold; `None` if none is.
    pub(super) cold_left: Option<Duration>,
    /// Whether servers are left out since their data centre is evacuated.
    pub(super) has_evacuated: bool,
    /// Whether servers are left out since the request is bound to other regions.
    pub(super) has_other_regions: bool,
}

impl Exchange {
    /// Returns whether the request may be sent to `server`, by the regions to which its route and its team are bound.
    pub(super) fn may_be_served_at(&self, server: &BackendServer) -> bool {
        let bindings = [
            self.route.allowed_regions.as_slice(),
            self.team_regions.as_slice(),
        ];
        let data_centre = &server.entry.data_centre;
        self.gateway.regions.may_serve(data_centre, &bindings)
    }

    /// Returns the servers as they are now. Cold ones for which this gateway has no token are withheld.
    pub(super) fn candidates<'a>(&self, servers: &'a [BackendServer]) -> Candidates<'a> {
        let now = BootInstant::now();
        let gate = &self.gateway.gate;
        let policy = gate.policy(self.service.as_ref());
        let is_engine = self.is_engine();
        let evacuations = self.gateway.catalog.evacuations();
        let statuses = self.gateway.loads.statuses(servers, now);
        let mut candidates = Candidates {
            views: Vec::with_capacity(servers.len()),
            cold_left: None,
            has_evacuated: false,
            has_other_regions: false,
        };
        for (server, status) in servers.iter().zip(statuses) {
            let is_evacuated = evacuations.is_evacuated(&server.entry.data_centre);
            candidates.has_evacuated |= is_evacuated;
            let is_allowed = self.may_be_served_at(server);
            candidates.has_other_regions |= !is_allowed;
            let cold_left = policy.as_ref().and_then(|policy| {
                gate.cold_left(server, &status.warmth, policy, &evacuations, now)
            });
            candidates.cold_left = candidates.cold_left.max(cold_left);
            candidates.views.push(ServerView {
                id: &server.id,
                is_near: server.entry.data_centre == self.gateway.data_centre,
                slots: server.entry.slots,
                load: status.load,
                smoothed_load: status.smoothed_load,
                is_suspended: status.is_suspended,
                is_tried: self.is_tried(server),
                is_warming_up: status.is_warming_up,
                is_draining: server.entry.is_draining
                    || status.is_closed
                    || is_evacuated
                    || !is_allowed,
                is_cold: cold_left.is_some(),
                is_withheld: false,
                // The hint of a moment is for calls as short as it lasts.
                slowness: status
                    .speed_hint
                    .filter(|_| !is_engine)
                    .map_or(status.slowness, |hint| {
                        status.slowness.max(hint.min(MAX_HINT))
                    }),
            });
        }
        if let Some(policy) = policy.filter(|_| candidates.cold_left.is_some()) {
            let views = &mut candidates.views;
            let has_warm = views
                .iter()
                .any(|view| !view.is_cold && !view.is_tried && view.is_available());
            let yields = !has_warm && self.rank > 0;
            for (view, server) in views.iter_mut().zip(servers) {
                view.is_withheld = view.is_cold && !gate.has_token(server, &policy, yields, now);
            }
        }
        candidates
    }
}
