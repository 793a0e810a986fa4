//! The record of a day by the keys that rules ask for.

use std::time::Duration;
use std::time::Instant;

use crate::day::record::CallerAttempt;
use crate::day::record::ConfigRecord;
use crate::day::record::DayRecord;
use crate::day::record::RouteKind;
use crate::day::record::RouteRecord;
use crate::day::record::ServerRecord;
use crate::day::record::TroubleRecord;
use crate::standin::replica::Run;

/// Kinds of what callers do, which leave gateways in touch.
const OF_CALLERS: [&str; 6] = [
    "burst",
    "give_up",
    "hot_key",
    "hot_tenant",
    "idle",
    "retry_abuse",
];
/// Kinds of planned work that leaves the gateways in touch that it is about.
const CHANGES: [&str; 5] = [
    "big_config",
    "config_change",
    "config_storm",
    "hup",
    "revoke",
];
/// What the names of kinds of troubles of the store begin with.
const STORE: &str = "platform_";

pub(super) struct Index<'a> {
    pub(super) day: &'a DayRecord,
    /// Numbers of attempts, sorted by ID.
    by_id: Vec<(&'a str, usize)>,
    /// Numbers of runs, sorted by request ID and then by time.
    by_request: Vec<(&'a str, Instant, usize)>,
    /// The last version of each route, sorted by name.
    routes: Vec<&'a RouteRecord>,
}

impl<'a> Index<'a> {
    pub(super) fn new(day: &'a DayRecord) -> Self {
        let attempts = day.attempts.iter().enumerate();
        let mut by_id: Vec<_> = attempts
            .map(|(number, it)| (it.id.as_str(), number))
            .collect();
        by_id.sort_unstable();
        let runs = day.runs.iter().enumerate();
        let mut by_request: Vec<_> = runs
            .map(|(number, run)| (run.request_id.as_str(), run.at, number))
            .collect();
        by_request.sort_unstable();
        let mut routes: Vec<_> = day.configs.iter().rev().flat_map(|it| &it.routes).collect();
        routes.sort_by_key(|route| &route.name);
        routes.dedup_by_key(|route| &route.name);
        Self {
            day,
            by_id,
            by_request,
            routes,
        }
    }

    pub(super) fn attempt(&self, id: &str) -> Option<&'a CallerAttempt> {
        let found = self.by_id.binary_search_by_key(&id, |(known, _)| known);
        Some(&self.day.attempts[self.by_id[found.ok()?].1])
    }

    /// Returns the runs of a request in the order of their times.
    pub(super) fn runs_of(&self, id: &str) -> impl Iterator<Item = &'a Run> + Clone {
        let start = self.by_request.partition_point(|(known, ..)| *known < id);
        let end = self.by_request.partition_point(|(known, ..)| *known <= id);
        let runs = &self.day.runs;
        let of_request = self.by_request[start..end].iter();
        of_request.map(move |(_, _, number)| &runs[*number])
    }

    /// Returns the last version of the route with this name.
    pub(super) fn route(&self, name: &str) -> Option<&'a RouteRecord> {
        let found = self.routes.binary_search_by_key(&name, |route| &route.name);
        Some(self.routes[found.ok()?])
    }

    pub(super) fn kind(&self, attempt: &CallerAttempt) -> Option<RouteKind> {
        Some(self.route(&attempt.route)?.kind)
    }

    /// Returns whether a request may run once at most.
    pub(super) fn runs_once(&self, attempt: &CallerAttempt) -> bool {
        matches!(
            self.kind(attempt),
            Some(RouteKind::Unsafe | RouteKind::Stream)
        )
    }

    pub(super) fn server(&self, id: &str) -> Option<&'a ServerRecord> {
        let servers = &self.day.servers;
        let found = servers.binary_search_by_key(&id, |server| &server.id);
        Some(&servers[found.ok()?])
    }

    /// Returns the team of a key in any configuration.
    pub(super) fn team(&self, key: &str) -> Option<&'a str> {
        let configs = self.day.configs.iter();
        configs.filter_map(|config| key_of(config, key)).next()
    }

    /// Returns whether a gateway was in touch all the time from `from` to `to`.
    pub(super) fn is_in_touch(&self, gateway: usize, (from, to): (Instant, Instant)) -> bool {
        let is_struck = |trouble: &TroubleRecord| {
            strikes_gateway(trouble, gateway) && self.is_within(trouble, (from, to))
        };
        !self.day.troubles.iter().any(is_struck)
    }

    /// Returns whether the gateway that an attempt went to was in touch from its start to its end.
    pub(super) fn is_attempt_in_touch(&self, attempt: &CallerAttempt) -> bool {
        let times = (attempt.sent, attempt.ended);
        attempt
            .gateway
            .is_some_and(|gateway| self.is_in_touch(gateway, times))
    }

    /// Returns whether the store was undisturbed all the time from `from` to `to`.
    pub(super) fn is_store_stable(&self, (from, to): (Instant, Instant)) -> bool {
        let mut troubles = self.day.troubles.iter();
        !troubles.any(|it| it.kind.starts_with(STORE) && self.is_within(it, (from, to)))
    }

    /// Returns whether a server was struck at any time from `from` to `to`.
    pub(super) fn is_server_struck(&self, id: &str, (from, to): (Instant, Instant)) -> bool {
        let mut troubles = self.day.troubles.iter();
        troubles.any(|trouble| {
            let is_meant = trouble.servers.iter().any(|server| server == id);
            (is_meant || strikes_all(trouble)) && self.is_within(trouble, (from, to))
        })
    }

    /// Returns whether anything that nobody planned went wrong from `from` to `to`.
    pub(super) fn is_disrupted(&self, (from, to): (Instant, Instant)) -> bool {
        let mut troubles = self.day.troubles.iter();
        troubles.any(|trouble| {
            !trouble.is_planned && !is_of_callers(trouble) && self.is_within(trouble, (from, to))
        })
    }

    /// Returns whether a trouble, or the time after it until all is stable again, falls between `from` and `to`.
    fn is_within(&self, trouble: &TroubleRecord, (from, to): (Instant, Instant)) -> bool {
        let end = trouble.end.map(|end| end + self.day.bounds.stable);
        trouble.start <= to && end.is_none_or(|end| end >= from)
    }
}

