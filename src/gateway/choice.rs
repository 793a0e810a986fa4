//! Chooses the service and the server that a request is sent to.
//!
//! The algorithms are in [`crate::decide`]; this module passes them the gateway's catalog state and server loads.

use super::candidates::NoServer;
use super::exchange::Exchange;
use super::exchange::MIN_TIME_LEFT;
use super::handler::Gateway;
use super::refusal::Refusal;
use super::send_gate::SendPermit;
use crate::catalog::BackendServer;
use crate::catalog::Route;
use crate::clock::BootInstant;
use crate::decide::AdmissionRequest;
use crate::decide::Choice;
use crate::decide::HeavyTeam;
use crate::decide::Placement;
use crate::decide::PlacementRequest;
use crate::decide::RetryAfter;
use crate::decide::ServerView;
use crate::decide::hash;
use crate::decide::smoothed_load_per_slot;
use hyper::StatusCode;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::net::SocketAddr;

/// Number of servers at their limits that are chosen before all of those whose limits are used up are left out, which
/// bounds the time for a choice among many.
const MAX_LIMITED_CHOICES: u32 = 8;

/// The server that a request is sent to.
pub(super) struct Target {
    pub(super) server: BackendServer,
    /// Known load of the server, in multiples of its slots.
    pub(super) load_per_slot: f64,
    /// Server from which the shared parts of the prompt may be copied.
    pub(super) copy_from: Option<SocketAddr>,
    pub(super) permit: SendPermit,
}

