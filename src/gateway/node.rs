//! Starts and stops a gateway.

use super::admission_stats::AdmissionStats;
use super::dialect::Dialect;
use super::handler::CallerHandler;
use super::handler::Gateway;
use super::handler::RuntimeSettings;
use super::loads::ServerLoads;
use super::loop_watch::LoopWatch;
use super::metrics::GatewayMetrics;
use super::metrics::SourceMetrics;
use super::pages::Pages;
use super::path_probe::PathProbe;
use super::pool::Pool;
use super::response_memory::ResponseMemory;
use super::send_gate::ColdAllowance;
use super::send_gate::SendGate;
use super::server_evidence::ServerEvidence;
use super::server_paths::ServerPaths;
use super::server_rates::ServerRates;
use super::settings::GatewayBounds;
use super::settings::GatewaySettings;
use super::team_demand::TeamDemand;
use crate::catalog::Catalog;
use crate::catalog::CatalogBounds;
use crate::catalog::ConfigSource;
use crate::catalog::Duties;
use crate::catalog::Follower;
use crate::catalog::ReadPace;
use crate::catalog::Schedule;
use crate::catalog::ServerList;
use crate::clock::BootInstant;
use crate::decide::Admission;
use crate::decide::DrainPolicy;
use crate::decide::EnginePlacement;
use crate::decide::PlainPlacement;
use crate::decide::RetryPolicy;
use crate::logs::Logs;
use crate::net::Connector;
use crate::net::Handler;
use crate::net::Listener;
use crate::net::Protocol;
use crate::peers::DirectPaths;
use crate::peers::FleetLoads;
use crate::peers::NodeDirectory;
use crate::peers::NodeEntry;
use crate::peers::OtherLoads;
use crate::peers::OwnLoads;
use crate::peers::OwnTeams;
use crate::peers::PeerSettings;
use crate::peers::Peers;
use crate::peers::StreamArchive;
use crate::quarantine::BreakWatch;
use crate::quarantine::HoldLedger;
use crate::quarantine::LedgerSync;
use crate::quarantine::Quarantine;
use crate::quarantine::RenewalWatch;
use crate::quarantine::ServerReach;
use crate::quarantine::TrialClaims;
use slog::info;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Interval at which expired idle connections and the state of removed servers, routes and services are removed.
const PRUNE_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the grace period that is reserved for closing the last connections and writing the last log lines.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(600);
/// Timeout for answers that are being written when the time to serve is over.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which a stopping node checks whether it is still in use.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the load balancer may still send callers here: it probes every second and removes a node after the
/// second failed probe.
const BALANCER_REACTION_TIME: Duration = Duration::from_millis(2_500);
/// Maximum time from the check of an API key at this node until a server starts the request: the latency of the longest
/// network path and a wait for a CPU.
const KEY_USE_MARGIN: Duration = Duration::from_millis(500);
/// Time within which expired entries of the server list reappear after the store has recovered, as the platform
/// specifies.
const LIST_RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// Maximum time for which a gateway of a fleet that starts for the first time waits before it looks for others, so that the
/// last ones find the first ones.
const MAX_START_DELAY: Duration = Duration::from_secs(1);
/// Time within which a gateway that starts has found a peer that serves it or has become the relay: it asks the directory
/// once, and three peers that may not answer.
const MAX_PEER_WAIT: Duration = Duration::from_millis(1_500);

/// The interfaces through which a gateway gets its configuration, servers and peers, and reads headers.
pub struct Sources {
    /// Source of the configuration.
    pub config: Box<dyn ConfigSource>,
    /// Source of the backend server list.
    pub servers: Box<dyn ServerList>,
    /// Directory of the other gateways.
    pub directory: Arc<dyn NodeDirectory>,
    /// Held parts of prompts in the store.
    pub held_parts: Arc<dyn HoldLedger>,
    /// Records of streams in the store.
    pub streams: Arc<dyn StreamArchive>,
    /// Counts the calls that the sources make to the store.
    pub source_metrics: SourceMetrics,
    /// Header names and formats of callers and backend servers.
    pub dialect: Arc<dyn Dialect>,
    /// Opens connections to backend servers.
    pub connector: Arc<dyn Connector>,
}

