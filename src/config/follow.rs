//! Follows the config stream.
//!
//! In each data centre a few nodes, the relays, tail the log. The other nodes read from the relays, which limits the
//! load on the log. A node whose preferred source fails falls back to other relays, the log, and nodes of other data
//! centres.

use super::ConfigSource;
use super::STREAM;
use super::Settings;
use super::State;
use super::neighbours::HttpNeighbours;
use super::neighbours::Neighbours;
use super::rank;
use super::serve::ConfigServer;
use super::snapshot;
use super::snapshotter::Snapshotter;
use super::store::Store;
use crate::border::LogService;
use crate::border::generated::config::PeerConfig;
use crate::border::generated::config::PeerRecord;
use crate::border::generated::platform::LogRecord;
use crate::border::generated::platform::ReadResponse;
use crate::membership::Membership;
use crate::membership::Node;
use crate::membership::NodeConfigTable;
use crate::net::Client;
use crate::net::Handler;
use crate::operations::Metrics;
use crate::operations::Readiness;
use crate::settings::DeploymentKey;
use crate::timeline::Timeline;
use futures_util::future::join_all;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Name of the readiness condition that holds once the configuration is current.
pub const READY_CONFIG: &str = "config";

/// Maximum number of records in one read of the log.
const READ_LIMIT: u32 = 500;
/// Number of neighbours in each data centre that a starting node queries if it can't reach the log.
const MAX_NEIGHBOURS_PER_CENTRE: usize = 3;
/// Time for which a failed source is skipped while another source is available.
const SOURCE_BACKOFF: Duration = Duration::from_secs(3);

/// Parts that a [`Follower`] is built from.
pub struct FollowerParts<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Data centre of the node.
    pub data_centre: &'a str,
    /// The deployment's key.
    pub key: &'a DeploymentKey,
    /// Settings for following the stream.
    pub settings: &'a Settings,
    /// The platform's log.
    pub log: Arc<dyn LogService>,
    /// HTTP client for requests to other nodes.
    pub client: Client,
    /// Membership, which lists the other nodes.
    pub membership: Arc<dyn Membership>,
    /// Configuration versions that nodes report to each other.
    pub configs: Arc<NodeConfigTable>,
    /// Metrics of this node.
    pub metrics: Arc<Metrics>,
    /// Readiness of the node.
    pub readiness: Readiness,
    /// Timeline of the node, for log lines and events.
    pub timeline: Arc<Timeline>,
}

/// The tasks that follow the config stream and write its snapshots, with the state that they maintain.
pub struct Follower {
    store: Arc<Store>,
    key: DeploymentKey,
    metrics: Arc<Metrics>,
    tasks: [JoinHandle<()>; 2],
}

/// State of the task that follows the stream.
pub(super) struct FollowTask {
    pub(super) node: String,
    pub(super) data_centre: String,
    pub(super) key: DeploymentKey,
    pub(super) settings: Settings,
    pub(super) log: Arc<dyn LogService>,
    pub(super) neighbours: Arc<dyn Neighbours>,
    pub(super) membership: Arc<dyn Membership>,
    pub(super) readiness: Readiness,
    pub(super) timeline: Arc<Timeline>,
    pub(super) store: Arc<Store>,
    /// Failed sources, each with the instant until which it is skipped.
    pub(super) backed_off: Vec<(Source, Instant)>,
}

/// A source from which configuration is read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// The platform's log.
    Log,
    /// Another node.
    Neighbour(Node),
}

/// Result of reading from one source.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// The state now includes all records that the log held at the time of the read, or within `max_age` before it.
    CaughtUp,
    /// The source has more records to read.
    More,
    /// The source responded, but it has not been up to date with the log for longer than `max_age`.
    Stale,
    /// The source did not respond, its records can't be applied, or it lacks records that are needed.
    Failed,
}

