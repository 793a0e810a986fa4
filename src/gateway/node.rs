//! Puts a gateway together and takes it down.

use super::admission_stats::AdmissionStats;
use super::dialect::Dialect;
use super::handler::CallerHandler;
use super::handler::Gateway;
use super::handler::RuntimeSettings;
use super::loads::ServerLoads;
use super::metrics::GatewayMetrics;
use super::metrics::SourceMetrics;
use super::pages::Pages;
use super::pool::Pool;
use super::settings::GatewayBounds;
use super::settings::GatewayHost;
use super::settings::GatewaySettings;
use crate::catalog::BeliefBounds;
use crate::catalog::Beliefs;
use crate::catalog::ConfigSource;
use crate::catalog::Follower;
use crate::catalog::Pace;
use crate::catalog::Schedule;
use crate::catalog::ServerList;
use crate::clock::Moment;
use crate::decide::Admission;
use crate::decide::EnginePlacement;
use crate::decide::Leave;
use crate::decide::PlainPlacement;
use crate::decide::RetryTerms;
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
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(600);
/// Time for which callers may still be sent here: the balancer asks each second and acts on the second miss.
const BALANCER_REACTION_TIME: Duration = Duration::from_millis(2_500);
/// Time for a key to be used at a server after it was judged here: the longest way and a wait for the processor.
const KEY_USE_MARGIN: Duration = Duration::from_millis(500);
/// Time that the platform gives lapsed entries to come back after the store's return.
const LIST_RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// What a gateway is fed by.
pub struct Sources {
    /// The configuration.
    pub config: Box<dyn ConfigSource>,
    /// The backend servers.
    pub servers: Box<dyn ServerList>,
    /// The other gateways.
    pub directory: Arc<dyn NodeDirectory>,
    /// Counts what the sources ask for.
    pub source_metrics: SourceMetrics,
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

fn peer_settings(host: &GatewayHost) -> PeerSettings {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let born_ms = since_epoch.unwrap_or_default().as_millis();
    PeerSettings {
        own: NodeEntry {
            name: host.name.clone(),
            data_centre: host.data_centre.clone(),
            address: host.peer_address,
            born_ms: u64::try_from(born_ms).unwrap_or(u64::MAX),
            link_mbps: host.link_mbps,
        },
        data_centres: host.data_centres.clone(),
    }
}

/// Gives and takes loads on behalf of the other nodes.
fn load_callbacks(gateway: &Arc<Gateway>) -> (OwnLoads, OtherLoads) {
    let own = gateway.loads.clone();
    let others = Arc::clone(gateway);
    (
        Arc::new(move || own.own_in_flight()),
        Arc::new(move |loads| {
            let (servers, _) = others.beliefs.servers();
            others.loads.track(&servers);
            others.loads.record_remote(&loads);
        }),
    )
}

fn belief_bounds(bounds: &GatewayBounds) -> BeliefBounds {
    BeliefBounds {
        key_proof: bounds
            .strict_revoke
            .then(|| bounds.revoke.saturating_sub(KEY_USE_MARGIN)),
        list_grace: LIST_RECOVERY_GRACE,
        // An entry lapses after three heartbeats without one, and the last may have come one before the silence.
        list_silence: bounds.heartbeat * 2,
    }
}

/// Derives the reading schedule from the bounds, each with room for one lost read.
fn schedule(bounds: &GatewayBounds) -> Schedule {
    let pace = |bound: Duration| Pace {
        // What the relay read is told on within one interval and one question, which stays under the age at which
        // a node reads for itself; that age, a look and a read that fails once stay under the bound.
        interval: bound * 7 / 20,
        told_age: bound * 5 / 8,
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
        let beliefs = Arc::new(Beliefs::new(belief_bounds(bounds)));
        let gateway = Arc::new(gateway(settings, &beliefs, &sources, &logs));
        let pages: Arc<dyn Handler> = Arc::new(Pages {
            gateway: Arc::clone(&gateway),
        });
        let host = &settings.host;
        let ready = listen("readiness", host.ready_address, &pages).await?;
        let metrics = listen("metrics", host.metrics_address, &pages).await?;
        let handler: Arc<dyn Handler> = Arc::new(CallerHandler(Arc::clone(&gateway)));
        let callers = listen("callers", host.caller_address, &handler).await?;
        let is_relay = Arc::new(AtomicBool::new(true));
        let follower = Follower::start(
            &beliefs,
            &logs,
            schedule(bounds),
            &is_relay,
            (sources.config, sources.servers),
        );
        let peers = Peers::start(
            peer_settings(host),
            &beliefs,
            &logs,
            sources.directory,
            is_relay,
            load_callbacks(&gateway),
        );
        let peers = peers.await.map_err(|cause| StartError::Listen {
            purpose: "peers",
            address: host.peer_address,
            cause,
        })?;
        // It is set here alone.
        let _ = gateway.node_count.set(peers.counter());
        let pruner = tokio::spawn(prune(Arc::clone(&gateway)));
        info!(logs.log(), "started"; "version" => env!("CARGO_PKG_VERSION"),
            "data_centre" => &host.data_centre, "callers" => %host.caller_address);
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
        self.gateway.beliefs.set_bounds(belief_bounds(bounds));
        self.gateway.set_runtime_settings(runtime_settings(bounds));
        self.follower.set_schedule(schedule(bounds));
    }

    /// Stops: the node is no longer ready, serves on while callers leave, and ends before the grace is over.
    pub async fn close(self) {
        let serves_for = self.gateway.runtime_settings().leave.serves_for;
        info!(self.logs.log(), "stopping"; "serves_ms" => serves_for.as_millis() as u64);
        // It is set here alone, and a node is closed once.
        let _ = self.gateway.stopping_since.set(Moment::now());
        self.callers.leave();
        tokio::time::sleep(BALANCER_REACTION_TIME.min(serves_for)).await;
        let rest = serves_for.saturating_sub(BALANCER_REACTION_TIME);
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

fn runtime_settings(bounds: &GatewayBounds) -> RuntimeSettings {
    RuntimeSettings {
        retry: RetryTerms {
            ratio: bounds.retry_ratio_milli as f64 / 1_000.0,
            window: bounds.retry_window,
            slack: bounds.retry_slack as f64,
        },
        leave: Leave {
            serves_for: bounds.grace.saturating_sub(SHUTDOWN_MARGIN),
        },
    }
}

fn gateway(
    settings: &GatewaySettings,
    beliefs: &Arc<Beliefs>,
    sources: &Sources,
    logs: &Logs,
) -> Gateway {
    let bounds = &settings.bounds;
    Gateway {
        data_centre: settings.host.data_centre.clone(),
        beliefs: Arc::clone(beliefs),
        dialect: Arc::clone(&sources.dialect),
        logs: logs.clone(),
        metrics: Arc::new(GatewayMetrics::new(&sources.source_metrics)),
        pool: Pool::default(),
        loads: ServerLoads::default(),
        retry_budgets: Mutex::default(),
        runtime_settings: Mutex::new(runtime_settings(bounds)),
        admission_stats: AdmissionStats::default(),
        node_count: OnceLock::new(),
        engines: EnginePlacement::default(),
        plain: PlainPlacement::default(),
        admission: Admission::default(),
        stopping_since: OnceLock::new(),
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
        let (servers, _) = gateway.beliefs.servers();
        let is_known = |id: &str| {
            servers
                .binary_search_by(|server| server.id.as_str().cmp(id))
                .is_ok()
        };
        gateway.pool.prune(&is_known);
        gateway.loads.prune(&is_known);
        if let Some(catalog) = gateway.beliefs.catalog() {
            let routes = catalog.routes().iter();
            let mut names: Vec<&str> = routes.map(|route| route.name.as_str()).collect();
            names.sort_unstable();
            let is_route = |name: &str| names.binary_search(&name).is_ok();
            let is_service = |name: &str| catalog.service(name).is_some();
            gateway.admission_stats.prune(&is_route, &is_service);
        }
    }
}