/// The reason why a gateway could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be bound.
    Listen {
        /// Purpose of the address, such as metrics.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// Error that the bind returned.
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
    ledger_sync: LedgerSync,
    renewal_watch: RenewalWatch,
    break_watch: BreakWatch,
    loop_watch: LoopWatch,
    path_probe: PathProbe,
    pruner: JoinHandle<()>,
    gateway: Arc<Gateway>,
    logs: Logs,
}

fn peer_settings(settings: &GatewaySettings, start_delay: Duration) -> PeerSettings {
    let host = &settings.host;
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let start_time_ms = since_epoch.unwrap_or_default().as_millis();
    PeerSettings {
        own: NodeEntry {
            name: host.name.clone(),
            data_centre: host.data_centre.clone(),
            address: host.peer_address,
            start_time_ms: u64::try_from(start_time_ms).unwrap_or(u64::MAX),
            link_mbps: host.link_mbps,
        },
        data_centres: host.data_centres.clone(),
        regions: host.regions.clone(),
        start_delay,
        needs_evacuations: settings.bounds.evacuation.is_some(),
    }
}

/// Returns the callbacks that exchange loads with other nodes: one returns this node's requests in flight, the other
/// applies those of the other nodes.
fn load_callbacks(gateway: &Arc<Gateway>) -> (OwnLoads, OwnTeams, OtherLoads) {
    let own = Arc::clone(gateway);
    let demand = Arc::clone(gateway);
    let shared = Arc::clone(gateway);
    (
        Arc::new(move || {
            let mut loads = own.loads.own_in_flight();
            own.rates.add_to_loads(&mut loads);
            loads
        }),
        Arc::new(move || demand.team_demand.own_requests()),
        Arc::new(move |fleet: FleetLoads| {
            let (servers, _) = shared.catalog.servers();
            shared.loads.track(&servers);
            shared.loads.record_remote(&fleet);
            shared.rates.record_remote(&fleet.others, &servers);
            shared.gate.update(BootInstant::now());
            shared.rates.record_gateways(&shared.gate);
            shared.team_demand.record_heavy(fleet.heavy);
        }),
    )
}

fn catalog_bounds(bounds: &GatewayBounds) -> CatalogBounds {
    CatalogBounds {
        max_key_verification_age: bounds
            .strict_revoke
            .then(|| bounds.revoke.saturating_sub(KEY_USE_MARGIN)),
        max_denial_age: bounds.config_apply,
        list_grace: LIST_RECOVERY_GRACE,
        // An entry expires three heartbeat intervals after its last heartbeat, which may have come up to one interval
        // before the last successful read.
        max_list_gap: bounds.heartbeat * 2,
    }
}

/// Derives the read schedule from the bounds, leaving room for one failed read within each bound.
fn schedule(bounds: &GatewayBounds) -> Schedule {
    let pace = |bound: Duration| ReadPace {
        // Data is at most one read interval and one sync request old at a relay, which is less than
        // `max_relay_data_age`, and a further sync request old at the nodes that the relay serves, which is less than
        // `max_peer_data_age` also if the relay has to read the source itself. `max_peer_data_age`, plus the interval
        // at which a node checks it, plus a read that fails once and is retried, is less than the bound.
        interval: bound * 13 / 40,
        max_relay_data_age: bound / 2,
        max_peer_data_age: bound * 5 / 8,
    };
    // Evacuations are read with the configuration.
    let config_bound = bounds.evacuation.map_or(bounds.config_apply, |evacuation| {
        evacuation.min(bounds.config_apply)
    });
    Schedule {
        config: pace(config_bound),
        list: pace(bounds.drain),
    }
}

