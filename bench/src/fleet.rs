//! A complete deployment on loopback: stand-ins for the platform services and the backend servers, real node
//! processes, and a fault proxy on the links between them.
//!
//! Callers connect to the nodes without the proxy, because in production only the platform's load balancer is in
//! between. All other links go through the proxy. The proxy knows data centres, nodes and platform services by name, so
//! that a case can disconnect any of them.

mod backends;
mod error;
mod node;
mod nodes;
pub mod operator;
mod options;
mod ports;
mod stats;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use tokio::task::JoinHandle;

pub use self::error::FleetError;
use self::error::io_error;
use self::node::Node;
use self::nodes::create_nodes;
pub use self::options::FleetOptions;
pub use self::options::team_object;
pub use self::stats::NodeStats;
use crate::load::TeamKey;
use crate::load::directory::Directory;
use crate::proxy::Proxy;
use crate::standin::engine::Engine;
use crate::standin::engine::EngineGroup;
use crate::standin::hosts::HostListService;
use crate::standin::log::LogOptions;
use crate::standin::log::LogService;
use crate::standin::service::Plain;
use crate::truth::Truth;
use crate::wire::platform::Host;

/// Number of fleets that this process has started.
static STARTED_FLEETS: AtomicU32 = AtomicU32::new(0);

/// Name of the callers and of the bench itself in the proxy.
pub const CALLER: &str = "caller";
/// Name of the log service in the proxy.
pub const LOG: &str = "log";
/// Name of the host list in the proxy.
pub const HOST_LIST: &str = "hosts";
/// Zone of the platform services in the proxy.
pub const PLATFORM_ZONE: &str = "platform";
/// Log stream of the configuration.
pub const CONFIG_STREAM: &str = "config";
/// Region of all data centres.
const REGION: &str = "region1";
/// Maximum time until a started node is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time until a node exits after a signal.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// A running backend server and its entry in the host list.
struct Backend<T> {
    name: String,
    direct_address: SocketAddr,
    host: Host,
    server: T,
}

/// A change in the set of engines that accept new work. The report replays these changes.
#[derive(Clone, Debug)]
pub struct EngineChange {
    /// Time of the change.
    pub at: Instant,
    /// Name of the engine.
    pub engine: String,
    /// Whether the engine accepts new work from this time on.
    pub joined: bool,
}

/// A running fleet.
pub struct Fleet {
    options: FleetOptions,
    out: PathBuf,
    truth: Arc<Truth>,
    proxy: Arc<Proxy>,
    log: LogService,
    hosts: HostListService,
    group: Arc<EngineGroup>,
    engines: Mutex<Vec<Backend<Engine>>>,
    engine_changes: Mutex<Vec<EngineChange>>,
    plain: Mutex<Vec<Backend<Plain>>>,
    nodes: Vec<Node>,
    directory: Arc<Directory>,
    probes: Vec<JoinHandle<()>>,
    teams: Vec<TeamKey>,
}

impl Fleet {
    /// Starts all services, backend servers and nodes, and waits until all nodes are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the fleet cannot be started. The parts started before it are stopped.
    pub async fn start(options: FleetOptions) -> Result<Fleet, FleetError> {
        // A process may start several fleets at the same time.
        let number = STARTED_FLEETS.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let run = format!("{}-{}-{process}-{number}", options.case, options.seed);
        let out = options.out.join(run);
        std::fs::create_dir_all(&out)
            .map_err(io_error(format!("create folder {}", out.display())))?;

        let proxy = Proxy::new();
        proxy.name_source(IpAddr::V4(Ipv4Addr::LOCALHOST), CALLER, CALLER);
        let log_options = LogOptions::default();
        let log = LogService::start(any_port(), log_options)
            .await
            .map_err(io_error("start the log service"))?;
        let hosts = HostListService::start(any_port(), options.host_list_lag).await;
        let hosts = hosts.map_err(io_error("start the host list"))?;

        let teams = options.team_keys();
        log.append(CONFIG_STREAM, &options.config_record(&teams));
        let nodes = create_nodes(&options, &proxy, &log, &hosts, &out).await?;
        let entries = nodes.iter().map(Node::entry).collect();
        let fleet = Fleet {
            truth: Truth::new(),
            group: EngineGroup::new(&options.model),
            engines: Mutex::default(),
            engine_changes: Mutex::default(),
            plain: Mutex::default(),
            directory: Directory::new(entries),
            probes: Vec::new(),
            options,
            out,
            proxy,
            log,
            hosts,
            nodes,
            teams,
        };
        fleet.start_hosts().await
    }

    async fn start_hosts(mut self) -> Result<Fleet, FleetError> {
        for number in 1..=self.options.engines {
            let options = self.options.engine_options(number);
            self.add_engine(options).await?;
        }
        for number in 1..=self.options.plain_servers {
            self.add_plain(number).await?;
        }
        for node in &self.nodes {
            node.spawn(&self.options.node_binary)?;
        }
        for node in &self.nodes {
            self.wait_ready(node).await?;
        }
        for entry in self.directory.nodes() {
            let probe = tokio::spawn(self.directory.clone().probe(entry));
            self.probes.push(probe);
        }
        Ok(self)
    }

