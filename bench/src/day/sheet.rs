//! The sheet of a deployment: its hosts, servers, routes, callers, bounds and list of troubles, as a file in TOML.

use serde::Deserialize;
use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use super::day_file::Trouble;
use super::record::Bounds;
use super::record::RouteKind;
use super::record::RouteRecord;

/// A deployment.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Name, unique on the sheet.
    pub name: String,
    /// Delays of its links.
    pub delays: Delays,
    /// Its bounds.
    pub bounds: SheetBounds,
    /// Its data centres, in the order of their gateways.
    pub data_centres: Vec<DataCentre>,
    /// Its services. The first is the one that `@s0` stands for in day files.
    pub services: Vec<Service>,
    /// The first is the one that `@c0` stands for in day files.
    pub routes: Vec<Route>,
    /// Troubles that may come, without times.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

/// Delays of one way in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delays {
    /// Within a data centre.
    pub within_data_centre_ms: f64,
    /// From one data centre to another.
    pub between_data_centres_ms: f64,
    /// Between callers and the gateways of their data centre.
    pub to_callers_ms: f64,
}

/// Bounds that the gateways' settings name and the judge holds them to.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetBounds {
    /// Time after a trouble from which a host counts as in touch again.
    pub stable_ms: u64,
    /// Time until a configuration is in force.
    pub config_apply_ms: u64,
    /// Time until a key that was taken away is refused.
    pub revoke_ms: u64,
    /// Seconds from the request to stop to the end of a process.
    pub grace_s: u64,
    /// Time for which a server that leaves is reached on.
    pub drain_ms: u64,
    /// Interval at which servers write their entries.
    pub heartbeat_ms: u64,
    /// Seconds over which retries are counted.
    pub retry_window_s: u64,
    /// Retries for each request.
    pub retry_ratio: f64,
    /// Retries beside those.
    pub retry_slack: f64,
}

/// A data centre and what its callers send.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Name, unique on the sheet.
    pub name: String,
    /// Name of its region.
    pub region: String,
    /// Number of gateways.
    pub hosts: usize,
    /// Number of hosts beside those that may be added.
    #[serde(default)]
    pub spares: usize,
    /// Requests a second of its callers.
    pub rate: f64,
}

/// What the servers of a service are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines, which stream.
    Engine,
    /// Servers of plain requests.
    Plain,
}

/// A service and its servers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique on the sheet.
    pub name: String,
    /// What its servers are.
    pub kind: ServiceKind,
    /// Number of its servers in each data centre.
    pub servers_per_data_centre: usize,
    /// Requests that a server runs at once.
    pub slots: u32,
    /// Requests that wait at a server beside those.
    #[serde(default)]
    pub queue: u32,
    /// Connections that a server accepts from all gateways together.
    pub max_connections: u32,
    /// Tokens that an engine's memory holds.
    #[serde(default)]
    pub kv_capacity: u64,
    /// Time between two events of a stream.
    #[serde(default)]
    pub event_gap_ms: u64,
}

/// Kind of a route in a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SheetRouteKind {
    /// Requests that may run any number of times.
    Safe,
    /// Requests that may run once for each attempt of their caller.
    Unsafe,
    /// Streams.
    Stream,
}

/// Number of events of a stream: lognormal, of this mean, with this standard deviation of its logarithm, at most `max`.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventCounts {
    /// Mean of the numbers.
    pub mean: f64,
    /// Standard deviation of their logarithms.
    pub spread: f64,
    /// Largest number.
    pub max: u64,
}

/// A route and the requests of its callers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name, unique on the sheet.
    pub name: String,
    /// What its requests are.
    pub kind: SheetRouteKind,
    /// Whether streams may go on with another run.
    #[serde(default)]
    pub resumable: bool,
    /// Name of the service that runs its requests.
    pub service: String,
    /// Largest number of servers that an attempt of a caller may reach.
    pub max_attempts: u32,
    /// Longest time that a request is kept waiting.
    pub timeout_ms: u64,
    /// Time within which a response, or the first event of a stream, is on time.
    pub latency_target_ms: u64,
    /// Longest pause between events of a stream that is on time.
    pub gap_target_ms: Option<u64>,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Share of this route in the requests of each data centre, by its part of the sum over all routes.
    pub rate: f64,
    /// Time that callers announce.
    pub deadline_ms: u64,
    /// Attempts of a caller beside the first.
    pub caller_retries: u32,
    /// Mean numbers of tokens of the parts of a prompt, the last of which is the request's own.
    #[serde(default)]
    pub prompt_tokens: Vec<u64>,
    /// Numbers of events; streams only.
    pub events: Option<EventCounts>,
    /// Mean time that a plain request runs.
    #[serde(default)]
    pub work_ms: u64,
    /// Bytes of a request's body; requests without a body are sent with GET.
    pub request_bytes: usize,
}