impl Follower {
    /// Starts the tasks.
    pub fn start(parts: FollowerParts<'_>) -> Self {
        let metrics = Arc::clone(&parts.metrics);
        let store = Arc::new(Store::new(
            Arc::clone(&parts.configs),
            Arc::clone(&metrics),
            Arc::clone(&parts.timeline),
        ));
        let snapshotter = Snapshotter {
            node: parts.node.to_owned(),
            key: parts.key.clone(),
            settings: parts.settings.clone(),
            log: Arc::clone(&parts.log),
            store: Arc::clone(&store),
            membership: Arc::clone(&parts.membership),
            timeline: Arc::clone(&parts.timeline),
        };
        let neighbours = HttpNeighbours::new(
            parts.client,
            parts.key.clone(),
            parts.settings.peer_timeout,
            Arc::clone(&metrics),
        );
        let follow_task = FollowTask {
            node: parts.node.to_owned(),
            data_centre: parts.data_centre.to_owned(),
            key: parts.key.clone(),
            settings: parts.settings.clone(),
            log: parts.log,
            neighbours: Arc::new(neighbours),
            membership: parts.membership,
            readiness: parts.readiness,
            timeline: parts.timeline,
            store: Arc::clone(&store),
            backed_off: Vec::new(),
        };
        let tasks = [
            tokio::spawn(follow_task.run()),
            tokio::spawn(snapshotter.run()),
        ];
        Self {
            store,
            key: parts.key.clone(),
            metrics,
            tasks,
        }
    }

    /// Stops the tasks.
    pub fn close(self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    /// Returns a handle through which other modules read the configuration in force.
    pub fn source(&self) -> Arc<dyn ConfigSource> {
        Arc::new(StateHandle {
            rx: self.store.subscribe(),
            store: Arc::clone(&self.store),
        })
    }

    /// Returns a handler for the peer address that serves requests for configuration and passes all others to `next`.
    pub fn server(&self, next: Arc<dyn Handler>) -> ConfigServer {
        let store = Arc::clone(&self.store);
        ConfigServer::new(store, self.key.clone(), Arc::clone(&self.metrics), next)
    }
}

struct StateHandle {
    rx: watch::Receiver<Arc<State>>,
    store: Arc<Store>,
}

impl ConfigSource for StateHandle {
    fn state(&self) -> Arc<State> {
        Arc::clone(&self.rx.borrow())
    }

    fn stopped_at(&self) -> Option<u64> {
        self.store.stopped_at()
    }
}

impl FollowTask {
    async fn run(mut self) {
        while !self.catch_up().await {
            tokio::time::sleep(self.settings.retry_pause).await;
        }
        self.readiness.set_met(READY_CONFIG);
        loop {
            if self.store.stopped_at().is_some() {
                self.readiness.set_unmet(READY_CONFIG);
                tokio::time::sleep(self.settings.poll_wait).await;
            } else if !self.poll_once().await {
                tokio::time::sleep(self.settings.retry_pause).await;
            }
        }
    }

    /// Reads all records of the log or, if it can't be reached, all that the queried neighbours have. Returns whether
    /// the state is then the newest available, holds at least one record and can still be updated.
    pub(super) async fn catch_up(&mut self) -> bool {
        let progress = loop {
            match self.read_log(Duration::ZERO).await {
                Progress::More => {}
                progress => break progress,
            }
        };
        let is_caught_up = progress == Progress::CaughtUp || self.read_all_neighbours().await;
        is_caught_up && self.store.next_offset() > 0 && self.store.stopped_at().is_none()
    }

    /// Fetches configuration from neighbours in all data centres. Returns whether at least one of them has some, and
    /// the state includes all that they have and all versions that nodes have reported.
    async fn read_all_neighbours(&mut self) -> bool {
        let view = self.membership.view();
        let nodes = rank::neighbours(
            &view,
            &self.node,
            &self.data_centre,
            MAX_NEIGHBOURS_PER_CENTRE,
        );
        let from = self.store.next_offset();
        let requests = nodes
            .iter()
            .map(|node| self.neighbours.fetch_config(node, from, Duration::ZERO));
        let responses = join_all(requests).await;
        let mut newest = 0;
        for response in responses.into_iter().flatten() {
            newest = newest.max(response.next);
            self.apply_response(response);
        }
        newest > 0 && self.store.next_offset() >= newest.max(self.store.next_reported_offset())
    }

    /// Reads from the sources in order until one is up to date. Returns whether any of them responded.
    pub(super) async fn poll_once(&mut self) -> bool {
        let mut has_response = false;
        for source in self.sources() {
            let wait = if has_response {
                Duration::ZERO
            } else {
                self.settings.poll_wait
            };
            let progress = match &source {
                Source::Log => self.read_log(wait).await,
                Source::Neighbour(node) => self.read_neighbour(node, wait).await,
            };
            match progress {
                Progress::CaughtUp | Progress::More => return true,
                Progress::Stale => has_response = true,
                Progress::Failed => {
                    self.backed_off
                        .push((source, Instant::now() + SOURCE_BACKOFF));
                }
            }
        }
        // Every source failed or is stale. Skipping the failed ones would gain nothing, so all are tried again.
        self.backed_off.clear();
        has_response
    }

