//! Puts a gateway together and takes it down.

use super::crowds::Crowds;
use super::dialect::Dialect;
use super::handler::Caller;
use super::handler::Gateway;
use super::handler::Terms;
use super::loads::Loads;
use super::meters::Meters;
use super::meters::SourceMeter;
use super::pages::Pages;
use super::pool::Pool;
use super::settings::GatewayBounds;
use super::settings::GatewayPlace;
use super::settings::GatewaySettings;
use crate::catalog::Catalog;
use crate::catalog::CatalogBounds;
use crate::catalog::ConfigSource;
use crate::catalog::Follower;
use crate::catalog::ReadPace;
use crate::catalog::Schedule;
use crate::catalog::ServerList;
use crate::clock::Moment;
use crate::decide::Admission;
use crate::decide::DrainPolicy;
use crate::decide::EnginePlacement;
use crate::decide::PlainPlacement;
use crate::decide::RetryPolicy;
use crate::logs::Logs;
use crate::net::Handler;
use crate::net::Listener;
use crate::net::Protocol;
use crate::peers::NodeDirectory;
use crate::peers::NodeEntry;
use crate::peers::OtherLoads;
use crate::peers::OwnLoads;
use crate::peers::PeerSettings;
use crate::peers::Peers;
use slog::info;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use std::time::SystemTime;
use tokio::task::JoinHandle;

/// Time between two rounds of closing old connections and forgetting gone servers.
const PRUNE_INTERVAL: Duration = Duration::from_millis(500);
/// Time before the end of the grace in which the last connections are closed and the last lines are written.
const GRACE_MARGIN: Duration = Duration::from_millis(600);
/// Time for which callers may still be sent here: the balancer asks each second and acts on the second miss.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_500);
/// Time for a key to be used at a server after it was judged here: the longest way and a wait for the processor.
const KEY_MARGIN: Duration = Duration::from_millis(500);
/// Time that the platform gives lapsed entries to come back after the store's return.
const LIST_GRACE: Duration = Duration::from_secs(2);

/// What a gateway is fed by.
pub struct Sources {
    /// The configuration.
    pub config: Box<dyn ConfigSource>,
    /// The backend servers.
    pub servers: Box<dyn ServerList>,
    /// The other gateways.
    pub directory: Arc<dyn NodeDirectory>,
    /// Counts what the sources ask for.
    pub meter: SourceMeter,
    /// Names and formats that callers and servers use.
    pub dialect: Arc<dyn Dialect>,
}

/// Why a gateway could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be listened on.
    Listen {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why it can't be bound.
        cause: io::Error,
    },
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen {
                purpose,
                address,
                cause,
            } => write!(f, "can't listen for {purpose} on {address}: {cause}"),
        }
    }
}

/// A running gateway.
pub struct GatewayNode {
    callers: Listener,
    ready: Listener,
    metrics: Listener,
    follower: Follower,
    peers: Peers,
    pruner: JoinHandle<()>,
    gateway: Arc<Gateway>,
    logs: Logs,
}

fn peer_settings(place: &GatewayPlace) -> PeerSettings {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let start_time_ms = since_epoch.unwrap_or_default().as_millis();
    PeerSettings {
        own: NodeEntry {
            name: place.name.clone(),
            data_centre: place.data_centre.clone(),
            address: place.peer_address,
            start_time_ms: u64::try_from(start_time_ms).unwrap_or(u64::MAX),
            link_mbps: place.link_mbps,
        },
        data_centres: place.data_centres.clone(),
    }
}

/// Gives and takes loads on behalf of the other nodes.
fn loads(gateway: &Arc<Gateway>) -> (OwnLoads, OtherLoads) {
    let own = gateway.loads.clone();
    let others = Arc::clone(gateway);
    (
        Arc::new(move || own.own()),
        Arc::new(move |loads| {
            let (servers, _) = others.catalog.servers();
            others.loads.know(&servers);
            others.loads.note_others(&loads);
        }),
    )
}

fn catalog_bounds(bounds: &GatewayBounds) -> CatalogBounds {
    CatalogBounds {
        max_key_verification_age: bounds
            .strict_revoke
            .then(|| bounds.revoke.saturating_sub(KEY_MARGIN)),
        list_grace: LIST_GRACE,
        // An entry lapses after three heartbeats without one, and the last may have come one before the silence.
        max_list_gap: bounds.heartbeat * 2,
    }
}

/// Derives the reading schedule from the bounds, each with room for one lost read.
fn schedule(bounds: &GatewayBounds) -> Schedule {
    let pace = |bound: Duration| ReadPace {
        // What the relay read is told on within one interval and one question, which stays under the age at which
        // a node reads for itself; that age, a look and a read that fails once stay under the bound.
        interval: bound * 7 / 20,
        max_peer_data_age: bound * 5 / 8,
    };
    Schedule {
        config: pace(bounds.config_apply),
        list: pace(bounds.drain),
    }
}