/// Returns the team that holds a key.
pub(super) fn key_of<'a>(config: &'a ConfigRecord, key: &str) -> Option<&'a str> {
    let keys = &config.keys;
    let found = keys.binary_search_by_key(&key, |(known, _)| known);
    Some(&keys[found.ok()?].1)
}

/// Returns the route of a path: that with the longest prefix that begins it.
pub(super) fn route_of_path<'a>(config: &'a ConfigRecord, path: &str) -> Option<&'a RouteRecord> {
    let routes = config.routes.iter();
    let of_path = routes.filter(|route| path.starts_with(&route.path_prefix));
    of_path.max_by_key(|route| route.path_prefix.len())
}

/// Returns whether a planned trouble changes only what is in force.
pub(super) fn is_change(trouble: &TroubleRecord) -> bool {
    CHANGES.contains(&trouble.kind.as_str())
}

fn is_of_callers(trouble: &TroubleRecord) -> bool {
    OF_CALLERS.contains(&trouble.kind.as_str())
}

/// Returns whether a trouble names nothing that it strikes, so that it may strike all.
fn strikes_all(trouble: &TroubleRecord) -> bool {
    let names_nothing = trouble.gateways.is_empty() && trouble.servers.is_empty();
    let is_of_store = trouble.kind.starts_with(STORE);
    names_nothing && !trouble.is_planned && !is_of_store && !is_of_callers(trouble)
}

fn strikes_gateway(trouble: &TroubleRecord, gateway: usize) -> bool {
    let is_meant = trouble.gateways.contains(&gateway);
    (is_meant && !is_change(trouble) && !is_of_callers(trouble)) || strikes_all(trouble)
}

/// Returns the time by which `later` is after `earlier`.
pub(super) fn since(later: Instant, earlier: Instant) -> Duration {
    later.saturating_duration_since(earlier)
}
