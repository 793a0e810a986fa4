//! Follows the config stream: few nodes of a data centre tail the log, the others ask those, and all fall back on each
//! other.

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
use crate::membership::ConfigBoard;
use crate::membership::Membership;
use crate::membership::Node;
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

/// What a node waits for before it is ready.
pub const READY_CONFIG: &str = "config";

/// Records that one read asks for.
const READ_LIMIT: u32 = 500;
/// Neighbours of each data centre that are asked where the log is out of reach.
const NEIGHBOURS: usize = 3;
/// Time for which a source that failed is left alone where there is another one.
const AVOID_FOR: Duration = Duration::from_secs(3);

/// What a follower is made of.
pub struct FollowerParts<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// The deployment's key.
    pub key: &'a DeploymentKey,
    /// How the stream is followed.
    pub settings: &'a Settings,
    /// The platform's log.
    pub log: Arc<dyn LogService>,
    /// Client towards other nodes.
    pub client: Client,
    /// View of the other nodes.
    pub membership: Arc<dyn Membership>,
    /// What nodes tell each other of their configuration.
    pub configs: Arc<ConfigBoard>,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
    /// Readiness of the node.
    pub readiness: Readiness,
    /// Time line of the node.
    pub timeline: Arc<Timeline>,
}

/// The tasks that follow the config stream, and the state they have reached.
pub struct Follower {
    store: Arc<Store>,
    key: DeploymentKey,
    metrics: Arc<Metrics>,
    tasks: [JoinHandle<()>; 2],
}

/// What the following task works with.
pub(super) struct Following {
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
    /// Sources that failed, with the time until which they are left alone.
    pub(super) avoided: Vec<(Source, Instant)>,
}

/// Where configuration is read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// The platform's log.
    Log,
    /// Another node.
    Neighbour(Node),
}

/// How far a read has brought the state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// It holds everything that the log held a moment ago.
    Level,
    /// There is more to read.
    More,
    /// The source answered, but can't tell what the log holds now.
    Old,
    /// The source did not answer, or lacks what is needed.
    Failed,
}

impl Follower {
    /// Starts to follow the stream.
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
        let following = Following {
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
            avoided: Vec::new(),
        };
        let tasks = [
            tokio::spawn(following.run()),
            tokio::spawn(snapshotter.run()),
        ];
        Self {
            store,
            key: parts.key.clone(),
            metrics,
            tasks,
        }
    }

    /// Stops following.
    pub fn close(self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    /// Gives a handle by which other slices see the configuration in force.
    pub fn source(&self) -> Arc<dyn ConfigSource> {
        Arc::new(Followed {
            rx: self.store.subscribe(),
            store: Arc::clone(&self.store),
        })
    }

    /// Answers questions for configuration on the peer address and hands everything else to `next`.
    pub fn server(&self, next: Arc<dyn Handler>) -> ConfigServer {
        let store = Arc::clone(&self.store);
        ConfigServer::new(store, self.key.clone(), Arc::clone(&self.metrics), next)
    }
}

struct Followed {
    rx: watch::Receiver<Arc<State>>,
    store: Arc<Store>,
}

impl ConfigSource for Followed {
    fn state(&self) -> Arc<State> {
        Arc::clone(&self.rx.borrow())
    }

    fn stopped_at(&self) -> Option<u64> {
        self.store.stopped_at()
    }
}

impl Following {
    async fn run(mut self) {
        while !self.catch_up().await {
            tokio::time::sleep(self.settings.retry_pause).await;
        }
        self.readiness.set_met(READY_CONFIG);
        loop {
            if self.store.stopped_at().is_some() {
                self.readiness.set_unmet(READY_CONFIG);
                tokio::time::sleep(self.settings.poll_wait).await;
            } else if !self.step().await {
                tokio::time::sleep(self.settings.retry_pause).await;
            }
        }
    }

    /// Tells whether the state is the newest that can be reached: all of the log or, where that is out of reach, all
    /// that any neighbour has.
    pub(super) async fn catch_up(&mut self) -> bool {
        let progress = loop {
            match self.read_log(Duration::ZERO).await {
                Progress::More => {}
                progress => break progress,
            }
        };
        let is_caught_up = progress == Progress::Level || self.ask_all().await;
        is_caught_up && self.store.next() > 0 && self.store.stopped_at().is_none()
    }

