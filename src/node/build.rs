//! Starts and stops a node.

use crate::border::HttpBackends;
use crate::border::HttpHostList;
use crate::border::HttpLog;
use crate::claims::Claims;
use crate::claims::Tickets;
use crate::config;
use crate::config::Follower;
use crate::config::FollowerParts;
use crate::config::StatusSource;
use crate::entry::AttemptSender;
use crate::entry::CallParts;
use crate::entry::Calls;
use crate::entry::Entry;
use crate::hop::LoadExchange;
use crate::hop::LoadExchangeParts;
use crate::hop::OwnerDispatch;
use crate::hop::PeerServer;
use crate::hop::RemoteOwner;
use crate::membership;
use crate::membership::Members;
use crate::membership::Poller;
use crate::net::Client;
use crate::net::ClientOptions;
use crate::net::Handler;
use crate::net::Listener;
use crate::net::Protocol;
use crate::node::Status;
use crate::operations::Metrics;
use crate::operations::Pages;
use crate::operations::Readiness;
use crate::owner::LoadPoller;
use crate::owner::Owner;
use crate::owner::OwnerParts;
use crate::reconcile::Reconciler;
use crate::reconcile::ReconcilerParts;
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

/// Readiness condition that is unmet once the node is stopping. Only a restart makes the node ready again.
const READY_RESTART: &str = "restart";
/// Timeout at shutdown for requests in flight on the operations address.
const OPERATIONS_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Reason why a node can't start.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be bound.
    Bind {
        /// Key of the address in the section `[node]` of the settings.
        key: &'static str,
        /// The address that can't be bound.
        address: SocketAddr,
        /// Error of the operating system.
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

/// A running node, with the components that have to be stopped.
pub struct Node {
    callers: Listener,
    peers: Listener,
    operations: Listener,
    follower: Follower,
    reconciler: Reconciler,
    host_list_poller: Poller,
    claims: Claims,
    load_poller: LoadPoller,
    load_exchange: LoadExchange,
    members: Members,
    readiness: Readiness,
    timeline: Arc<Timeline>,
    linger: Duration,
    drain_limit: Duration,
}

impl Node {
    /// Starts a node with `settings`.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if an address can't be bound.
    pub async fn start(settings: &Settings) -> Result<Self, StartError> {
        let node = &settings.node;
        let timeline = Arc::new(Timeline::start(&node.name, &settings.timeline));
        let metrics = Arc::new(Metrics::new());
        timeline.register(&metrics);
        let readiness = Readiness::with_unmet(&[
            config::READY_CONFIG,
            membership::READY_HOSTS,
            membership::READY_GOSSIP,
        ]);
        let host_list_poller = host_list_poller(settings, &metrics, &readiness, &timeline);
        let members = Members::start(
            &settings.membership,
            node,
            host_list_poller.hosts(),
            readiness.clone(),
            Arc::clone(&metrics),
            Arc::clone(&timeline),
        );
        let follower = follower(settings, &members, &metrics, &readiness, &timeline);
        let loads = Arc::new(Loads::default());
        let owner = owner(settings, &follower, &members, &loads, &metrics, &timeline);
        let attempts = attempt_sender(settings, &members, &owner, &loads, &timeline);
        let claims = claims(settings, &metrics, &timeline);
        let calls = Arc::new(Calls::new(CallParts {
            node: node.name.clone(),
            key: node.key.clone(),
            shards: settings.claims.shards,
            attempts: Arc::clone(&attempts),
            config: follower.source(),
            membership: members.membership(),
            once: claims.handle(),
            tickets: Tickets::new(&node.name, &node.key, &settings.claims),
            remote: remote_owner(settings, &timeline),
            timeline: Arc::clone(&timeline),
        }));
        let entry = Entry::new(
            &settings.entry,
            follower.source(),
            attempts,
            Arc::clone(&calls),
            Arc::clone(&metrics),
            Arc::clone(&timeline),
        );
        let load_poller = LoadPoller::start(Arc::clone(&owner));
        let load_exchange = load_exchange(settings, &members, &owner, &metrics);
        let peer_server = PeerServer::new(
            owner,
            calls,
            members.acceptor(),
            node.key.clone(),
            Arc::clone(&timeline),
            settings.entry.max_body_bytes,
        );
        let peer_server = follower.server(Arc::new(peer_server));
        let reconciler = reconciler(settings, &follower, &members, &metrics, &timeline);
        let status = status(settings, &follower, &members, &readiness, &reconciler);
        let pages = Pages::new(metrics, readiness.clone(), status);
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
            reconciler,
            host_list_poller,
            claims,
            load_poller,
            load_exchange,
            members,
            readiness,
            timeline,
            linger: settings.entry.linger,
            drain_limit: settings.entry.drain_limit,
        })
    }

    /// Shuts down gracefully.
    ///
    /// First hands over the ownership of backend servers, and serves callers for the linger time, so that they can move
    /// to other nodes. Then waits for requests in flight, up to the drain limit, and stops all other components.
    pub async fn close(self) {
        self.timeline.event(Event::new(EventKind::NodeStopping));
        self.readiness.set_unmet(READY_RESTART);
        self.members.leave();
        self.callers.start_draining();
        tokio::time::sleep(self.linger).await;
        self.callers.close(self.drain_limit).await;
        self.peers.close(self.drain_limit).await;
        self.reconciler.close();
        self.claims.close().await;
        self.follower.close();
        self.host_list_poller.close();
        self.load_poller.close();
        self.load_exchange.close();
        self.members.close();
        self.operations.close(OPERATIONS_CLOSE_TIMEOUT).await;
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

fn peer_client(settings: &Settings) -> Client {
    Client::new(&ClientOptions {
        http2: true,
        ping_interval: settings.membership.ping,
        ..client_options(settings)
    })
}

fn log_client(settings: &Settings, metrics: &Arc<Metrics>) -> Arc<HttpLog> {
    Arc::new(HttpLog::new(
        Client::new(&client_options(settings)),
        settings.platform.log_address,
        settings.platform.timeout,
        Arc::clone(metrics),
    ))
}

fn follower(
    settings: &Settings,
    members: &Members,
    metrics: &Arc<Metrics>,
    readiness: &Readiness,
    timeline: &Arc<Timeline>,
) -> Follower {
    Follower::start(FollowerParts {
        node: &settings.node.name,
        data_centre: &settings.node.data_centre,
        key: &settings.node.key,
        settings: &settings.config,
        log: log_client(settings, metrics),
        client: peer_client(settings),
        membership: members.membership(),
        configs: members.configs(),
        metrics: Arc::clone(metrics),
        readiness: readiness.clone(),
        timeline: Arc::clone(timeline),
    })
}

fn status(
    settings: &Settings,
    follower: &Follower,
    members: &Members,
    readiness: &Readiness,
    reconciler: &Reconciler,
) -> Arc<dyn StatusSource> {
    Arc::new(Status {
        node: settings.node.name.clone(),
        data_centre: settings.node.data_centre.clone(),
        config: follower.source(),
        membership: members.membership(),
        readiness: readiness.clone(),
        unsettled: reconciler.unsettled(),
    })
}

fn reconciler(
    settings: &Settings,
    follower: &Follower,
    members: &Members,
    metrics: &Arc<Metrics>,
    timeline: &Arc<Timeline>,
) -> Reconciler {
    let backends = HttpBackends::new(settings.node.source_ip, Arc::clone(metrics));
    Reconciler::start(ReconcilerParts {
        node: settings.node.name.clone(),
        settings: settings.reconcile.clone(),
        config: follower.source(),
        membership: members.membership(),
        backends: Arc::new(backends),
        timeline: Arc::clone(timeline),
    })
}

fn host_list_poller(
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
        exchange_interval: settings.routing.exchange_interval,
        is_bounded: settings.routing.policy.build().is_bounded(),
        config: follower.source(),
        membership: members.membership(),
        backends: Arc::new(backends),
        loads: Arc::clone(loads),
        timeline: Arc::clone(timeline),
    }))
}