impl GatewayNode {
    /// Starts a gateway. It reports ready once it has a current configuration and a server list that is not empty.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Listen`] if an address can't be bound.
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
        let host = &settings.host;
        let ready = listen("readiness", host.ready_address, &pages).await?;
        let metrics = listen("metrics", host.metrics_address, &pages).await?;
        let handler: Arc<dyn Handler> = Arc::new(CallerHandler(Arc::clone(&gateway)));
        let callers = listen("callers", host.caller_address, &handler).await?;
        let duties = Duties::default();
        let start_delay = if host.is_first_start {
            MAX_START_DELAY.mul_f64(rand::random_range(0.0..1.0))
        } else {
            Duration::ZERO
        };
        let follower = Follower::start(
            &catalog,
            &logs,
            schedule(bounds),
            &duties,
            start_delay + MAX_PEER_WAIT,
            (sources.config, sources.servers),
        );
        let ledger_sync = LedgerSync::start(
            &gateway.quarantine,
            sources.held_parts,
            duties.clone(),
            &logs,
        );
        let break_watch = BreakWatch::start(&gateway.quarantine, &catalog);
        let renewal_watch =
            RenewalWatch::start(&gateway.quarantine, &catalog, &duties, bounds.heartbeat);
        let peers = Peers::start(
            peer_settings(settings, start_delay),
            &catalog,
            &logs,
            sources.directory,
            duties,
            load_callbacks(&gateway),
            &gateway.quarantine,
        );
        let mut peers = peers.await.map_err(|cause| StartError::Listen {
            purpose: "peers",
            address: host.peer_address,
            cause,
        })?;
        peers.keep_streams_in(sources.streams);
        // Can't fail: they are set nowhere else.
        let _ = gateway.node_count.set(peers.counter());
        let _ = gateway.streams.set(peers.streams());
        gateway.gate.set_node_names(peers.names());
        let loop_watch = LoopWatch::start(&gateway.metrics, &logs);
        gateway.paths.set_tunnels(peers.tunnels());
        let evidence: Arc<dyn ServerReach> = Arc::new(ServerEvidence::new(&gateway));
        gateway.quarantine.set_reach(evidence);
        peers.carry_tunnels(Arc::clone(&gateway.paths) as Arc<dyn DirectPaths>);
        let path_probe = PathProbe::start(&gateway, bounds.heartbeat);
        let pruner = tokio::spawn(prune(Arc::clone(&gateway)));
        info!(logs.log(), "started"; "version" => env!("CARGO_PKG_VERSION"),
            "data_centre" => &host.data_centre, "callers" => %host.caller_address);
        Ok(Self {
            callers,
            ready,
            metrics,
            follower,
            peers,
            ledger_sync,
            renewal_watch,
            break_watch,
            loop_watch,
            path_probe,
            pruner,
            gateway,
            logs,
        })
    }

    /// Applies new bounds while running: to the maximum age of the catalog state, the read schedule, the retry budgets
    /// and the shutdown time.
    pub fn set_bounds(&self, bounds: &GatewayBounds) {
        self.gateway.catalog.set_bounds(catalog_bounds(bounds));
        self.gateway.set_runtime_settings(runtime_settings(bounds));
        self.gateway.gate.set_allowance(cold_allowance(bounds));
        self.follower.set_schedule(schedule(bounds));
    }

    /// Stops the node. The node reports not ready and keeps serving until its callers have disconnected or its drain
    /// time is over; this returns before the grace period ends.
    pub async fn close(self) {
        let drain_time = self.gateway.runtime_settings().drain.drain_time;
        info!(self.logs.log(), "stopping"; "serves_ms" => drain_time.as_millis() as u64);
        let since = BootInstant::now();
        // Can't fail: it is set nowhere else, and a node is closed only once.
        let _ = self.gateway.stopping_since.set(since);
        self.callers.start_draining();
        self.peers.start_draining();
        tokio::time::sleep(BALANCER_REACTION_TIME.min(drain_time)).await;
        let remaining = || drain_time.saturating_sub(BootInstant::now().since(since));
        while self.is_in_use() && !remaining().is_zero() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // Callers may have connected since the last check.
        let stopping = self.callers.stop(remaining() + CLOSE_TIMEOUT);
        tokio::pin!(stopping);
        let open_connections = tokio::select! {
            open_connections = &mut stopping => open_connections,
            () = tokio::time::sleep(remaining()) => {
                self.gateway.has_ended_service.send_replace(true);
                stopping.await
            }
        };
        self.follower.close();
        self.peers.close().await;
        self.ledger_sync.close();
        self.renewal_watch.close();
        self.break_watch.close();
        self.loop_watch.close();
        self.path_probe.close();
        self.pruner.abort();
        self.ready.close(Duration::ZERO).await;
        self.metrics.close(Duration::ZERO).await;
        self.gateway.has_stopped.store(true, Ordering::Relaxed);
        open_connections.close().await;
        info!(self.logs.log(), "stopped");
    }

    /// Returns whether callers are connected or tunnels are carried for other gateways.
    fn is_in_use(&self) -> bool {
        self.callers.has_connections() || self.peers.carries_tunnels()
    }
}

