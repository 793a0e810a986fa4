//! A running node.

use crate::border::HttpBackends;
use crate::border::HttpHostList;
use crate::border::HttpLog;
use crate::claims::Unclaimed;
use crate::config;
use crate::config::Follower;
use crate::entry::Attempts;
use crate::entry::Entry;
use crate::hop::LoadExchange;
use crate::hop::LoadExchangeParts;
use crate::hop::PeerServer;
use crate::hop::RemoteOwner;
use crate::hop::ToOwner;
use crate::membership;
use crate::membership::Members;
use crate::membership::Poller;
use crate::net::Client;
use crate::net::ClientOptions;
use crate::net::Handler;
use crate::net::Listener;
use crate::net::Protocol;
use crate::operations::Metrics;
use crate::operations::Pages;
use crate::operations::Readiness;
use crate::owner::LoadPoller;
use crate::owner::Owner;
use crate::owner::OwnerParts;
use crate::routing::Loads;
use crate::settings::Settings;
use crate::timeline::Event;
use crate::timeline::EventKind;
use crate::timeline::Timeline;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What a stopping node lacks to be ready.
const READY_RUNNING: &str = "restart";
/// Longest wait for connections of operators at shutdown.
const OPERATIONS_LIMIT: Duration = Duration::from_millis(200);