fn load_exchange(
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
        client: peer_client(settings),
        key: settings.node.key.clone(),
        metrics: Arc::clone(metrics),
    })
}

fn claims(settings: &Settings, metrics: &Arc<Metrics>, timeline: &Arc<Timeline>) -> Claims {
    Claims::start(
        &settings.node.name,
        &settings.claims,
        log_client(settings, metrics),
        Arc::clone(timeline),
    )
}

fn remote_owner(settings: &Settings, timeline: &Arc<Timeline>) -> RemoteOwner {
    RemoteOwner::new(
        peer_client(settings),
        settings.node.key.clone(),
        Arc::clone(timeline),
    )
}

fn attempt_sender(
    settings: &Settings,
    members: &Members,
    owner: &Arc<Owner>,
    loads: &Arc<Loads>,
    timeline: &Arc<Timeline>,
) -> Arc<AttemptSender> {
    let node = &settings.node;
    let dispatch = OwnerDispatch::new(
        &node.name,
        members.membership(),
        Arc::clone(owner),
        remote_owner(settings, timeline),
        Arc::clone(timeline),
    );
    Arc::new(AttemptSender::new(
        &node.name,
        &settings.entry,
        members.membership(),
        Arc::new(dispatch),
        settings.routing.policy.build(),
        Arc::clone(loads),
        Arc::clone(timeline),
    ))
}
