//! Follows the platform's configuration and server list, on a schedule taken from the bounds.

use super::config::Configuration;
use super::roster::ServerRecord;
use super::state::Catalog;
use crate::clock::Moment;
use crate::logs::Logs;
use async_trait::async_trait;
use slog::info;
use slog::warn;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Why a source gave nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SourceError {
    /// No answer came in time.
    Timeout,
    /// The connection failed.
    Unreachable(String),
    /// The source turned the call away, with its status.
    Refused(u16),
    /// The answer can't be read.
    Malformed(String),
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout => f.write_str("no answer in time"),
            Self::Unreachable(cause) => write!(f, "unreachable: {cause}"),
            Self::Refused(status) => write!(f, "turned away with status {status}"),
            Self::Malformed(cause) => write!(f, "answer can't be read: {cause}"),
        }
    }
}

/// How far a source has been read; a node can go on where another one got to.
pub type Position = u64;

/// What one look at the configuration gave.
#[derive(Debug)]
pub enum ConfigRead {
    /// A configuration, possibly one that is known already.
    Found(Configuration),
    /// Nothing new since the last look.
    Unchanged,
    /// The newest record can't be read, with the reason.
    Unusable(String),
}

/// Where the configuration comes from.
#[async_trait]
pub trait ConfigSource: Send + Sync + 'static {
    /// Looks for a newer configuration than the one known at `from`, or for the newest where nothing is known.
    async fn read(&self, from: Option<Position>) -> Result<(ConfigRead, Position), SourceError>;
}

/// What one look at the server list gave.
#[derive(Debug)]
pub enum ServerRead {
    /// Records since the last look, oldest first.
    Changes(Vec<(String, ServerRecord)>),
    /// The newest record of every server.
    Whole(Vec<(String, ServerRecord)>),
}

/// Where the list of backend servers comes from.
#[async_trait]
pub trait ServerList: Send + Sync + 'static {
    /// Reads what is new on the list since `from`, or the whole list where nothing is known.
    async fn read(&self, from: Option<Position>) -> Result<(ServerRead, Position), SourceError>;
}

/// When one source is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadPace {
    /// Time between two reads.
    pub interval: Duration,
    /// Age of the belief from which a node that isn't the relay reads the source itself.
    pub max_peer_data_age: Duration,
}

/// When the sources are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// Reads of the configuration.
    pub config: ReadPace,
    /// Reads of the server list.
    pub list: ReadPace,
}

/// First pause after a failed read.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest pause after failed reads; it keeps the return of the store noticed within the two seconds of grace.
const RETRY_MOST: Duration = Duration::from_millis(600);

/// Reads in a row that take too long before their source counts as lost.
const TIMEOUTS_LOST: u32 = 3;
/// Time between two looks at whether what the relay tells has grown too old.
const TOLD_LOOK: Duration = Duration::from_millis(100);

/// The two tasks that keep the catalog current.
pub struct Follower {
    schedule: Arc<Mutex<Schedule>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Follower {
    /// Starts to follow both sources.
    pub fn start(
        catalog: &Arc<Catalog>,
        logs: &Logs,
        schedule: Schedule,
        is_relay: &Arc<AtomicBool>,
        sources: (Box<dyn ConfigSource>, Box<dyn ServerList>),
    ) -> Self {
        let schedule = Arc::new(Mutex::new(schedule));
        let following = Following {
            catalog: Arc::clone(catalog),
            logs: logs.clone(),
            schedule: Arc::clone(&schedule),
            is_relay: Arc::clone(is_relay),
        };
        let config = follow(following.clone(), Box::new(FollowedConfig(sources.0)));
        let list = follow(following, Box::new(FollowedList(sources.1)));
        Self {
            schedule,
            tasks: vec![tokio::spawn(config), tokio::spawn(list)],
        }
    }

    /// Reads by another schedule from the next read on.
    pub fn set_schedule(&self, schedule: Schedule) {
        *self.schedule.lock().unwrap_or_else(PoisonError::into_inner) = schedule;
    }

    /// Ends following.
    pub fn close(self) {
        for task in self.tasks {
            task.abort();
        }
    }
}

/// What both tasks need.
#[derive(Clone)]
struct Following {
    catalog: Arc<Catalog>,
    logs: Logs,
    schedule: Arc<Mutex<Schedule>>,
    is_relay: Arc<AtomicBool>,
}

impl Following {
    fn pace(&self, followed: &dyn Followed) -> ReadPace {
        let schedule = self.schedule.lock().unwrap_or_else(PoisonError::into_inner);
        followed.pace(&schedule)
    }

