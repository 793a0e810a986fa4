//! Reads the platform's configuration and server list periodically and applies them to the catalog.
//!
//! The schedule is derived from the operator's bounds.

use super::config::Configuration;
use super::evacuation::EvacuationRead;
use super::read::ListRead;
use super::roster::ServerRecord;
use super::state::Catalog;
use crate::clock::BootInstant;
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

/// Reason why a source could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SourceError {
    /// The source did not answer in time.
    Timeout,
    /// The connection failed.
    Unreachable(String),
    /// The source refused the call, with this HTTP status.
    Refused(u16),
    /// The answer cannot be decoded.
    Malformed(String),
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout => f.write_str("no answer in time"),
            Self::Unreachable(cause) => write!(f, "unreachable: {cause}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Malformed(cause) => write!(f, "answer cannot be decoded: {cause}"),
        }
    }
}

/// Position up to which a source has been read. It means the same on every node, so one node can continue from the
/// position of another. Later positions are greater.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Number of times that the source was restored from a copy, after which it gives offsets out again.
    pub era: u64,
    /// Offset of the next record.
    pub offset: u64,
}

/// Result of one read of the configuration source.
#[derive(Debug)]
pub enum ConfigRead {
    /// The newest configuration, which may be one that is already known.
    Found(Configuration),
    /// The configuration has not changed since the given position.
    Unchanged,
    /// The newest record cannot be decoded, for the given reason.
    Unusable(String),
}

/// What one read of the operators' source returned.
#[derive(Debug)]
pub struct OperatorRead {
    /// The configuration.
    pub config: ConfigRead,
    /// Evacuations of data centres, which the same source holds.
    pub evacuations: EvacuationRead,
}

/// Source of the configuration and of the evacuations of data centres.
#[async_trait]
pub trait ConfigSource: Send + Sync + 'static {
    /// Reads the newest configuration after position `from`, or the newest of all if `from` is `None`, and the evacuations;
    /// returns them with the new position.
    async fn read(&self, from: Option<Position>) -> Result<(OperatorRead, Position), SourceError>;
}

/// Result of one read of the server list.
#[derive(Debug)]
pub enum ServerRead {
    /// Records since the given position, oldest first.
    Changes(Vec<(String, ServerRecord)>),
    /// The newest record of every server.
    Whole(Vec<(String, ServerRecord)>),
    /// The newest records of some servers. One that is missing here may be listed.
    Partial(Vec<(String, ServerRecord)>),
}

impl ServerRead {
    /// Returns the records, whichever they are.
    pub fn records_mut(&mut self) -> &mut Vec<(String, ServerRecord)> {
        let (Self::Changes(records) | Self::Whole(records) | Self::Partial(records)) = self;
        records
    }
}

/// Source of the list of backend servers.
#[async_trait]
pub trait ServerList: Send + Sync + 'static {
    /// Reads the changes of the list since position `from`, or the complete list if `from` is `None`; returns them with
    /// the new position.
    async fn read(&self, from: Option<Position>) -> Result<(ServerRead, Position), SourceError>;
}

/// Read intervals of one source.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadPace {
    /// Time between two reads of the node that reads for all data centres.
    pub interval: Duration,
    /// Age of the data received from that node beyond which the relay of a data centre reads the source itself.
    pub max_relay_data_age: Duration,
    /// Age of the data received from peers beyond which a node that is not the relay reads the source itself.
    pub max_peer_data_age: Duration,
}

/// Read intervals of both sources.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// Reads of the configuration.
    pub config: ReadPace,
    /// Reads of the server list.
    pub list: ReadPace,
}

/// Pause after the first failed read; it doubles with each further failure in a row.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause after a failed read; short enough that a node notices within the grace period of two seconds that the
/// store is reachable again.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Maximum pause after a failed read of a node that is not the relay. Its relay goes on asking the source, and tells it what
/// it reads.
const MAX_MEMBER_RETRY_PAUSE: Duration = Duration::from_secs(3);
/// Failed reads in a row from which that holds: the first ones may have been before the node found its relay.
const MEMBER_FAILURES: u32 = 2;

/// Maximum number of entries that become unusable in one read for which there is a line each.
const MAX_UNUSABLE_LINES: usize = 20;

