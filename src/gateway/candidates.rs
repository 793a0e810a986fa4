//! The servers of a request's service, with what is known of each: what placement chooses from.

use super::exchange::Exchange;
use super::handler::Gateway;
use crate::catalog::BackendServer;
use crate::catalog::Route;
use crate::catalog::Service;
use crate::clock::BootInstant;
use crate::decide::ServerView;
use std::time::Duration;

/// Maximum slowness by a server's own word, so that a wrong one doesn't leave it without calls.
const MAX_HINT: f64 = 4.0;

/// The servers of a request's service as placement sees them.
pub(super) struct Candidates<'a> {
    pub(super) views: Vec<ServerView<'a>>,
    pub(super) exclusions: Exclusions,
}

/// Which kinds of servers are left out of the candidates.
#[derive(Clone, Copy, Default)]
pub(super) struct Exclusions {
    /// Longest time for which a server is still cold; `None` if none is.
    cold_left: Option<Duration>,
    /// Whether servers are left out since their data centre is evacuated.
    has_evacuated: bool,
    /// Whether servers are left out since the request is bound to other regions.
    has_other_regions: bool,
}

/// Why no server may get a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NoServer {
    /// All have got what the limits allow that they name.
    AtLimits,
    /// Those that are left are cold, at most for this time.
    Cold(Duration),
    /// Those that are left are in evacuated data centres.
    Evacuated,
    /// Those that are left are in regions to which the request is not bound.
    OtherRegions,
    /// There is none.
    NotFound,
}

impl NoServer {
    /// Returns the cause as refusals name it.
    pub(super) fn cause(self) -> &'static str {
        match self {
            Self::AtLimits => "servers at their limits",
            Self::Cold(_) => "servers cold",
            Self::Evacuated => "data centre evacuated",
            Self::OtherRegions => "no server in allowed regions",
            Self::NotFound => "no server",
        }
    }
}

impl Exclusions {
    /// Returns why none of `views` may get the request; `over_limit` servers were passed over because of their limits.
    pub(super) fn no_server(&self, views: &[ServerView<'_>], over_limit: u32) -> NoServer {
        let is_withheld = views.iter().any(|view| view.is_withheld && !view.is_tried);
        match self.cold_left.filter(|_| is_withheld) {
            _ if over_limit > 0 => NoServer::AtLimits,
            Some(cold_left) => NoServer::Cold(cold_left),
            None if self.has_evacuated => NoServer::Evacuated,
            None if self.has_other_regions => NoServer::OtherRegions,
            None => NoServer::NotFound,
        }
    }
}

/// What decides which servers a request may be sent to.
pub(super) struct ServerQuery<'q> {
    pub(super) gateway: &'q Gateway,
    pub(super) route: &'q Route,
    pub(super) service: Option<&'q Service>,
    /// Regions to which the team is bound.
    pub(super) team_regions: &'q [String],
    pub(super) rank: u8,
    /// Whether the request was sent to a server before.
    pub(super) is_tried: &'q dyn Fn(&BackendServer) -> bool,
}

impl ServerQuery<'_> {
    pub(super) fn is_engine(&self) -> bool {
        self.service.is_some_and(|service| service.engine.is_some())
    }

    /// Returns whether the request may be sent to `server`, by the regions to which its route and its team are bound.
    pub(super) fn may_be_served_at(&self, server: &BackendServer) -> bool {
        let bindings = [self.route.allowed_regions.as_slice(), self.team_regions];
        let data_centre = &server.entry.data_centre;
        self.gateway.regions.may_serve(data_centre, &bindings)
    }

    /// Returns the servers as they are now. Cold ones for which this gateway has no token are withheld.
    pub(super) fn candidates<'a>(&self, servers: &'a [BackendServer]) -> Candidates<'a> {
        let now = BootInstant::now();
        let gate = &self.gateway.gate;
        let policy = gate.policy(self.service);
        let is_engine = self.is_engine();
        let evacuations = self.gateway.catalog.evacuations();
        let statuses = self.gateway.loads.statuses(servers, now);
        let mut candidates = Candidates {
            views: Vec::with_capacity(servers.len()),
            exclusions: Exclusions::default(),
        };
        for (server, status) in servers.iter().zip(statuses) {
            let is_evacuated = evacuations.is_evacuated(&server.entry.data_centre);
            candidates.exclusions.has_evacuated |= is_evacuated;
            let is_allowed = self.may_be_served_at(server);
            candidates.exclusions.has_other_regions |= !is_allowed;
            let cold_left = policy.as_ref().and_then(|policy| {
                gate.cold_left(server, &status.warmth, policy, &evacuations, now)
            });
            candidates.exclusions.cold_left = candidates.exclusions.cold_left.max(cold_left);
            candidates.views.push(ServerView {
                id: &server.id,
                is_near: server.entry.data_centre == self.gateway.data_centre,
                slots: server.entry.slots,
                load: status.load,
                smoothed_load: status.smoothed_load,
                is_suspended: status.is_suspended,
                is_tried: (self.is_tried)(server),
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
        if let Some(policy) = policy.filter(|_| candidates.exclusions.cold_left.is_some()) {
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

impl Exchange {
    /// Returns the servers of the request's service as they are now.
    pub(super) fn candidates<'a>(&self, servers: &'a [BackendServer]) -> Candidates<'a> {
        self.server_query(&|server| self.is_tried(server))
            .candidates(servers)
    }

    pub(super) fn server_query<'q>(
        &'q self,
        is_tried: &'q dyn Fn(&BackendServer) -> bool,
    ) -> ServerQuery<'q> {
        ServerQuery {
            gateway: &self.gateway,
            route: &self.route,
            service: self.service.as_ref(),
            team_regions: &self.team_regions,
            rank: self.rank,
            is_tried,
        }
    }

    /// Returns whether the request may be sent to `server`, by the regions to which its route and its team are bound.
    pub(super) fn may_be_served_at(&self, server: &BackendServer) -> bool {
        self.server_query(&|_| false).may_be_served_at(server)
    }
}