    /// Returns the options that the fleet was started with.
    pub fn options(&self) -> &FleetOptions {
        &self.options
    }

    /// Returns the folder of the nodes' settings and logs.
    pub fn out(&self) -> &Path {
        &self.out
    }

    /// Returns the records of the requests that the backend servers ran.
    pub fn truth(&self) -> &Arc<Truth> {
        &self.truth
    }

    /// Returns a reference to the fault proxy.
    pub fn proxy(&self) -> &Arc<Proxy> {
        &self.proxy
    }

    /// Returns a reference to the log service.
    pub fn log(&self) -> &LogService {
        &self.log
    }

    /// Returns a reference to the host list service.
    pub fn hosts(&self) -> &HostListService {
        &self.hosts
    }

    /// Returns the directory of nodes that callers use.
    pub fn directory(&self) -> &Arc<Directory> {
        &self.directory
    }

    /// Returns the teams and their bearer keys.
    pub fn teams(&self) -> &[TeamKey] {
        &self.teams
    }

    /// Returns the names of all nodes.
    pub fn node_names(&self) -> Vec<String> {
        self.nodes.iter().map(|node| node.name.clone()).collect()
    }

    /// Returns the names of the running engines.
    pub fn engine_names(&self) -> Vec<String> {
        lock(&self.engines)
            .iter()
            .map(|engine| engine.name.clone())
            .collect()
    }

    /// Returns all changes in the set of engines, in time order.
    pub fn engine_changes(&self) -> Vec<EngineChange> {
        lock(&self.engine_changes).clone()
    }

    /// Returns the names of the running plain servers.
    pub fn plain_names(&self) -> Vec<String> {
        lock(&self.plain)
            .iter()
            .map(|plain| plain.name.clone())
            .collect()
    }

    /// Returns the proxy addresses of the engines, which the nodes connect to.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        lock(&self.engines)
            .iter()
            .filter_map(|engine| engine.host.address.parse().ok())
            .collect()
    }

    /// Returns the address of a backend server's own listener, which bypasses the proxy.
    pub fn direct_address(&self, name: &str) -> Option<SocketAddr> {
        let engine = lock(&self.engines)
            .iter()
            .find(|engine| engine.name == name)
            .map(|engine| engine.direct_address);
        engine.or_else(|| {
            lock(&self.plain)
                .iter()
                .find(|plain| plain.name == name)
                .map(|plain| plain.direct_address)
        })
    }

    /// Calls `f` with a running engine and returns the result, or `None` if no engine has the name.
    pub fn with_engine<T>(&self, name: &str, f: impl FnOnce(&Engine) -> T) -> Option<T> {
        let engines = lock(&self.engines);
        engines
            .iter()
            .find(|engine| engine.name == name)
            .map(|engine| f(&engine.server))
    }

    /// Calls `f` with a running plain server and returns the result, or `None` if no plain server has the name.
    pub fn with_plain<T>(&self, name: &str, f: impl FnOnce(&Plain) -> T) -> Option<T> {
        let plain = lock(&self.plain);
        plain
            .iter()
            .find(|plain| plain.name == name)
            .map(|plain| f(&plain.server))
    }

    /// Returns the CPU time, memory use and control traffic of each running node.
    pub async fn stats(&self) -> Vec<NodeStats> {
        let mut stats = Vec::new();
        for node in &self.nodes {
            if let Some(pid) = node.pid() {
                stats.extend(stats::read(&node.name, pid, node.operations_address).await);
            }
        }
        stats
    }

    /// Stops all node processes, first with `SIGTERM` and after a timeout with `SIGKILL`, and closes the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error that names a node that did not exit after `SIGTERM` and was killed.
    pub async fn close(self) -> Result<(), FleetError> {
        self.probes.iter().for_each(JoinHandle::abort);
        let running: Vec<&Node> = self
            .nodes
            .iter()
            .filter(|node| node.pid().is_some())
            .collect();
        for node in &running {
            // A process stopped by SIGSTOP handles SIGTERM only after it is resumed.
            let _ = node.signal(Signal::SIGCONT);
            let _ = node.signal(Signal::SIGTERM);
        }
        let mut result = Ok(());
        for node in &running {
            let exited = node.wait(self.options.close_timeout).await;
            if let Err(err) = exited {
                let _ = node.signal(Signal::SIGKILL);
                let _ = node.wait(STOP_TIMEOUT).await;
                result = Err(err);
            }
        }
        for engine in self
            .engines
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner)
        {
            engine.server.close().await;
        }
        for plain in self
            .plain
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner)
        {
            plain.server.close().await;
        }
        self.hosts.close().await;
        self.log.close().await;
        self.proxy.close().await;
        result
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