/// Number of timeouts in a row after which a source counts as unreachable.
const TIMEOUTS_UNTIL_UNREACHABLE: u32 = 3;
/// Interval at which a node that is not the relay checks whether the data received from peers is stale.
const PEER_DATA_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The same for the relay, whose members read the source themselves soon after.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The same while the node has just started and has no data.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What a node reads for others.
#[derive(Clone, Debug, Default)]
pub struct Duties {
    is_relay: Arc<AtomicBool>,
    is_reader: Arc<AtomicBool>,
    is_asked_first: Arc<AtomicBool>,
}

impl Duties {
    /// Returns whether the node is the relay of its data centre.
    pub fn is_relay(&self) -> bool {
        self.is_relay.load(Ordering::Relaxed)
    }

    /// Returns whether the node is the one relay that reads the store for all data centres.
    pub fn is_reader(&self) -> bool {
        self.is_relay() && self.is_reader.load(Ordering::Relaxed)
    }

    /// Returns whether a node that has just started reads the store without waiting for what others know: as the relay, or
    /// since others ask it first.
    pub fn reads_at_start(&self) -> bool {
        self.is_relay() || self.is_asked_first.load(Ordering::Relaxed)
    }

    /// Records that nodes which start with this one ask it first.
    pub fn set_asked_first(&self) {
        self.is_asked_first.store(true, Ordering::Relaxed);
    }

    /// Sets whether the node is the relay of its data centre.
    pub fn set_relay(&self, is_relay: bool) {
        self.is_relay.store(is_relay, Ordering::Relaxed);
    }

    /// Sets whether the node, if it is a relay, reads the store for all data centres.
    pub fn set_reader(&self, is_reader: bool) {
        self.is_reader.store(is_reader, Ordering::Relaxed);
    }
}

/// The two tasks that keep the catalog current.
pub struct Follower {
    schedule: Arc<Mutex<Schedule>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Follower {
    /// Starts reading both sources. A node that has no data yet and is not the relay waits for a peer's, for
    /// `max_start_wait` at most.
    pub fn start(
        catalog: &Arc<Catalog>,
        logs: &Logs,
        schedule: Schedule,
        duties: &Duties,
        max_start_wait: Duration,
        sources: (Box<dyn ConfigSource>, Box<dyn ServerList>),
    ) -> Self {
        let schedule = Arc::new(Mutex::new(schedule));
        let context = FollowContext {
            catalog: Arc::clone(catalog),
            logs: logs.clone(),
            schedule: Arc::clone(&schedule),
            duties: duties.clone(),
            waits_until: BootInstant::now().plus(max_start_wait),
        };
        let config = follow(context.clone(), Box::new(FollowedConfig(sources.0)));
        let list = follow(context, Box::new(FollowedList(sources.1)));
        Self {
            schedule,
            tasks: vec![tokio::spawn(config), tokio::spawn(list)],
        }
    }

    /// Replaces the schedule, with effect from the next read on.
    pub fn set_schedule(&self, schedule: Schedule) {
        *self.schedule.lock().unwrap_or_else(PoisonError::into_inner) = schedule;
    }

    /// Stops reading.
    pub fn close(self) {
        for task in self.tasks {
            task.abort();
        }
    }
}

/// State shared by both tasks.
#[derive(Clone)]
struct FollowContext {
    catalog: Arc<Catalog>,
    logs: Logs,
    schedule: Arc<Mutex<Schedule>>,
    duties: Duties,
    /// Time until which a node that has no data waits for a peer's.
    waits_until: BootInstant,
}

impl FollowContext {
    fn pace(&self, followed: &dyn Followed) -> ReadPace {
        let schedule = self.schedule.lock().unwrap_or_else(PoisonError::into_inner);
        followed.pace(&schedule)
    }

    /// Waits while the data received from peers is recent enough, or may arrive soon after the start; returns at once if
    /// this node reads for all data centres.
    async fn wait_while_peer_data_is_recent(&self, followed: &dyn Followed) {
        // Randomized so that nodes that lost their relay don't all read the source at the same time.
        let factor = rand::random_range(0.95..1.0);
        while !self.duties.is_reader() {
            let is_relay = self.duties.is_relay();
            let pace = self.pace(followed);
            let (max_age, interval) = if is_relay {
                (pace.max_relay_data_age, RELAY_CHECK_INTERVAL)
            } else {
                let max_age = pace.max_peer_data_age.mul_f64(factor);
                (max_age, PEER_DATA_CHECK_INTERVAL)
            };
            let pause = match followed.age(&self.catalog) {
                Some(age) if age < max_age => interval,
                None if !self.duties.reads_at_start() && BootInstant::now() < self.waits_until => {
                    START_CHECK_INTERVAL
                }
                _ => return,
            };
            tokio::time::sleep(pause).await;
        }
    }
}

/// A source together with the part of the catalog that it updates.
#[async_trait]
trait Followed: Send + Sync {
    /// Returns the name of the dependency in log lines.
    fn name(&self) -> &'static str;