    /// Waits while a relay keeps the belief young enough; returns at once on the relay itself.
    async fn wait_while_told(&self, followed: &dyn Followed) {
        // Spread, so that nodes whose relay is lost don't all read at the same moment.
        let share = rand::random_range(0.9..1.0);
        while !self.is_relay.load(Ordering::Relaxed)
            && followed
                .age(&self.catalog)
                .is_some_and(|age| age < self.pace(followed).max_peer_data_age.mul_f64(share))
        {
            tokio::time::sleep(TOLD_LOOK).await;
        }
    }
}

/// A source together with the belief that it feeds.
#[async_trait]
trait Followed: Send + Sync {
    /// Gives the dependency's name for the log.
    fn name(&self) -> &'static str;

    fn pace(&self, schedule: &Schedule) -> ReadPace;

    /// Gives the age of the belief.
    fn age(&self, catalog: &Catalog) -> Option<Duration>;

    /// Reads once and takes in what that gave.
    async fn read(&self, catalog: &Catalog, logs: &Logs) -> Result<(), SourceError>;

    /// Notes whether this node's own reads fail at present.
    fn note_lost(&self, catalog: &Catalog, is_lost: bool);

    /// Does what falls due while the source can't be read.
    fn pass_time(&self, catalog: &Catalog, logs: &Logs);
}

/// Tells of a dependency once when it is lost and once when it is back.
struct Contact {
    name: &'static str,
    lost_at: Option<Moment>,
    failures: u32,
}

impl Contact {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_at: None,
            failures: 0,
        }
    }

    fn good(&mut self, logs: &Logs) {
        if let Some(lost_at) = self.lost_at.take() {
            let away_ms = Moment::now().since(lost_at).as_millis() as u64;
            info!(logs.log(), "dependency regained"; "dependency" => self.name, "away_ms" => away_ms,
                "failures" => self.failures);
        }
        self.failures = 0;
    }

    /// Tells whether the source counts as lost after `err`: a read that takes too long once may only be slow.
    fn is_lost(&self, err: &SourceError) -> bool {
        *err != SourceError::Timeout || self.failures >= TIMEOUTS_LOST
    }

    fn bad(&mut self, err: &SourceError, logs: &Logs) -> Duration {
        if self.lost_at.is_none() {
            self.lost_at = Some(Moment::now());
            warn!(logs.log(), "dependency lost"; "dependency" => self.name, "cause" => %err);
        }
        self.failures += 1;
        let pause = RETRY_FIRST * 2u32.saturating_pow(self.failures.min(8) - 1);
        // Spread, so that nodes that lost the store together don't come back together.
        pause.min(RETRY_MOST).mul_f64(rand::random_range(0.7..1.0))
    }
}

/// Keeps one belief current: reads its source at the schedule's pace, and less often while that fails.
async fn follow(following: Following, followed: Box<dyn Followed>) {
    let Following { catalog, logs, .. } = &following;
    let mut contact = Contact::new(followed.name());
    loop {
        following.wait_while_told(&*followed).await;
        let began = Moment::now();
        let pause = match followed.read(catalog, logs).await {
            Ok(()) => {
                contact.good(logs);
                followed.note_lost(catalog, false);
                let interval = following.pace(&*followed).interval;
                interval.saturating_sub(Moment::now().since(began))
            }
            Err(err) => {
                followed.pass_time(catalog, logs);
                let pause = contact.bad(&err, logs);
                followed.note_lost(catalog, contact.is_lost(&err));
                pause
            }
        };
        tokio::time::sleep(pause).await;
    }
}

struct FollowedConfig(Box<dyn ConfigSource>);