    /// Asks neighbours of all data centres; tells whether any answered and all that they have is in force.
    async fn ask_all(&mut self) -> bool {
        let view = self.membership.view();
        let nodes = rank::neighbours(&view, &self.node, &self.data_centre, NEIGHBOURS);
        let from = self.store.next();
        let questions = nodes
            .iter()
            .map(|node| self.neighbours.ask(node, from, Duration::ZERO));
        let answers = join_all(questions).await;
        let mut newest = 0;
        for answer in answers.into_iter().flatten() {
            newest = newest.max(answer.next);
            self.take(answer);
        }
        newest > 0 && self.store.next() >= newest.max(self.store.next_told())
    }

    /// Reads from the best source that answers; tells whether one did.
    pub(super) async fn step(&mut self) -> bool {
        let mut has_answer = false;
        for source in self.sources() {
            let wait = if has_answer {
                Duration::ZERO
            } else {
                self.settings.poll_wait
            };
            let progress = match &source {
                Source::Log => self.read_log(wait).await,
                Source::Neighbour(node) => self.ask(node, wait).await,
            };
            match progress {
                Progress::Level | Progress::More => return true,
                Progress::Old => has_answer = true,
                Progress::Failed => {
                    self.avoided.push((source, Instant::now() + AVOID_FOR));
                }
            }
        }
        // Nobody knows what the log holds now, so that nothing is gained by leaving any source alone.
        self.avoided.clear();
        has_answer
    }

    /// Lists the sources in the order in which they are tried: relays tail the log, others ask the relays; what failed
    /// lately comes last.
    pub(super) fn sources(&mut self) -> Vec<Source> {
        let now = Instant::now();
        self.avoided.retain(|(_, until)| *until > now);
        let view = self.membership.view();
        let relays = rank::relays(&view, &self.data_centre, self.settings.relays);
        let is_relay = relays.iter().any(|relay| relay.name == self.node);
        let near = relays.iter().filter(|relay| relay.name != self.node);
        let near = rank::ranked(near, &self.node).into_iter();
        let mut sources: Vec<Source> = near.map(Source::Neighbour).collect();
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
        let is_avoided = |source: &Source| self.avoided.iter().any(|(other, _)| other == source);
        // Where all have failed they are all tried again.
        if !sources.iter().all(is_avoided) {
            sources.retain(|source| !is_avoided(source));
        }
        sources
    }

    async fn read_log(&self, wait: Duration) -> Progress {
        let next = self.store.next();
        match self.log.read(STREAM, next, READ_LIMIT, wait).await {
            Ok(answer) if answer.first_retained > next => self.read_snapshot(&answer).await,
            Ok(answer) => self.take_log(answer),
            Err(err) => {
                slog::warn!(self.timeline.log(), "config stream not read"; "cause" => ?err);
                Progress::Failed
            }
        }
    }

    fn take_log(&self, answer: ReadResponse) -> Progress {
        for record in answer.records {
            if !self.store.apply(peer_record(record)) {
                return Progress::Failed;
            }
        }
        if self.store.next() < answer.next {
            return Progress::More;
        }
        self.store.note_level(Duration::ZERO);
        Progress::Level
    }

    /// Takes the state from the first snapshot in the log after which no record is missing.
    async fn read_snapshot(&self, answer: &ReadResponse) -> Progress {
        slog::warn!(self.timeline.log(), "records missing from the log, looking for a snapshot";
            "stream" => STREAM, "offset" => answer.first_retained);
        let mut from = answer.first_retained;
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
                    self.store.adopt(found);
                    return Progress::More;
                }
            }
            if read.records.is_empty() {
                return Progress::Failed;
            }
        }
    }

    async fn ask(&self, node: &Node, wait: Duration) -> Progress {
        let from = self.store.next();
        match self.neighbours.ask(node, from, wait).await {
            Ok(answer) => {
                let next = answer.next;
                let age = Duration::from_millis(answer.age_ms);
                self.take(answer);
                if self.store.next() < next {
                    return Progress::More;
                }
                if age > self.settings.max_age {
                    return Progress::Old;
                }
                self.store.note_level(age);
                Progress::Level
            }
            Err(err) => {
                slog::debug!(self.timeline.log(), "neighbour gave no configuration";
                    "peer" => &node.name, "cause" => ?err);
                Progress::Failed
            }
        }
    }

    fn take(&self, answer: PeerConfig) {
        if let Some(snapshot) = answer.snapshot {
            self.store.adopt(snapshot);
        }
        for record in answer.records {
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