fn runtime_settings(bounds: &GatewayBounds) -> RuntimeSettings {
    RuntimeSettings {
        retry: RetryPolicy {
            ratio: bounds.retry_ratio_milli as f64 / 1_000.0,
            window: bounds.retry_window,
            slack: bounds.retry_slack as f64,
        },
        drain: DrainPolicy {
            drain_time: bounds.grace.saturating_sub(SHUTDOWN_MARGIN),
        },
    }
}

fn cold_allowance(bounds: &GatewayBounds) -> ColdAllowance {
    ColdAllowance {
        excess_milli: bounds.cold_excess_milli,
        slack_milli: bounds.cold_slack_milli,
    }
}

fn gateway(
    settings: &GatewaySettings,
    catalog: &Arc<Catalog>,
    sources: &Sources,
    logs: &Logs,
) -> Gateway {
    let bounds = &settings.bounds;
    let quarantine = Arc::new(Quarantine::new(logs.clone(), &sources.connector));
    let loads = ServerLoads::default();
    let gate = SendGate::new(
        &settings.host.name,
        (catalog, &loads),
        logs,
        cold_allowance(bounds),
        BootInstant::now(),
    );
    let metrics = Arc::new(GatewayMetrics::new(&sources.source_metrics));
    Gateway {
        data_centre: settings.host.data_centre.clone(),
        regions: settings.host.regions.clone(),
        catalog: Arc::clone(catalog),
        dialect: Arc::clone(&sources.dialect),
        logs: logs.clone(),
        pool: Pool::default(),
        paths: Arc::new(ServerPaths::new(&sources.connector, &loads, &metrics, logs)),
        metrics,
        loads,
        gate,
        team_demand: TeamDemand::new(settings.host.has_team_shares),
        rates: ServerRates::new(&settings.host.name),
        response_memory: ResponseMemory::default(),
        retry_budgets: Mutex::default(),
        runtime_settings: Mutex::new(runtime_settings(bounds)),
        admission_stats: AdmissionStats::default(),
        node_count: OnceLock::new(),
        streams: OnceLock::new(),
        trial_claims: TrialClaims::new(&quarantine, &sources.held_parts, logs),
        quarantine,
        engines: EnginePlacement::default(),
        plain: PlainPlacement::default(),
        admission: Admission::default(),
        stopping_since: OnceLock::new(),
        has_ended_service: watch::Sender::new(false),
        has_stopped: Arc::default(),
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
        gateway.paths.prune(&is_known);
        gateway.loads.prune(&is_known);
        gateway.rates.prune(&is_known);
        if let Some(configuration) = gateway.catalog.configuration() {
            let routes = configuration.routes().iter();
            let mut names: Vec<&str> = routes.map(|route| route.name.as_str()).collect();
            names.sort_unstable();
            let is_route = |name: &str| names.binary_search(&name).is_ok();
            let is_service = |name: &str| configuration.service(name).is_some();
            gateway.admission_stats.prune(&is_route, &is_service);
        }
    }
}
