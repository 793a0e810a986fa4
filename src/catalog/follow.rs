//! Follows the platform's configuration and server list, on a schedule taken from the bounds.

use super::beliefs::Beliefs;
use super::beliefs::ConfigChange;
use super::config::Catalog;
use super::roster::ServerRecord;
use crate::clock::Moment;
use crate::logs::Logs;
use async_trait::async_trait;
use slog::info;
use slog::warn;
use std::fmt;
use std::sync::Arc;
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
    Found(Catalog),
    /// Nothing new since the last look.
    Unchanged,
    /// The newest record can't be read, with the reason.
    Unusable(String),
}

/// Where the configuration comes from.
#[async_trait]
pub trait ConfigSource: Send + 'static {
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
pub trait ServerList: Send + 'static {
    /// Reads what is new on the list since `from`, or the whole list where nothing is known.
    async fn read(&self, from: Option<Position>) -> Result<(ServerRead, Position), SourceError>;
}

/// When the sources are read.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Time between two reads of the configuration.
    pub config_interval: Duration,
    /// Age of the proof from which a node that isn't the relay reads the configuration itself.
    pub config_age: Duration,
    /// Time between two reads of the server list.
    pub list_interval: Duration,
    /// Age from which a node that isn't the relay reads the server list itself.
    pub list_age: Duration,
}

/// First pause after a failed read.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest pause after failed reads; it keeps the return of the store noticed within the two seconds of grace.
const RETRY_MOST: Duration = Duration::from_millis(600);

/// Reads in a row that take too long before their source counts as lost.
const TIMEOUTS_LOST: u32 = 3;
/// Time between two looks at whether what the relay tells has grown too old.
const TOLD_LOOK: Duration = Duration::from_millis(100);

/// The two tasks that keep the beliefs current.
pub struct Follower {
    tasks: Vec<JoinHandle<()>>,
}

impl Follower {
    /// Starts to follow both sources.
    pub fn start(
        beliefs: &Arc<Beliefs>,
        logs: &Logs,
        schedule: Schedule,
        is_relay: &Arc<AtomicBool>,
        sources: (Box<dyn ConfigSource>, Box<dyn ServerList>),
    ) -> Self {
        let following = Following {
            beliefs: Arc::clone(beliefs),
            logs: logs.clone(),
            schedule,
            is_relay: Arc::clone(is_relay),
        };
        let following_config = follow_config(following.clone(), sources.0);
        let following_servers = follow_servers(following, sources.1);
        Self {
            tasks: vec![
                tokio::spawn(following_config),
                tokio::spawn(following_servers),
            ],
        }
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
    beliefs: Arc<Beliefs>,
    logs: Logs,
    schedule: Schedule,
    is_relay: Arc<AtomicBool>,
}

impl Following {
    /// Waits while a relay keeps the belief younger than `limit`; returns at once on the relay itself.
    async fn wait_while_told(&self, age: impl Fn(&Beliefs) -> Option<Duration>, limit: Duration) {
        // Spread, so that nodes whose relay is lost don't all read at the same moment.
        let limit = limit.mul_f64(rand::random_range(0.9..1.0));
        while !self.is_relay.load(Ordering::Relaxed)
            && age(&self.beliefs).is_some_and(|age| age < limit)
        {
            tokio::time::sleep(TOLD_LOOK).await;
        }
    }
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

async fn follow_config(following: Following, source: Box<dyn ConfigSource>) {
    let Following {
        beliefs,
        logs,
        schedule,
        ..
    } = &following;
    let mut contact = Contact::new("configuration");
    loop {
        let age = |beliefs: &Beliefs| beliefs.config_age(Moment::now());
        following.wait_while_told(age, schedule.config_age).await;
        let began = Moment::now();
        let pause = match source.read(beliefs.config_position()).await {
            Ok((read, position)) => {
                contact.good(logs);
                beliefs.note_config_lost(false);
                take_config(beliefs, logs, began, read);
                beliefs.note_config_position(position);
                schedule
                    .config_interval
                    .saturating_sub(Moment::now().since(began))
            }
            Err(err) => {
                let pause = contact.bad(&err, logs);
                beliefs.note_config_lost(contact.is_lost(&err));
                pause
            }
        };
        tokio::time::sleep(pause).await;
    }
}

fn take_config(beliefs: &Beliefs, logs: &Logs, began: Moment, read: ConfigRead) {
    match read {
        ConfigRead::Found(catalog) => {
            let version = catalog.version();
            let routes = catalog.routes().len();
            let change = beliefs.apply_config(catalog);
            beliefs.prove_config(began);
            let read_ms = Moment::now().since(began).as_millis() as u64;
            let outcome = if change == ConfigChange::Applied {
                "applied"
            } else {
                "kept"
            };
            info!(logs.log(), "configuration read"; "version" => version, "routes" => routes,
                "outcome" => outcome, "read_ms" => read_ms);
        }
        ConfigRead::Unchanged => beliefs.prove_config(began),
        // What follows it may name keys that were taken away, so it proves nothing.
        ConfigRead::Unusable(reason) => {
            warn!(logs.log(), "configuration unusable"; "cause" => reason);
        }
    }
}

async fn follow_servers(following: Following, source: Box<dyn ServerList>) {
    let Following {
        beliefs,
        logs,
        schedule,
        ..
    } = &following;
    let mut contact = Contact::new("server list");
    loop {
        let age = |beliefs: &Beliefs| beliefs.list_age(Moment::now());
        following.wait_while_told(age, schedule.list_age).await;
        let began = Moment::now();
        let pause = match source.read(beliefs.servers_position()).await {
            Ok((read, position)) => {
                contact.good(logs);
                beliefs.note_list_lost(false);
                take_servers(beliefs, logs, began, read);
                beliefs.note_servers_position(position);
                schedule
                    .list_interval
                    .saturating_sub(Moment::now().since(began))
            }
            Err(err) => {
                note_changes(logs, beliefs, &beliefs.expire_servers(Moment::now()));
                let pause = contact.bad(&err, logs);
                beliefs.note_list_lost(contact.is_lost(&err));
                pause
            }
        };
        tokio::time::sleep(pause).await;
    }
}

fn take_servers(beliefs: &Beliefs, logs: &Logs, began: Moment, read: ServerRead) {
    beliefs.note_list_read(began);
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
    let mut changed = beliefs.apply_servers(records, now);
    if is_whole {
        names.sort();
        changed.extend(beliefs.apply_whole_list(&names, now));
    }
    note_changes(logs, beliefs, &changed);
}

fn note_changes(logs: &Logs, beliefs: &Beliefs, changed: &[String]) {
    if changed.is_empty() {
        return;
    }
    let (servers, version) = beliefs.servers();
    let mut changed: Vec<&String> = changed.iter().collect();
    changed.sort();
    changed.dedup();
    for id in changed {
        let found = servers.binary_search_by(|server| server.id.cmp(id));
        let found = found.ok().map(|at| &servers[at]);
        let standing = if found.is_some() { "usable" } else { "out" };
        let born_ms = found.map_or(0, |server| server.entry.born_ms);
        info!(logs.log(), "server changed"; "server" => id, "standing" => standing, "born_ms" => born_ms,
            "list_version" => version, "usable" => servers.len());
    }
}