impl GatewayNode {
    /// Starts a gateway; it is ready once it knows configuration and servers.
    ///
    /// # Errors
    ///
    /// Tells which address can't be listened on.
    pub async fn start(
        settings: &GatewaySettings,
        sources: Sources,
        logs: Logs,
    ) -> Result<Self, StartError> {
        let bounds = &settings.bounds;
        let catalog = Arc::new(Catalog::new(catalog_bounds(bounds)));
        let gateway = Arc::new(gateway(settings, &catalog, &sources, &logs));
        let pages: Arc<dyn Handler> = Arc::new(Pages {
            gateway: Arc::clone(&gateway),
        });
        let place = &settings.place;
        let ready = listen("readiness", place.ready_address, &pages).await?;
        let metrics = listen("metrics", place.metrics_address, &pages).await?;
        let handler: Arc<dyn Handler> = Arc::new(Caller(Arc::clone(&gateway)));
        let callers = listen("callers", place.caller_address, &handler).await?;
        let is_relay = Arc::new(AtomicBool::new(true));
        let follower = Follower::start(
            &catalog,
            &logs,
            schedule(bounds),
            &is_relay,
            (sources.config, sources.servers),
        );
        let peers = Peers::start(
            peer_settings(place),
            &catalog,
            &logs,
            sources.directory,
            is_relay,
            loads(&gateway),
        );
        let peers = peers.await.map_err(|cause| StartError::Listen {
            purpose: "peers",
            address: place.peer_address,
            cause,
        })?;
        // It is set here alone.
        let _ = gateway.nodes.set(peers.counter());
        let pruner = tokio::spawn(prune(Arc::clone(&gateway)));
        info!(logs.log(), "started"; "version" => env!("CARGO_PKG_VERSION"),
            "data_centre" => &place.data_centre, "callers" => %place.caller_address);
        Ok(Self {
            callers,
            ready,
            metrics,
            follower,
            peers,
            pruner,
            gateway,
            logs,
        })
    }

    /// Goes by other bounds from now on: beliefs, reads, budgets of repeats and the time for stopping.
    pub fn set_bounds(&self, bounds: &GatewayBounds) {
        self.gateway.catalog.set_bounds(catalog_bounds(bounds));
        self.gateway.set_terms(terms(bounds));
        self.follower.set_schedule(schedule(bounds));
    }

    /// Stops: the node is no longer ready, serves on while callers leave, and ends before the grace is over.
    pub async fn close(self) {
        let serving = self.gateway.terms().leave.drain_time;
        info!(self.logs.log(), "stopping"; "serves_ms" => serving.as_millis() as u64);
        // It is set here alone, and a node is closed once.
        let _ = self.gateway.leaving_since.set(Moment::now());
        self.callers.start_draining();
        tokio::time::sleep(BALANCER_NOTICE.min(serving)).await;
        let rest = serving.saturating_sub(BALANCER_NOTICE);
        self.callers.drain(rest).await;
        self.callers.close(Duration::from_millis(200)).await;
        self.follower.close();
        self.peers.close().await;
        self.pruner.abort();
        self.ready.close(Duration::ZERO).await;
        self.metrics.close(Duration::ZERO).await;
        info!(self.logs.log(), "stopped");
    }
}

fn terms(bounds: &GatewayBounds) -> Terms {
    Terms {
        retry: RetryPolicy {
            ratio: bounds.retry_ratio_milli as f64 / 1_000.0,
            window: bounds.retry_window,
            slack: bounds.retry_slack as f64,
        },
        leave: DrainPolicy {
            drain_time: bounds.grace.saturating_sub(GRACE_MARGIN),
        },
    }
}

fn gateway(
    settings: &GatewaySettings,
    catalog: &Arc<Catalog>,
    sources: &Sources,
    logs: &Logs,
) -> Gateway {
    let bounds = &settings.bounds;
    Gateway {
        data_centre: settings.place.data_centre.clone(),
        catalog: Arc::clone(catalog),
        dialect: Arc::clone(&sources.dialect),
        logs: logs.clone(),
        meters: Arc::new(Meters::new(&sources.meter)),
        pool: Pool::default(),
        loads: Loads::default(),
        budgets: Mutex::default(),
        terms: Mutex::new(terms(bounds)),
        crowds: Crowds::default(),
        nodes: OnceLock::new(),
        engines: EnginePlacement::default(),
        plain: PlainPlacement::default(),
        admission: Admission::default(),
        leaving_since: OnceLock::new(),
    }
}

async fn listen(
    purpose: &'static str,
    address: SocketAddr,
    handler: &Arc<dyn Handler>,
) -> Result<Listener, StartError> {
    Listener::start(address, Protocol::Http1, Arc::clone(handler))
        .await
        .map_err(|cause| StartError::Listen {
            purpose,
            address,
            cause,
        })
}

async fn prune(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        let (servers, _) = gateway.catalog.servers();
        let is_known = |id: &str| {
            servers
                .binary_search_by(|server| server.id.as_str().cmp(id))
                .is_ok()
        };
        gateway.pool.prune(&is_known);
        gateway.loads.prune(&is_known);
        if let Some(configuration) = gateway.catalog.configuration() {
            let routes = configuration.routes().iter();
            let mut names: Vec<&str> = routes.map(|route| route.name.as_str()).collect();
            names.sort_unstable();
            let is_route = |name: &str| names.binary_search(&name).is_ok();
            let is_service = |name: &str| configuration.service(name).is_some();
            gateway.crowds.prune(&is_route, &is_service);
        }
    }
}