/// Why a sheet or day can't be used.
#[derive(Debug)]
pub enum SheetError {
    /// The file can't be read.
    Read(PathBuf, io::Error),
    /// The file has another form.
    Form(PathBuf, Box<toml::de::Error>),
    /// Names or numbers don't fit each other.
    Content(PathBuf, String),
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, err) => write!(f, "cannot read {}: {err}", path.display()),
            Self::Form(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Content(path, problem) => write!(f, "{}: {problem}", path.display()),
        }
    }
}

impl std::error::Error for SheetError {}

impl Sheet {
    /// Reads a sheet.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or names what it doesn't have.
    pub fn read(path: &Path) -> Result<Self, SheetError> {
        let text =
            std::fs::read_to_string(path).map_err(|err| SheetError::Read(path.to_owned(), err))?;
        let sheet: Self = toml::from_str(&text)
            .map_err(|err| SheetError::Form(path.to_owned(), Box::new(err)))?;
        match sheet.problem() {
            Some(problem) => Err(SheetError::Content(path.to_owned(), problem)),
            None => Ok(sheet),
        }
    }

    fn problem(&self) -> Option<String> {
        if self.data_centres.iter().all(|place| place.hosts == 0) {
            return Some("there is no host".to_owned());
        }
        if self.routes.is_empty() {
            return Some("there is no route".to_owned());
        }
        let is_unknown = |route: &&Route| self.service(&route.service).is_none();
        if let Some(route) = self.routes.iter().find(is_unknown) {
            return Some(format!("route {} has no service", route.name));
        }
        let lacks_events =
            |route: &&Route| route.kind == SheetRouteKind::Stream && route.events.is_none();
        let route = self.routes.iter().find(lacks_events)?;
        Some(format!("stream {} has no numbers of events", route.name))
    }

    /// Returns the service of this name, or `None` if there is none.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the route of this name, or `None` if there is none.
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Returns the data centre of each gateway by its number, those that may be added last, as an index of
    /// [`Sheet::data_centres`].
    pub fn places_of_gateways(&self) -> Vec<usize> {
        let places = || self.data_centres.iter().enumerate();
        let hosts = places().flat_map(|(number, it)| std::iter::repeat_n(number, it.hosts));
        let spares = places().flat_map(|(number, it)| std::iter::repeat_n(number, it.spares));
        hosts.chain(spares).collect()
    }

    /// Returns the number of gateways that run from the start.
    pub fn hosts(&self) -> usize {
        self.data_centres.iter().map(|place| place.hosts).sum()
    }

    /// Returns the delay of one way between two data centres, given by their numbers.
    pub fn delay_between(&self, one: usize, other: usize) -> Duration {
        let ms = if one == other {
            self.delays.within_data_centre_ms
        } else {
            self.delays.between_data_centres_ms
        };
        Duration::from_secs_f64(ms / 1e3)
    }

    /// Returns the delay of one way between callers and gateways.
    pub fn delay_to_callers(&self) -> Duration {
        Duration::from_secs_f64(self.delays.to_callers_ms / 1e3)
    }

    /// Returns the host name of a route's requests, which is the same for all.
    pub fn hostname(&self) -> String {
        format!("{}.example", self.name)
    }

    /// Returns the bounds as the judge uses them.
    pub fn judge_bounds(&self) -> Bounds {
        let bounds = &self.bounds;
        Bounds {
            stable: Duration::from_millis(bounds.stable_ms),
            config_apply: Duration::from_millis(bounds.config_apply_ms),
            revoke: Duration::from_millis(bounds.revoke_ms),
            grace: Duration::from_secs(bounds.grace_s),
            drain: Duration::from_millis(bounds.drain_ms),
            retry_ratio: bounds.retry_ratio,
            retry_slack: bounds.retry_slack,
            retry_window: Duration::from_secs(bounds.retry_window_s),
        }
    }
}

impl Route {
    /// Returns the beginning of the path of the route's requests.
    pub fn path_prefix(&self) -> String {
        format!("/{}/", self.name)
    }

    /// Returns whether its requests are streams.
    pub fn is_stream(&self) -> bool {
        self.kind == SheetRouteKind::Stream
    }

    /// Returns the route as a configuration has it.
    pub fn record(&self) -> RouteRecord {
        RouteRecord {
            name: self.name.clone(),
            path_prefix: self.path_prefix(),
            kind: match (self.kind, self.resumable) {
                (SheetRouteKind::Safe, _) => RouteKind::Safe,
                (SheetRouteKind::Unsafe, _) => RouteKind::Unsafe,
                (SheetRouteKind::Stream, false) => RouteKind::Stream,
                (SheetRouteKind::Stream, true) => RouteKind::ResumableStream,
            },
            service: self.service.clone(),
            max_attempts: self.max_attempts,
            timeout: Duration::from_millis(self.timeout_ms),
            latency_target: Duration::from_millis(self.latency_target_ms),
            gap_target: self.gap_target_ms.map(Duration::from_millis),
        }
    }
}
