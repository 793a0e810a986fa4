//! Callers of a day: they send by the rates of the sheet whatever becomes of their requests, and try again as the pages allow.
//!
//! Each caller keeps connections of its own, or opens one for each request. An attempt that follows another comes on a new connection,
//! so that it may reach another gateway. Servers can tell the number of events of a stream from the second number of its token
//! counts, which is the same for all attempts of a request.

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use self::connection::Pool;
use self::request::Request;
use super::day_file::Trouble;
use super::record::CallerAttempt;
use super::record::RouteKind;
use super::sheet::EventCounts;
use super::sheet::Route;
use crate::truth::lock;

mod connection;
mod request;
#[cfg(test)]
mod tests;

/// Callers of each data centre.
const CALLERS: usize = 60;
/// Every this-many-th caller opens a connection for each request.
const NEW_CONNECTIONS_EVERY: usize = 4;
/// Share by which the rate rises and falls in the wave of the day.
const WAVE: f64 = 0.2;
/// Time from one crest of the wave to the next.
const WAVE_PERIOD: Duration = Duration::from_secs(40);
/// Number of different bodies of a route.
const BODIES: usize = 64;
/// Number of different objects that the paths of a route name.
const OBJECTS: u32 = 200;
/// Number of conversations whose prompts begin alike, for each route and team.
const PREFIXES: u32 = 8;
/// Share of the requests that are sent with a key that was taken away, once there is one.
const OLD_KEYS: f64 = 0.02;
/// How many times as much callers do if an entry of a day file doesn't say it.
const USUAL_FACTOR: f64 = 2.0;
/// How long a caller that leaves early waits at most, by the latency target of its route.
const GIVE_UP_TARGETS: f64 = 1.5;

/// A route and how callers use it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRoute {
    /// Name on the sheet.
    pub name: String,
    /// Beginning of the path, with a slash at its end.
    pub path_prefix: String,
    /// Which requests may be sent again.
    pub kind: RouteKind,
    /// Share of this route in the requests of each data centre, by its part of the sum over all routes.
    pub rate: f64,
    /// Time that callers announce for a request with all its attempts.
    pub deadline: Duration,
    /// Attempts beside the first.
    pub retries: u32,
    /// Time within which a response, or the first event of a stream, is on time.
    pub latency_target: Duration,
    /// Longest pause between events with which a stream is on time.
    pub gap_target: Option<Duration>,
    /// Mean numbers of tokens of the parts of a prompt, the last of which is the request's own; empty if there is no prompt.
    pub prompt_tokens: Vec<u64>,
    /// Number of events of a stream.
    pub events: Option<EventCounts>,
    /// Bytes of a request's body; requests without a body are sent with GET.
    pub request_bytes: usize,
}

impl From<&Route> for CallerRoute {
    fn from(route: &Route) -> Self {
        let record = route.record();
        Self {
            name: record.name,
            path_prefix: record.path_prefix,
            kind: record.kind,
            rate: route.rate,
            deadline: Duration::from_millis(route.deadline_ms),
            retries: route.caller_retries,
            latency_target: record.latency_target,
            gap_target: record.gap_target,
            prompt_tokens: route.prompt_tokens.clone(),
            events: route.events,
            request_bytes: route.request_bytes,
        }
    }
}

/// The callers of a data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerPlace {
    /// Name of the data centre.
    pub name: String,
    /// Address of the balancer.
    pub balancer: SocketAddr,
    /// Requests a second.
    pub rate: f64,
}

/// What callers do beyond the usual.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerTroubleKind {
    /// They send `x` times as much.
    Burst,
    /// `share` of the requests are for one object and begin with one prompt.
    HotKey,
    /// Each of `count` teams sends `x` times as much.
    HotTeam,
    /// `share` of the callers leave before they have their answers.
    GiveUp,
    /// `share` of the callers try again at once, and `x` times as often.
    RetryAbuse,
    /// `share` of the callers don't name the first attempt of a stream that they take up.
    Unnamed,
}

/// A time in which callers do more than usual.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerTrouble {
    /// What they do.
    pub kind: CallerTroubleKind,
    /// From the start of the callers.
    pub start: Duration,
    /// From the start of the callers.
    pub end: Duration,
    /// How much more.
    pub x: f64,
    /// Share of those that do it, from 0 to 1.
    pub share: f64,
    /// Number of teams that do it.
    pub count: usize,
    /// Name of the route, or `None` for all.
    pub route: Option<String>,
    /// Name of the data centre, or `None` for all.
    pub data_centre: Option<String>,
}