    /// Returns the read intervals of the source.
    fn pace(&self, schedule: &Schedule) -> ReadPace;

    /// Returns the age of the data in the catalog, or `None` if there is none.
    fn age(&self, catalog: &Catalog) -> Option<Duration>;

    /// Reads the source once and applies the result.
    async fn read(&self, catalog: &Catalog, logs: &Logs) -> Result<(), SourceError>;

    /// Sets whether this node's reads of the source are failing.
    fn set_failing(&self, catalog: &Catalog, is_failing: bool);

    /// Applies changes that become due with time alone; called after a failed read.
    fn apply_elapsed_time(&self, catalog: &Catalog, logs: &Logs);
}

/// Tracks failed reads of a dependency; logs once when reads start to fail and once when they succeed again.
struct DependencyStatus {
    name: &'static str,
    /// When the first of the present failures was recorded; `None` while reads succeed.
    failing_since: Option<BootInstant>,
    /// Number of failed reads in a row.
    failures: u32,
}

impl DependencyStatus {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            failing_since: None,
            failures: 0,
        }
    }

    fn record_success(&mut self, logs: &Logs) {
        if let Some(failing_since) = self.failing_since.take() {
            let outage_ms = BootInstant::now().since(failing_since).as_millis() as u64;
            info!(logs.log(), "dependency regained"; "dependency" => self.name, "away_ms" => outage_ms,
                "failures" => self.failures);
        }
        self.failures = 0;
    }

    /// Returns whether the source counts as unreachable after `err`. Any error but a timeout counts at once; a single
    /// timeout may only mean that the source is slow.
    fn is_unreachable(&self, err: &SourceError) -> bool {
        *err != SourceError::Timeout || self.failures >= TIMEOUTS_UNTIL_UNREACHABLE
    }

    /// Records a failed read and returns the pause before the next one.
    fn record_failure(&mut self, err: &SourceError, is_relay: bool, logs: &Logs) -> Duration {
        if self.failing_since.is_none() {
            self.failing_since = Some(BootInstant::now());
            warn!(logs.log(), "dependency lost"; "dependency" => self.name, "cause" => %err);
        }
        self.failures += 1;
        let pause = MIN_RETRY_PAUSE * 2u32.saturating_pow(self.failures.min(8) - 1);
        let pause = if is_relay || self.failures < MEMBER_FAILURES {
            pause.min(MAX_RETRY_PAUSE)
        } else {
            MAX_MEMBER_RETRY_PAUSE
        };
        // Randomized so that nodes that lost the store at the same time don't retry at the same time.
        pause.mul_f64(rand::random_range(0.7..1.0))
    }
}

