//! One version of the configuration: routes, services, teams and limits.

use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// What may be done with a request more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum RetryMode {
    /// A plain call that may run any number of times.
    Idempotent,
    /// A plain call that may run once at most.
    Once,
    /// A stream that may go on at another server after its last event.
    ResumableStream,
    /// A stream that may run once at most.
    OnceStream,
}

impl RetryMode {
    /// Tells whether a second run is allowed.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OnceStream)
    }
}

/// A service that takes part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight against the other shares of the route; zero takes nothing.
    pub weight: u32,
}

/// How requests of one host and path prefix are treated.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Services behind the route.
    pub shares: Vec<Share>,
    /// What may be repeated.
    #[serde(rename = "repeat")]
    pub retry_mode: RetryMode,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to the first event, within which it has its full value.
    pub latency_target: Duration,
    /// Longest pause between events within which a stream has its full value.
    pub gap_target: Duration,
    /// Most backend servers that one request may be sent to.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Rank, 0 first.
    pub priority: u8,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// Sizes of a service's engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineLimits {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that fit into memory, running and cached.
    pub cache_tokens: u64,
}

/// A service that backend servers offer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Service {
    /// Name that routes and servers use.
    pub name: String,
    /// Most connections of all callers together that one server takes.
    pub max_connections: u32,
    /// Set where the servers are model engines.
    pub engine: Option<EngineLimits>,
}

/// A team and the keys of its callers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Team {
    /// Name that backend servers see.
    pub name: String,
    /// Keys by which callers show that they belong to the team.
    pub keys: Vec<String>,
    /// Rank that goes before the route's, 0 first.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for the head of a request.
    pub header_timeout: Duration,
    /// Time without a request after which a connection may be closed.
    pub idle_timeout: Duration,
}

/// One version of the configuration, arranged for lookups.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Configuration {
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    teams: Vec<Team>,
    keys: Vec<(String, usize)>,
    limits: Limits,
}

impl Configuration {
    /// Arranges a configuration; a key that two teams hold belongs to the first by name.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        mut teams: Vec<Team>,
        limits: Limits,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        teams.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys: Vec<(String, usize)> = Vec::new();
        for (index, team) in teams.iter().enumerate() {
            keys.extend(team.keys.iter().map(|key| (key.clone(), index)));
        }
        keys.sort();
        keys.dedup_by(|later, first| later.0 == first.0);
        Self {
            version,
            routes,
            services,
            teams,
            keys,
            limits,
        }
    }

    /// Gives the version; versions grow in uneven steps.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Gives the limits for callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Lends all routes, sorted by host and path prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Finds the route of `host` whose prefix is the longest that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let start = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        self.routes[start..]
            .iter()
            .take_while(|route| route.host == host)
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Finds the team that holds `key`.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        let at = self
            .keys
            .binary_search_by(|(known, _)| known.as_str().cmp(key))
            .ok()?;
        self.teams.get(self.keys[at].1)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name))
            .ok()?;
        self.services.get(at)
    }
}