impl CallerTrouble {
    /// Returns the entry of a day file as callers know it, or `None` if it doesn't concern them.
    pub fn of_entry(entry: &Trouble) -> Option<Self> {
        let (kind, usual_share) = match entry.kind.as_str() {
            "burst" => (CallerTroubleKind::Burst, 1.0),
            "hot_key" => (CallerTroubleKind::HotKey, 0.3),
            "hot_tenant" => (CallerTroubleKind::HotTeam, 1.0),
            "give_up" => (CallerTroubleKind::GiveUp, 0.2),
            "retry_abuse" => (CallerTroubleKind::RetryAbuse, 0.3),
            "unnamed" => (CallerTroubleKind::Unnamed, 0.5),
            _ => return None,
        };
        let start = Duration::from_secs_f64(entry.at.max(0.0));
        Some(Self {
            kind,
            start,
            end: start + Duration::from_secs_f64(entry.seconds().max(0.0)),
            x: entry.x.unwrap_or(USUAL_FACTOR),
            share: entry.share.unwrap_or(usual_share),
            count: entry.count.unwrap_or(1),
            route: entry.class.clone(),
            data_centre: entry.to_zone.clone().or_else(|| entry.zone.clone()),
        })
    }

    fn is_on(&self, at: Duration, place: &CallerPlace, route: &CallerRoute) -> bool {
        let is_of = |wanted: &Option<String>, name: &str| {
            wanted.as_deref().is_none_or(|wanted| wanted == name)
        };
        (self.start..self.end).contains(&at)
            && is_of(&self.route, &route.name)
            && is_of(&self.data_centre, &place.name)
    }
}

/// Who calls what.
#[derive(Clone, Debug)]
pub struct CallersConfig {
    /// Decides all that is drawn.
    pub seed: u64,
    /// Host that requests name.
    pub host: String,
    /// Model that prompts are for.
    pub model: String,
    /// Longest time for which callers keep an idle connection.
    pub max_idle: Duration,
    /// The callers by data centre.
    pub places: Vec<CallerPlace>,
    /// What they call.
    pub routes: Vec<CallerRoute>,
    /// Keys with their teams.
    pub keys: Vec<(String, String)>,
    /// Times in which they do more than usual.
    pub troubles: Vec<CallerTrouble>,
}

/// What all callers share.
struct Shared {
    cfg: CallersConfig,
    started: Instant,
    teams: Vec<String>,
    /// Bodies of each route.
    bodies: Vec<Vec<Bytes>>,
    keys: watch::Receiver<Keys>,
    is_closing: AtomicBool,
    attempts: Mutex<Vec<CallerAttempt>>,
}

#[derive(Clone, Debug, Default)]
struct Keys {
    valid: Vec<(String, String)>,
    /// Keys that were valid before.
    old: Vec<String>,
}

/// The running callers.
pub struct Callers {
    shared: Arc<Shared>,
    keys: watch::Sender<Keys>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts the callers on the runtime of the caller of this function.
    pub fn start(cfg: CallersConfig) -> Self {
        let mut teams: Vec<String> = cfg.keys.iter().map(|(_, team)| team.clone()).collect();
        teams.sort_unstable();
        teams.dedup();
        let (tx, rx) = watch::channel(Keys {
            valid: cfg.keys.clone(),
            old: Vec::new(),
        });
        let shared = Arc::new(Shared {
            started: Instant::now(),
            teams,
            bodies: cfg.routes.iter().map(bodies).collect(),
            keys: rx,
            is_closing: AtomicBool::new(false),
            attempts: Mutex::default(),
            cfg,
        });
        let places = 0..shared.cfg.places.len();
        let tasks = places.map(|place| tokio::spawn(send_all(Arc::clone(&shared), place)));
        Self {
            tasks: tasks.collect(),
            shared,
            keys: tx,
        }
    }

    /// Returns when they began.
    pub fn started(&self) -> Instant {
        self.shared.started
    }

    /// Sets the keys that callers use from now on, with their teams. A few requests go on with those that are no longer among them.
    pub fn set_keys(&self, keys: Vec<(String, String)>) {
        self.keys.send_modify(|known| {
            let before = std::mem::replace(&mut known.valid, keys);
            let mut old = std::mem::take(&mut known.old);
            old.extend(before.into_iter().map(|(key, _)| key));
            old.retain(|key| known.valid.iter().all(|(valid, _)| valid != key));
            old.sort_unstable();
            old.dedup();
            known.old = old;
        });
    }

