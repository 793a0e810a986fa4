//! One version of the configuration: routes, services, teams and limits.

use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// Whether a request may be sent to a backend server more than once, and the kind of its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum RetryMode {
    /// A call with a plain response that may run any number of times.
    Idempotent,
    /// A call with a plain response that may run at most once.
    Once,
    /// A stream of events that another server can continue after the last event received.
    ResumableStream,
    /// A stream of events that may run at most once.
    OnceStream,
}

impl RetryMode {
    /// Returns whether the request may be retried.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OnceStream)
    }
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares of the route; a share with weight zero gets no requests.
    pub weight: u32,
}

/// Rules for requests to one host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Route {
    /// Name used in logs and metrics.
    pub name: String,
    /// Host name that requests are addressed to.
    pub host: String,
    /// Prefix of the request path, with a slash at both ends.
    pub path_prefix: String,
    /// Services that share the requests of the route.
    pub shares: Vec<Share>,
    /// Whether requests may be retried.
    #[serde(rename = "repeat")]
    pub retry_mode: RetryMode,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Target for the time to the response or to the first event; a later one is of less value to the caller.
    pub latency_target: Duration,
    /// Target for the time between events of a stream; longer gaps lower its value to the caller.
    pub gap_target: Duration,
    /// Maximum number of times that one request is sent to backend servers.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Priority rank; 0 is served first.
    pub priority: u8,
    /// Whether callers are accepted without a key.
    pub is_public: bool,
    /// Regions whose servers may get its requests; all if there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<String>,
}

/// Capacity of each model engine of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineLimits {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Number of tokens that fit into memory, those of running requests and cached ones together.
    pub cache_tokens: u64,
}

/// What a server of a service bears while it is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ColdLimits {
    /// Time for which a server is cold after its start.
    pub time: Duration,
    /// Requests that a cold server bears in a thousand seconds, from all gateways together.
    pub millirequests_per_s: u64,
}

/// A service that backend servers provide.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Service {
    /// Name by which routes and backend servers refer to it.
    pub name: String,
    /// Path at which its servers tell their health and their names; `None` if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
    /// Maximum number of connections that one server accepts, over all callers.
    pub max_connections: u32,
    /// Capacity of the engines; `None` for a plain service.
    pub engine: Option<EngineLimits>,
    /// What servers bear while they are cold; `None` if that is not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdLimits>,
}

/// A team and the keys of its callers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Team {
    /// Name that is passed on to backend servers.
    pub name: String,
    /// Keys with which the team's callers authenticate.
    pub keys: Vec<String>,
    /// Priority rank that overrides the route's; 0 is served first.
    pub priority: Option<u8>,
    /// Regions whose servers may get its requests, beside what the route allows; all if there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<String>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving the head of a request.
    pub header_timeout: Duration,
    /// Time without a request after which a connection may be closed.
    pub idle_timeout: Duration,
}

/// One version of the configuration, sorted for lookups.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Configuration {
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    teams: Vec<Team>,
    /// Whether callers need a key on routes that are not public. Nodes that send no such field ask for keys.
    #[serde(default = "needs_keys_by_default")]
    needs_keys: bool,
    /// Keys in sorted order, each with the index of its team in `teams`.
    keys: Vec<(String, usize)>,
    limits: Limits,
}

fn needs_keys_by_default() -> bool {
    true
}

impl Configuration {
    /// Creates a configuration. A key held by several teams belongs to the one whose name sorts first. Without a list of
    /// teams, callers need no key; an empty list lets nobody use routes that are not public.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        teams: Option<Vec<Team>>,
        limits: Limits,
    ) -> Self {
        let needs_keys = teams.is_some();
        let mut teams = teams.unwrap_or_default();
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
            needs_keys,
            keys,
            limits,
        }
    }

    /// Returns the version. Versions increase, but not always by one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns all routes, sorted by host and path prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the route of `host` with the longest path prefix that matches `path`.
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

    /// Returns whether callers need a key for requests on `route`.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.needs_keys && !route.is_public
    }

    /// Returns the team that holds `key`.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        let at = self
            .keys
            .binary_search_by(|(known, _)| known.as_str().cmp(key))
            .ok()?;
        self.teams.get(self.keys[at].1)
    }

    /// Returns the team called `name`.
    pub fn team(&self, name: &str) -> Option<&Team> {
        let at = self
            .teams
            .binary_search_by(|team| team.name.as_str().cmp(name))
            .ok()?;
        self.teams.get(at)
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name))
            .ok()?;
        self.services.get(at)
    }
}