/// Keeps one part of the catalog current: reads its source at the interval of the schedule, and retries with increasing
/// pauses while reads fail.
async fn follow(context: FollowContext, followed: Box<dyn Followed>) {
    let FollowContext { catalog, logs, .. } = &context;
    let mut status = DependencyStatus::new(followed.name());
    loop {
        context.wait_while_peer_data_is_recent(&*followed).await;
        let began = BootInstant::now();
        let pause = match followed.read(catalog, logs).await {
            Ok(()) => {
                status.record_success(logs);
                followed.set_failing(catalog, false);
                let interval = context.pace(&*followed).interval;
                interval.saturating_sub(BootInstant::now().since(began))
            }
            Err(err) => {
                followed.apply_elapsed_time(catalog, logs);
                let is_relay = context.duties.is_relay();
                let pause = status.record_failure(&err, is_relay, logs);
                followed.set_failing(catalog, status.is_unreachable(&err));
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
        catalog.config_age(BootInstant::now())
    }

    async fn read(&self, catalog: &Catalog, logs: &Logs) -> Result<(), SourceError> {
        let began = BootInstant::now();
        let (read, position) = self.0.read(catalog.config_position()).await?;
        apply_evacuations(catalog, logs, read.evacuations, position);
        // Reading on after a record that verifies nothing would find no change and verify the configuration in force.
        if apply_config_read(catalog, logs, began, read.config) {
            catalog.record_config_position(position);
        }
        Ok(())
    }

    fn set_failing(&self, catalog: &Catalog, is_failing: bool) {
        catalog.set_config_failing(is_failing);
    }

    fn apply_elapsed_time(&self, _: &Catalog, _: &Logs) {
        // Nothing to do: the age of the last verification is checked whenever a request needs it.
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
        catalog.list_age(BootInstant::now())
    }

    async fn read(&self, catalog: &Catalog, logs: &Logs) -> Result<(), SourceError> {
        loop {
            let began = BootInstant::now();
            let from = catalog.servers_position();
            let (records, position) = self.0.read(from).await?;
            let read = ListRead {
                began,
                from,
                position,
                records,
            };
            // A list that a peer told meanwhile may be newer, so reading goes on from there.
            if apply_server_read(catalog, logs, read) {
                return Ok(());
            }
        }
    }

    fn set_failing(&self, catalog: &Catalog, is_failing: bool) {
        catalog.set_list_failing(is_failing);
    }

    fn apply_elapsed_time(&self, catalog: &Catalog, logs: &Logs) {
        log_server_changes(logs, catalog, &catalog.expire_servers(BootInstant::now()));
    }
}

/// Applies what was read of evacuations up to `position`, and logs each that starts or ends.
pub(crate) fn apply_evacuations(
    catalog: &Catalog,
    logs: &Logs,
    read: EvacuationRead,
    position: Position,
) {
    let change = catalog.apply_evacuations(read, position, BootInstant::now());
    for data_centre in &change.started {
        info!(logs.log(), "data centre evacuated"; "data_centre" => data_centre, "offset" => position.offset);
    }
    for data_centre in &change.ended {
        info!(logs.log(), "evacuation ended"; "data_centre" => data_centre, "offset" => position.offset);
    }
}

/// Applies a read of the configuration that began at `began`; returns whether it verified the configuration in force.
fn apply_config_read(catalog: &Catalog, logs: &Logs, began: BootInstant, read: ConfigRead) -> bool {
    match read {
        ConfigRead::Found(configuration) => {
            let version = configuration.version();
            let routes = configuration.routes().len();
            let change = catalog.apply_config(configuration);
            let in_force = catalog.configuration();
            // A source that was restored from a copy may hold an older version until the newer one is written again.
            let is_newest = in_force.is_none_or(|in_force| in_force.version() <= version);
            if is_newest {
                catalog.record_config_verified(began);
            }
            let read_ms = BootInstant::now().since(began).as_millis() as u64;
            info!(logs.log(), "configuration read"; "version" => version, "routes" => routes,
                "outcome" => change.as_str(), "read_ms" => read_ms);
            is_newest
        }
        ConfigRead::Unchanged => {
            catalog.record_config_verified(began);
            true
        }
        // The unreadable record may revoke keys, so the configuration in force is not verified as current.
        ConfigRead::Unusable(reason) => {
            warn!(logs.log(), "configuration unusable"; "cause" => reason);
            false
        }
    }
}

/// Applies a read of the list, and logs what it changed; returns whether it could be applied.
fn apply_server_read(catalog: &Catalog, logs: &Logs, mut read: ListRead) -> bool {
    let mut unusable = 0;
    for (id, record) in read.records.records_mut() {
        let checked = std::mem::replace(record, ServerRecord::Removed).checked(id);
        *record = checked;
        if let ServerRecord::Unusable(reason) = record
            && !catalog.is_known_unusable(id, reason)
        {
            unusable += 1;
            if unusable <= MAX_UNUSABLE_LINES {
                warn!(logs.log(), "server entry unusable"; "server" => &*id, "cause" => &*reason);
            }
        }
    }
    if unusable > MAX_UNUSABLE_LINES {
        warn!(logs.log(), "further server entries unusable"; "count" => unusable - MAX_UNUSABLE_LINES);
    }
    let era = read.position.era;
    let Some(change) = catalog.apply_list_read(read, BootInstant::now()) else {
        return false;
    };
    if change.is_restored {
        warn!(logs.log(), "store restored from a copy"; "era" => era);
    }
    log_server_changes(logs, catalog, &change.servers);
    true
}

/// Logs the new state of each changed server, once per name.
fn log_server_changes(logs: &Logs, catalog: &Catalog, changed: &[String]) {
    if changed.is_empty() {
        return;
    }
    let (servers, version) = catalog.listed();
    let mut changed: Vec<&String> = changed.iter().collect();
    changed.sort();
    changed.dedup();
    for id in changed {
        let found = servers.binary_search_by(|server| server.id.cmp(id));
        let found = found.ok().map(|index| &servers[index]);
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