impl Exchange {
    /// Chooses the server for the next send.
    ///
    /// Refuses the request if too little time is left, if its service has no suitable server or, before the first send
    /// only, if it is not admitted at the present load of the service.
    pub(super) fn choose_server(&mut self) -> Result<Target, Refusal> {
        if self.time_left() <= MIN_TIME_LEFT {
            let status = if self.may_have_run {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return Err(Refusal::new(status, "time is over"));
        }
        let (servers, list_version) = self.gateway.catalog.servers_of(&self.service_name);
        self.report.list_version = list_version;
        let candidates = self.candidates(&servers);
        let exclusions = candidates.exclusions;
        let server_views = candidates.views;
        let is_admitted = self.sends > 0 || self.is_admitted(&servers, &server_views);
        let placement: &dyn Placement = if self.is_engine() {
            &self.gateway.engines
        } else {
            &self.gateway.plain
        };
        let placement_request = PlacementRequest {
            parts: &self.metadata.parts,
            salt: self.salt,
        };
        let (servers, mut server_views): (Vec<&BackendServer>, Vec<ServerView<'_>>) = servers
            .iter()
            .zip(server_views)
            .filter(|(server, _)| self.has_stream_version(server) && self.may_be_served_at(server))
            .unzip();
        let is_trial = self.crash_guard.is_trial();
        let choose = |views: &[ServerView<'_>]| {
            if is_trial {
                least_loaded(views)
            } else {
                placement.choose(&placement_request, views)
            }
        };
        let (choice, over_limit) = self.choose_within_limits(&servers, &mut server_views, &choose);
        self.report.over_limit = over_limit;
        let Some((choice, permit)) = choice else {
            let reason = exclusions.no_server(&server_views, over_limit);
            return Err(match reason {
                NoServer::Cold(left) => {
                    self.unserved_refusal(reason.cause(), RetryAfter::within(left))
                }
                NoServer::NotFound => self.no_server_refusal(reason.cause()),
                _ => self.overload_refusal(reason.cause()),
            });
        };
        let chosen = &server_views[choice.index];
        // A server with a limit has room within it, however full the others are, and so has a cold one.
        let has_own_bound = chosen.is_cold || self.gateway.rates.has_limit(servers[choice.index]);
        if !is_admitted && !has_own_bound {
            return Err(self
                .overload_refusal("service full")
                .with_detail(self.share_detail()));
        }
        self.report.load = chosen.load;
        self.report.passed_over = choice.passed_over;
        Ok(Target {
            server: servers[choice.index].clone(),
            load_per_slot: chosen.load_per_slot(),
            copy_from: choice.copy_from.map(|index| servers[index].entry.address),
            permit,
        })
    }

    /// Chooses a server by `choose` that may get the request within the limit that it names, if it names one, and while it is
    /// cold. Returns also how many servers were passed over because of their limits.
    fn choose_within_limits(
        &self,
        servers: &[&BackendServer],
        server_views: &mut [ServerView<'_>],
        choose: &dyn Fn(&[ServerView<'_>]) -> Option<Choice>,
    ) -> (Option<(Choice, SendPermit)>, u32) {
        let gate = &self.gateway.gate;
        let cold_policy = gate.policy(self.service.as_ref());
        let rates = &self.gateway.rates;
        let mut over_limit = 0;
        for index in rates.left_to_others(servers) {
            over_limit += u32::from(!server_views[index].is_draining);
            server_views[index].is_draining = true;
        }
        let mut tries = 0;
        loop {
            let Some(choice) = choose(server_views) else {
                return (None, over_limit);
            };
            let server = servers[choice.index];
            let view = &server_views[choice.index];
            if over_limit > 0 && view.is_suspended && view.load >= view.slots {
                // What the others can't take would keep a full server that no longer responds from recovering.
                return (None, over_limit);
            }
            let random = hash(&[&self.salt.to_le_bytes(), server.id.as_bytes()]);
            let fraction = f64::from((random >> 32) as u32) / f64::from(u32::MAX);
            let cold_policy = cold_policy.as_ref().filter(|_| view.is_cold);
            let now = BootInstant::now();
            if cold_policy.is_some_and(|policy| !gate.take_token(server, policy, now)) {
                // Another request took the token in the meantime.
                server_views[choice.index].is_withheld = true;
                continue;
            }
            let permit = cold_policy.map_or(SendPermit::Warm, |_| SendPermit::Token(now));
            if rates.may_send(server, fraction) {
                return (Some((choice, permit)), over_limit);
            }
            over_limit += 1;
            tries += 1;
            server_views[choice.index].is_draining = true;
            if tries == MAX_LIMITED_CHOICES {
                // One placement is enough for the others: those whose limits are used up are left out.
                for (view, server) in server_views.iter_mut().zip(servers) {
                    view.is_draining |= rates.is_exhausted(server);
                }
            }
        }
    }

    /// Returns whether the request may not be sent to `server` because it had it before or, once the route's attempts are
    /// used up, did not have it.
    pub(super) fn is_tried(&self, server: &BackendServer) -> bool {
        if self.released.contains(&server.id) {
            return false;
        }
        self.sends >= self.route.max_attempts || self.report.servers.contains(&server.id)
    }

    /// Returns whether the service has a server of the stream's software version that accepts requests and has not been
    /// sent this one yet, and whether one of these is known to respond. If there is none, the request is not retried,
    /// and the caller gets the result of the earlier sends.
    pub(super) fn untried_servers(&self) -> (bool, bool) {
        let (servers, _) = self.gateway.catalog.servers_of(&self.service_name);
        let views = self.candidates(&servers).views;
        let untried = servers.iter().zip(views).filter(|(server, view)| {
            !view.is_draining
                && !view.is_withheld
                && !view.is_tried
                && self.has_stream_version(server)
                && !self.gateway.rates.is_exhausted(server)
        });
        let (mut has_untried, mut has_responsive) = (false, false);
        for (_, view) in untried {
            has_untried = true;
            has_responsive |= !view.is_suspended;
        }
        (has_untried, has_responsive)
    }

    /// Records the request in the load statistics of its service, and returns whether it is admitted at the present
    /// load. Under overload some requests are rejected, so that the admitted ones are answered in time. If no server is
    /// available, the load is unknown and the request is admitted.
    fn is_admitted(&self, servers: &[BackendServer], server_views: &[ServerView<'_>]) -> bool {
        let Some(load_per_slot) = self.gateway.load_per_slot(servers, server_views) else {
            return true;
        };
        let stats = &self.gateway.admission_stats;
        let demand = &self.gateway.team_demand;
        let heavy_teams = demand.heavy(&self.service_name, BootInstant::now());
        let admission_request = AdmissionRequest {
            is_caller_retry: self.report.is_caller_retry,
            ..first_request(
                &self.route,
                self.rank,
                self.team.as_deref(),
                &heavy_teams,
                self.salt,
            )
        };
        let service_load = stats.record_request(
            &self.route.name,
            &self.service_name,
            load_per_slot,
            &admission_request,
        );
        self.gateway
            .metrics
            .record_service_load(&self.service_name, &service_load);
        self.gateway
            .admission
            .accepts(&service_load, &admission_request)
    }

    pub(super) fn is_engine(&self) -> bool {
        let service = self.service.as_ref();
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Returns what to log of the share of the caller's team in a full service; nothing if the team is not heavy.
    fn share_detail(&self) -> String {
        let demand = &self.gateway.team_demand;
        let heavy = demand.heavy(&self.service_name, BootInstant::now());
        let own = heavy
            .iter()
            .find(|heavy| Some(heavy.team.as_str()) == self.team.as_deref());
        own.map_or_else(String::new, |heavy| {
            format!(
                "team {} has {:.2} of the requests, fair is {:.2}",
                heavy.team, heavy.share, heavy.floor
            )
        })
    }
}

impl Gateway {
    /// Returns the smoothed load of `servers` per slot, by which requests are admitted. Servers with limits are left out, since
    /// they can't take what is too much for the others.
    pub(super) fn load_per_slot(
        &self,
        servers: &[BackendServer],
        server_views: &[ServerView<'_>],
    ) -> Option<f64> {
        let views = servers.iter().zip(server_views);
        let unlimited = views.filter(|(server, _)| !self.rates.has_limit(server));
        let unlimited: Vec<ServerView<'_>> = unlimited.map(|(_, view)| *view).collect();
        smoothed_load_per_slot(&unlimited)
    }
}

/// Returns what admission uses of a request that its caller sends for the first time; `salt` is the hash of its id.
pub(super) fn first_request<'a>(
    route: &Route,
    rank: u8,
    team: Option<&'a str>,
    heavy_teams: &'a [HeavyTeam],
    salt: u64,
) -> AdmissionRequest<'a> {
    AdmissionRequest {
        // The lower half of the salt; `RetryAfter::delay` uses the upper half.
        random_fraction: f64::from(salt as u32) / f64::from(u32::MAX),
        rank,
        is_caller_retry: false,
        latency_target: route.latency_target,
        is_stream: route.retry_mode.is_stream(),
        team,
        heavy_teams,
    }
}

/// Chooses the usable server with the fewest requests in flight.
fn least_loaded(server_views: &[ServerView<'_>]) -> Option<Choice> {
    let views = server_views.iter().enumerate();
    let usable = views.filter(|(_, view)| view.is_available());
    let index = usable.min_by_key(|(_, view)| view.load)?.0;
    Some(Choice {
        index,
        passed_over: 0,
        copy_from: None,
    })
}

/// Hashes a request id to a number that is evenly distributed and the same on every node.
pub(super) fn hash_request_id(request_id: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(request_id.as_bytes());
    hasher.finish()
}

/// Picks one of the route's services by weight; `None` if the weights add up to zero. The choice depends only on the
/// route and on `salt`, the hash of the request id.
pub(super) fn pick_service(route: &Route, salt: u64) -> Option<String> {
    let total: u64 = route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    if total == 0 {
        return None;
    }
    let mut remainder = salt % total;
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if remainder < weight {
            return Some(share.service.clone());
        }
        remainder -= weight;
    }
    None
}