    /// Returns the sources in the order in which they are tried: relays try the log first, other nodes try the relays
    /// first. Omits sources that failed recently, unless all have.
    pub(super) fn sources(&mut self) -> Vec<Source> {
        let now = Instant::now();
        self.backed_off.retain(|(_, until)| *until > now);
        let view = self.membership.view();
        let relays = rank::relays(&view, &self.data_centre, self.settings.relays);
        let is_relay = relays.iter().any(|relay| relay.name == self.node);
        let local_relays = relays.iter().filter(|relay| relay.name != self.node);
        let local_relays = rank::ranked(local_relays, &self.node).into_iter();
        let mut sources: Vec<Source> = local_relays.map(Source::Neighbour).collect();
        if is_relay {
            sources.insert(0, Source::Log);
        } else {
            sources.push(Source::Log);
        }
        for node in rank::neighbours(&view, &self.node, &self.data_centre, 1) {
            let source = Source::Neighbour(node);
            if !sources.contains(&source) {
                sources.push(source);
            }
        }
        let is_backed_off =
            |source: &Source| self.backed_off.iter().any(|(other, _)| other == source);
        // If all sources failed recently, all are tried again.
        if !sources.iter().all(is_backed_off) {
            sources.retain(|source| !is_backed_off(source));
        }
        sources
    }

    async fn read_log(&self, wait: Duration) -> Progress {
        let next = self.store.next_offset();
        match self.log.read(STREAM, next, READ_LIMIT, wait).await {
            Ok(response) if response.first_retained > next => self.read_snapshot(&response).await,
            Ok(response) => self.apply_log_response(response),
            Err(err) => {
                slog::warn!(self.timeline.log(), "could not read config stream"; "cause" => ?err);
                Progress::Failed
            }
        }
    }

    fn apply_log_response(&self, response: ReadResponse) -> Progress {
        for record in response.records {
            if !self.store.apply(peer_record(record)) {
                return Progress::Failed;
            }
        }
        if self.store.next_offset() < response.next {
            return Progress::More;
        }
        self.store.record_caught_up(Duration::ZERO);
        Progress::CaughtUp
    }

    /// Restores the state from the first snapshot in the log after which no record is missing.
    async fn read_snapshot(&self, response: &ReadResponse) -> Progress {
        slog::warn!(self.timeline.log(), "log no longer holds the next records, searching it for a snapshot";
            "stream" => STREAM, "offset" => response.first_retained);
        let mut from = response.first_retained;
        loop {
            let read = self
                .log
                .read(STREAM, from, READ_LIMIT, Duration::ZERO)
                .await;
            let Ok(read) = read else {
                return Progress::Failed;
            };
            for record in &read.records {
                from = record.offset + 1;
                let found = snapshot::from_record(&record.data, &self.key);
                if let Some(found) = found.filter(|found| found.at + 1 >= read.first_retained) {
                    self.store.restore(found);
                    return Progress::More;
                }
            }
            if read.records.is_empty() {
                return Progress::Failed;
            }
        }
    }

    async fn read_neighbour(&self, node: &Node, wait: Duration) -> Progress {
        let from = self.store.next_offset();
        match self.neighbours.fetch_config(node, from, wait).await {
            Ok(response) => {
                let next = response.next;
                let age = Duration::from_millis(response.age_ms);
                self.apply_response(response);
                if self.store.next_offset() < next {
                    return Progress::More;
                }
                if age > self.settings.max_age {
                    return Progress::Stale;
                }
                self.store.record_caught_up(age);
                Progress::CaughtUp
            }
            Err(err) => {
                slog::debug!(self.timeline.log(), "could not fetch configuration from neighbour";
                    "peer" => &node.name, "cause" => ?err);
                Progress::Failed
            }
        }
    }

    fn apply_response(&self, response: PeerConfig) {
        if let Some(snapshot) = response.snapshot {
            self.store.restore(snapshot);
        }
        for record in response.records {
            self.store.apply(record);
        }
    }
}

fn peer_record(record: LogRecord) -> PeerRecord {
    PeerRecord {
        offset: record.offset,
        time_ms: record.time_ms,
        data: record.data,
    }
}