#[async_trait]
impl Followed for FollowedConfig {
    fn name(&self) -> &'static str {
        "configuration"
    }

    fn pace(&self, schedule: &Schedule) -> ReadPace {
        schedule.config
    }

    fn age(&self, catalog: &Catalog) -> Option<Duration> {
        catalog.config_age(Moment::now())
    }

    async fn read(&self, catalog: &Catalog, logs: &Logs) -> Result<(), SourceError> {
        let began = Moment::now();
        let (read, position) = self.0.read(catalog.config_position()).await?;
        take_config(catalog, logs, began, read);
        catalog.record_config_position(position);
        Ok(())
    }

    fn note_lost(&self, catalog: &Catalog, is_lost: bool) {
        catalog.set_config_failing(is_lost);
    }

    fn pass_time(&self, _: &Catalog, _: &Logs) {
        // Only its proof grows old, and that is looked at when a request needs it.
    }
}

struct FollowedList(Box<dyn ServerList>);

#[async_trait]
impl Followed for FollowedList {
    fn name(&self) -> &'static str {
        "server list"
    }

    fn pace(&self, schedule: &Schedule) -> ReadPace {
        schedule.list
    }

    fn age(&self, catalog: &Catalog) -> Option<Duration> {
        catalog.list_age(Moment::now())
    }

    async fn read(&self, catalog: &Catalog, logs: &Logs) -> Result<(), SourceError> {
        let began = Moment::now();
        let (read, position) = self.0.read(catalog.servers_position()).await?;
        take_servers(catalog, logs, began, read);
        catalog.record_servers_position(position);
        Ok(())
    }

    fn note_lost(&self, catalog: &Catalog, is_lost: bool) {
        catalog.set_list_failing(is_lost);
    }

    fn pass_time(&self, catalog: &Catalog, logs: &Logs) {
        note_changes(logs, catalog, &catalog.expire_servers(Moment::now()));
    }
}

fn take_config(catalog: &Catalog, logs: &Logs, began: Moment, read: ConfigRead) {
    match read {
        ConfigRead::Found(configuration) => {
            let version = configuration.version();
            let routes = configuration.routes().len();
            let change = catalog.apply_config(configuration);
            catalog.record_config_verified(began);
            let read_ms = Moment::now().since(began).as_millis() as u64;
            info!(logs.log(), "configuration read"; "version" => version, "routes" => routes,
                "outcome" => change.as_str(), "read_ms" => read_ms);
        }
        ConfigRead::Unchanged => catalog.record_config_verified(began),
        // What follows it may name keys that were taken away, so it proves nothing.
        ConfigRead::Unusable(reason) => {
            warn!(logs.log(), "configuration unusable"; "cause" => reason);
        }
    }
}

fn take_servers(catalog: &Catalog, logs: &Logs, began: Moment, read: ServerRead) {
    catalog.record_list_read(began);
    let now = Moment::now();
    let (records, is_whole) = match read {
        ServerRead::Changes(records) => (records, false),
        ServerRead::Whole(records) => (records, true),
    };
    for (id, record) in &records {
        if let ServerRecord::Unusable(reason) = record {
            warn!(logs.log(), "server entry unusable"; "server" => id, "cause" => reason);
        }
    }
    let mut names: Vec<String> = records.iter().map(|(id, _)| id.clone()).collect();
    let mut changed = catalog.apply_servers(records, now);
    if is_whole {
        names.sort();
        changed.extend(catalog.apply_whole_list(&names, now));
    }
    note_changes(logs, catalog, &changed);
}

fn note_changes(logs: &Logs, catalog: &Catalog, changed: &[String]) {
    if changed.is_empty() {
        return;
    }
    let (servers, version) = catalog.listed();
    let mut changed: Vec<&String> = changed.iter().collect();
    changed.sort();
    changed.dedup();
    for id in changed {
        let found = servers.binary_search_by(|server| server.id.cmp(id));
        let found = found.ok().map(|at| &servers[at]);
        let standing = match found {
            Some(server) if server.entry.is_draining => "leaving",
            Some(_) => "usable",
            None => "out",
        };
        let start_time_ms = found.map_or(0, |server| server.entry.start_time_ms);
        info!(logs.log(), "server changed"; "server" => id, "standing" => standing, "born_ms" => start_time_ms,
            "list_version" => version, "listed" => servers.len());
    }
}
