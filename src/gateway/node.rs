//! Puts a gateway together and takes it down.

use super::dialect::Dialect;
use super::handler::Caller;
use super::handler::Gateway;
use super::loads::Loads;
use super::meters::Meters;
use super::pages::Pages;
use super::pool::Pool;
use super::settings::GatewayBounds;
use super::settings::GatewaySettings;
use crate::catalog::BeliefBounds;
use crate::catalog::Beliefs;
use crate::catalog::ConfigSource;
use crate::catalog::Follower;
use crate::catalog::Schedule;
use crate::catalog::ServerList;
use crate::clock::Moment;
use crate::decide::EnginePlacement;
use crate::decide::Leave;
use crate::decide::PlainPlacement;
use crate::decide::RetryTerms;
use crate::decide::Returns;
use crate::logs::Logs;
use crate::net::Handler;
use crate::net::Listener;
use crate::net::Protocol;
use slog::info;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::time::Duration;
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
    pruner: JoinHandle<()>,
    gateway: Arc<Gateway>,
    logs: Logs,
}

fn belief_bounds(bounds: &GatewayBounds) -> BeliefBounds {
    BeliefBounds {
        key_proof: bounds
            .strict_revoke
            .then(|| bounds.revoke.saturating_sub(KEY_MARGIN)),
        list_grace: LIST_GRACE,
        // Three reads in a row that failed.
        list_silence: schedule(bounds).list_interval * 2,
    }
}

/// Derives the reading schedule from the bounds, each with room for one lost read.
fn schedule(bounds: &GatewayBounds) -> Schedule {
    Schedule {
        // Two waits and a lost read fit into the age up to which keys are believed.
        config_wait: (bounds.revoke * 3 / 10).min(Duration::from_secs(10)),
        // A leaving server is known after one interval, or two where a read is lost.
        list_interval: bounds.drain * 2 / 5,
        read_timeout: Duration::from_millis(400),
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
        let place = &settings.place;
        let ready = listen("readiness", place.ready_address, &pages).await?;
        let metrics = listen("metrics", place.metrics_address, &pages).await?;
        let handler: Arc<dyn Handler> = Arc::new(Caller(Arc::clone(&gateway)));
        let callers = listen("callers", place.caller_address, &handler).await?;
        let follower = Follower::start(
            &beliefs,
            &logs,
            schedule(bounds),
            sources.config,
            sources.servers,
        );
        let pruner = tokio::spawn(prune(Arc::clone(&gateway)));
        info!(logs.log(), "started"; "version" => env!("CARGO_PKG_VERSION"),
            "data_centre" => &place.data_centre, "callers" => %place.caller_address);
        Ok(Self {
            callers,
            ready,
            metrics,
            follower,
            pruner,
            gateway,
            logs,
        })
    }

    /// Stops: the node is no longer ready, serves on while callers leave, and ends before the grace is over.
    pub async fn close(self) {
        let serving = self.gateway.leave.serves_for;
        info!(self.logs.log(), "stopping"; "serves_ms" => serving.as_millis() as u64);
        // It is set here alone, and a node is closed once.
        let _ = self.gateway.leaving_since.set(Moment::now());
        self.callers.leave();
        tokio::time::sleep(BALANCER_NOTICE.min(serving)).await;
        let rest = serving.saturating_sub(BALANCER_NOTICE);
        self.callers.drain(rest).await;
        self.callers.close(Duration::from_millis(200)).await;
        self.follower.close();
        self.pruner.abort();
        self.ready.close(Duration::ZERO).await;
        self.metrics.close(Duration::ZERO).await;
        info!(self.logs.log(), "stopped");
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
        data_centre: settings.place.data_centre.clone(),
        beliefs: Arc::clone(beliefs),
        dialect: Arc::clone(&sources.dialect),
        logs: logs.clone(),
        meters: Arc::new(Meters::new()),
        pool: Pool::default(),
        loads: Loads::default(),
        budgets: Mutex::default(),
        retry_terms: RetryTerms {
            ratio: bounds.retry_ratio_milli as f64 / 1_000.0,
            window: bounds.retry_window,
            slack: bounds.retry_slack as f64,
        },
        nodes: AtomicU32::new(16),
        engines: EnginePlacement {
            bound_factor: 1.6,
            bound_extra: 2.0,
            homes: 2,
        },
        plain: PlainPlacement { near_fill: 0.67 },
        leave: Leave {
            serves_for: bounds.grace.saturating_sub(GRACE_MARGIN),
        },
        leaving_since: OnceLock::new(),
        returns: Returns {
            soonest: Duration::from_millis(150),
            spread: Duration::from_millis(850),
        },
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
    }
}