    /// Sends nothing new, waits until the requests that were begun have ended, and returns all attempts by their times.
    ///
    /// # Panics
    ///
    /// Panics if one of the callers did.
    pub async fn close(self) -> Vec<CallerAttempt> {
        self.shared.is_closing.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("callers don't panic");
        }
        let mut attempts = std::mem::take(&mut *lock(&self.shared.attempts));
        attempts.sort_by_key(|attempt| attempt.sent);
        attempts
    }
}

/// Returns the bodies that requests of a route have.
fn bodies(route: &CallerRoute) -> Vec<Bytes> {
    let body = |number: usize| {
        let text = format!("{} {number:03} ", route.name);
        let bytes = text.bytes().cycle().take(route.request_bytes);
        bytes.collect()
    };
    (0..BODIES).map(body).collect()
}

/// Returns the factor by which the rate of a route at a data centre differs from the usual.
fn factor(cfg: &CallersConfig, at: Duration, place: &CallerPlace, route: &CallerRoute) -> f64 {
    let turns = at.as_secs_f64() / WAVE_PERIOD.as_secs_f64();
    let wave = 1.0 + WAVE * (turns * std::f64::consts::TAU).sin();
    let troubles = cfg.troubles.iter();
    let bursts = troubles.filter(|trouble| {
        trouble.kind == CallerTroubleKind::Burst && trouble.is_on(at, place, route)
    });
    bursts.fold(wave, |factor, trouble| factor * trouble.x)
}

/// Sends the requests of a data centre until the callers close, and waits for their ends.
async fn send_all(shared: Arc<Shared>, place_number: usize) {
    let cfg = &shared.cfg;
    let place = &cfg.places[place_number];
    let mut rng = StdRng::seed_from_u64(cfg.seed.wrapping_mul(1_009) + place_number as u64);
    let pools = (0..CALLERS).map(|number| {
        let keeps = number % NEW_CONNECTIONS_EVERY != 0;
        Arc::new(Pool::new(place.balancer, keeps.then_some(cfg.max_idle)))
    });
    let pools: Vec<Arc<Pool>> = pools.collect();
    let sum: f64 = cfg.routes.iter().map(|route| route.rate).sum();
    let mut requests = JoinSet::new();
    let mut at = Duration::ZERO;
    while !shared.is_closing.load(Ordering::Relaxed) && !cfg.routes.is_empty() {
        // The rates change slowly against the time between two requests.
        let rates: Vec<f64> = cfg
            .routes
            .iter()
            .map(|route| place.rate * route.rate / sum * factor(cfg, at, place, route))
            .collect();
        let teams = team_weights(&shared, at, place_number);
        let extra = teams.iter().sum::<f64>() / teams.len().max(1) as f64;
        let rate = rates.iter().sum::<f64>() * extra;
        if rate <= 0.0 {
            return;
        }
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        tokio::time::sleep_until((shared.started + at).into()).await;
        let route = weighted(&rates, &mut rng);
        let team = weighted(&teams, &mut rng);
        let caller = caller_of_team(team, shared.teams.len(), &mut rng);
        let seed = rng.random();
        let pool = Arc::clone(&pools[caller]);
        let req = Request::new(&shared, (place_number, route, team), at, seed);
        requests.spawn(req.run(Arc::clone(&shared), pool));
        while requests.try_join_next().is_some() {}
    }
    requests.join_all().await;
}

/// Returns how much each team sends of what it usually does.
fn team_weights(shared: &Shared, at: Duration, place_number: usize) -> Vec<f64> {
    let mut weights = vec![1.0; shared.teams.len().max(1)];
    let place = &shared.cfg.places[place_number];
    for (number, trouble) in shared.cfg.troubles.iter().enumerate() {
        let is_here = trouble
            .data_centre
            .as_deref()
            .is_none_or(|it| it == place.name);
        let is_on = (trouble.start..trouble.end).contains(&at);
        if trouble.kind == CallerTroubleKind::HotTeam && is_here && is_on {
            let teams = weights.len();
            for hot in number..number + trouble.count.clamp(1, teams) {
                weights[hot % teams] = trouble.x;
            }
        }
    }
    weights
}

/// Draws an index with these weights, whose sum is positive.
fn weighted(weights: &[f64], rng: &mut StdRng) -> usize {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (number, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return number;
        }
    }
    weights.len() - 1
}

/// Draws one of the callers of a team.
fn caller_of_team(team: usize, teams: usize, rng: &mut StdRng) -> usize {
    let teams = teams.clamp(1, CALLERS);
    let row = rng.random_range(0..CALLERS / teams);
    row * teams + team % teams
}