/// Why a node does not start.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be bound.
    Bind {
        /// Key of the settings that names the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Cause as the system words it.
        cause: io::Error,
    },
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind {
                key,
                address,
                cause,
            } => write!(f, "can't listen on [node] {key} = {address}: {cause}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running node.
pub struct Node {
    callers: Listener,
    peers: Listener,
    operations: Listener,
    follower: Follower,
    poller: Poller,
    load_poller: LoadPoller,
    exchange: LoadExchange,
    members: Members,
    readiness: Readiness,
    timeline: Arc<Timeline>,
    linger: Duration,
    drain_limit: Duration,
}

impl Node {
    /// Starts everything that `settings` describe.
    ///
    /// # Errors
    ///
    /// Names the address that can't be bound.
    pub async fn start(settings: &Settings) -> Result<Self, StartError> {
        let node = &settings.node;
        let timeline = Arc::new(Timeline::start(&node.name, &settings.timeline));
        let metrics = Arc::new(Metrics::new());
        metrics.register(Box::new(timeline.stamps_dropped().clone()));
        let readiness = Readiness::waiting_for(&[
            config::READY_CONFIG,
            membership::READY_HOSTS,
            membership::READY_GOSSIP,
        ]);
        let follower = follower(settings, &metrics, &readiness, &timeline);
        let poller = poller(settings, &metrics, &readiness, &timeline);
        let members = Members::start(
            &settings.membership,
            node,
            poller.listed(),
            readiness.clone(),
            Arc::clone(&metrics),
            Arc::clone(&timeline),
        );
        let loads = Arc::new(Loads::default());
        let owner = owner(settings, &follower, &members, &loads, &metrics, &timeline);
        let entry = entry(
            settings, &follower, &members, &owner, &loads, &metrics, &timeline,
        );
        let load_poller = LoadPoller::start(Arc::clone(&owner));
        let exchange = exchange(settings, &members, &owner, &metrics);
        let peer_server = PeerServer::new(
            owner,
            members.acceptor(),
            node.key.clone(),
            Arc::clone(&timeline),
            settings.entry.max_body_bytes,
        );
        let pages = Pages::new(metrics, readiness.clone());
        let http2 = Protocol::Http1And2;
        let http1 = Protocol::Http1;
        let peers = listen("peer_address", node.peer_address, http2, peer_server).await?;
        let callers = listen("caller_address", node.caller_address, http1, entry).await?;
        let operations =
            listen("operations_address", node.operations_address, http1, pages).await?;
        timeline.event(Event::new(EventKind::NodeStarted));
        Ok(Self {
            callers,
            peers,
            operations,
            follower,
            poller,
            load_poller,
            exchange,
            members,
            readiness,
            timeline,
            linger: settings.entry.linger,
            drain_limit: settings.entry.drain_limit,
        })
    }

    /// Stops gracefully: hands ownership over, serves callers until they have gone elsewhere, lets answers in flight
    /// end, then stops everything else.
    pub async fn close(self) {
        self.timeline.event(Event::new(EventKind::NodeStopping));
        self.readiness.lost(READY_RUNNING);
        self.members.leave();
        self.callers.leave();
        tokio::time::sleep(self.linger).await;
        self.callers.close(self.drain_limit).await;
        self.peers.close(self.drain_limit).await;
        self.follower.close();
        self.poller.close();
        self.load_poller.close();
        self.exchange.close();
        self.members.close();
        self.operations.close(OPERATIONS_LIMIT).await;
    }
}

async fn listen(
    key: &'static str,
    address: SocketAddr,
    protocol: Protocol,
    handler: impl Handler,
) -> Result<Listener, StartError> {
    Listener::start(address, protocol, Arc::new(handler))
        .await
        .map_err(|cause| StartError::Bind {
            key,
            address,
            cause,
        })
}

fn client_options(settings: &Settings) -> ClientOptions {
    ClientOptions {
        source_ip: settings.node.source_ip,
        ..ClientOptions::default()
    }
}

fn follower(
    settings: &Settings,
    metrics: &Arc<Metrics>,
    readiness: &Readiness,
    timeline: &Arc<Timeline>,
) -> Follower {
    let log = HttpLog::new(
        Client::new(&client_options(settings)),
        settings.platform.log_address,
        settings.platform.timeout,
        Arc::clone(metrics),
    );
    Follower::start(
        Arc::new(log),
        &settings.config,
        Arc::clone(metrics),
        readiness.clone(),
        Arc::clone(timeline),
    )
}

fn poller(
    settings: &Settings,
    metrics: &Arc<Metrics>,
    readiness: &Readiness,
    timeline: &Arc<Timeline>,
) -> Poller {
    let source = HttpHostList::new(
        Client::new(&client_options(settings)),
        settings.platform.host_list_address,
        settings.platform.timeout,
        Arc::clone(metrics),
    );
    Poller::start(
        Arc::new(source),
        settings.platform.host_list_interval,
        readiness.clone(),
        Arc::clone(timeline),
    )
}

fn owner(
    settings: &Settings,
    follower: &Follower,
    members: &Members,
    loads: &Arc<Loads>,
    metrics: &Arc<Metrics>,
    timeline: &Arc<Timeline>,
) -> Arc<Owner> {
    let backends = HttpBackends::new(settings.node.source_ip, Arc::clone(metrics));
    Arc::new(Owner::new(OwnerParts {
        node: settings.node.name.clone(),
        settings: settings.owner.clone(),
        is_bounded: settings.routing.policy.policy().is_bounded(),
        config: follower.source(),
        membership: members.membership(),
        backends: Arc::new(backends),
        loads: Arc::clone(loads),
        timeline: Arc::clone(timeline),
    }))
}

fn exchange(
    settings: &Settings,
    members: &Members,
    owner: &Arc<Owner>,
    metrics: &Arc<Metrics>,
) -> LoadExchange {
    LoadExchange::start(LoadExchangeParts {
        node: settings.node.name.clone(),
        interval: settings.routing.exchange_interval,
        owner: Arc::clone(owner),
        membership: members.membership(),
        client: Client::new(&peer_options(settings)),
        key: settings.node.key.clone(),
        metrics: Arc::clone(metrics),
    })
}

fn peer_options(settings: &Settings) -> ClientOptions {
    ClientOptions {
        http2: true,
        ping: settings.membership.ping,
        ..client_options(settings)
    }
}

fn entry(
    settings: &Settings,
    follower: &Follower,
    members: &Members,
    owner: &Arc<Owner>,
    loads: &Arc<Loads>,
    metrics: &Arc<Metrics>,
    timeline: &Arc<Timeline>,
) -> Entry {
    let node = &settings.node;
    let remote = RemoteOwner::new(
        Client::new(&peer_options(settings)),
        node.key.clone(),
        Arc::clone(timeline),
    );
    let dispatch = ToOwner::new(
        &node.name,
        members.membership(),
        Arc::clone(owner),
        remote,
        Arc::clone(timeline),
    );
    let attempts = Attempts::new(
        &node.name,
        &settings.entry,
        members.membership(),
        Arc::new(dispatch),
        settings.routing.policy.policy(),
        Arc::clone(loads),
        Arc::clone(timeline),
    );
    Entry::new(
        &settings.entry,
        follower.source(),
        attempts,
        Arc::new(Unclaimed),
        Arc::clone(metrics),
        Arc::clone(timeline),
    )
}
