//! A whole fleet on loopback: the stand-ins of the platform and of the backend servers, the fault proxy on every link
//! between processes, and real node processes.
//!
//! Callers connect to the nodes directly, as they do through the platform's balancer; all other links go through the
//! proxy. Data centres, nodes and platform services are known to the proxy by name, so that cases can cut them off.

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
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use tokio::task::JoinHandle;

pub use self::error::FleetError;
use self::error::io_error;
use self::node::Node;
use self::nodes::plan_nodes;
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

/// Name that callers and the bench itself have in the proxy.
pub const CALLER: &str = "caller";
/// Name of the log service in the proxy.
pub const LOG: &str = "log";
/// Name of the host list in the proxy.
pub const HOST_LIST: &str = "hosts";
/// Zone of the platform's services in the proxy.
pub const PLATFORM_ZONE: &str = "platform";
/// Stream that carries the configuration.
pub const CONFIG_STREAM: &str = "config";
/// Region of all data centres.
const REGION: &str = "region1";
/// Longest wait until a node is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a node's graceful end.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// A backend server and its entry in the host list.
struct Backend<T> {
    name: String,
    direct_address: SocketAddr,
    host: Host,
    server: T,
}

/// An engine that joined or left, for the replay of a run.
#[derive(Clone, Debug)]
pub struct EngineChange {
    /// When it did.
    pub at: Instant,
    /// Name of the engine.
    pub engine: String,
    /// Whether it takes new work from then on.
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
    /// Starts everything and waits until all nodes are ready.
    ///
    /// # Errors
    ///
    /// Names what could not be started; all that was started before is stopped again.
    pub async fn start(options: FleetOptions) -> Result<Fleet, FleetError> {
        let run = format!("{}-{}-{}", options.case, options.seed, std::process::id());
        let out = options.out.join(run);
        std::fs::create_dir_all(&out).map_err(io_error(format!("folder {}", out.display())))?;

        let proxy = Proxy::new();
        proxy.name_source(IpAddr::V4(Ipv4Addr::LOCALHOST), CALLER, CALLER);
        let log_options = LogOptions::default();
        let log = LogService::start(any_port(), log_options)
            .await
            .map_err(io_error("the log service"))?;
        let hosts = HostListService::start(any_port(), options.host_list_lag).await;
        let hosts = hosts.map_err(io_error("the host list"))?;

        let teams = options.team_keys();
        log.append(CONFIG_STREAM, &options.config_record(&teams));
        let nodes = plan_nodes(&options, &proxy, &log, &hosts, &out).await?;
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

    /// Options that the fleet was started with.
    pub fn options(&self) -> &FleetOptions {
        &self.options
    }

    /// Folder of the nodes' settings and logs.
    pub fn out(&self) -> &Path {
        &self.out
    }

    /// Records of what really ran.
    pub fn truth(&self) -> &Arc<Truth> {
        &self.truth
    }

    /// The fault proxy.
    pub fn proxy(&self) -> &Arc<Proxy> {
        &self.proxy
    }

    /// The log service.
    pub fn log(&self) -> &LogService {
        &self.log
    }

    /// The host list.
    pub fn hosts(&self) -> &HostListService {
        &self.hosts
    }

    /// The nodes as callers see them.
    pub fn directory(&self) -> &Arc<Directory> {
        &self.directory
    }

    /// The teams and their bearer keys.
    pub fn teams(&self) -> &[TeamKey] {
        &self.teams
    }

    /// Names of all nodes.
    pub fn node_names(&self) -> Vec<String> {
        self.nodes.iter().map(|node| node.name.clone()).collect()
    }

    /// Names of the engines that run.
    pub fn engine_names(&self) -> Vec<String> {
        lock(&self.engines)
            .iter()
            .map(|engine| engine.name.clone())
            .collect()
    }

    /// All engines that joined or left, in their order.
    pub fn engine_changes(&self) -> Vec<EngineChange> {
        lock(&self.engine_changes).clone()
    }

    /// Names of the plain servers that run.
    pub fn plain_names(&self) -> Vec<String> {
        lock(&self.plain)
            .iter()
            .map(|plain| plain.name.clone())
            .collect()
    }

    /// Addresses of the engines as nodes reach them, through the proxy.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        lock(&self.engines)
            .iter()
            .filter_map(|engine| engine.host.address.parse().ok())
            .collect()
    }

    /// Address of a host's own listener, past the proxy.
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

    /// Does something with a running engine.
    pub fn with_engine<T>(&self, name: &str, f: impl FnOnce(&Engine) -> T) -> Option<T> {
        let engines = lock(&self.engines);
        engines
            .iter()
            .find(|engine| engine.name == name)
            .map(|engine| f(&engine.server))
    }

    /// Does something with a running plain server.
    pub fn with_plain<T>(&self, name: &str, f: impl FnOnce(&Plain) -> T) -> Option<T> {
        let plain = lock(&self.plain);
        plain
            .iter()
            .find(|plain| plain.name == name)
            .map(|plain| f(&plain.server))
    }

    /// Use of the processor and memory, and control traffic, of each node that runs.
    pub async fn stats(&self) -> Vec<NodeStats> {
        let mut stats = Vec::new();
        for node in &self.nodes {
            if let Some(pid) = node.pid() {
                stats.extend(stats::read(&node.name, pid, node.operations_address).await);
            }
        }
        stats
    }

    /// Ends all processes by their ids, gracefully at first, and closes the stand-ins.
    ///
    /// # Errors
    ///
    /// Names a node that did not end gracefully; it has been killed then.
    pub async fn close(self) -> Result<(), FleetError> {
        self.probes.iter().for_each(JoinHandle::abort);
        let running: Vec<&Node> = self
            .nodes
            .iter()
            .filter(|node| node.pid().is_some())
            .collect();
        for node in &running {
            // A paused process would not see the end.
            let _ = node.signal(Signal::SIGCONT);
            let _ = node.signal(Signal::SIGTERM);
        }
        let mut result = Ok(());
        for node in &running {
            let ended = node.wait(self.options.close_timeout).await;
            if let Err(err) = ended {
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
