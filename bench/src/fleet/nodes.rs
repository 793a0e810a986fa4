//! Creates the nodes of a fleet, and kills, stops, pauses and restarts them.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitStatus;
use std::sync::Arc;
use std::sync::Mutex;

use nix::sys::signal::Signal;

use super::Fleet;
use super::FleetError;
use super::FleetOptions;
use super::HOST_LIST;
use super::LOG;
use super::PLATFORM_ZONE;
use super::READY_TIMEOUT;
use super::REGION;
use super::STOP_TIMEOUT;
use super::error::io_error;
use super::error::no_such_host;
use super::node::Node;
use super::ports;
use crate::proxy::Proxy;
use crate::standin::hosts::HostListService;
use crate::standin::log::LogService;
use crate::wire::platform::Host;
use crate::wire::platform::HostRole;
use crate::wire::platform::HostState;

impl Fleet {
    /// Kills a node with `SIGKILL` and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if no node has the name, or if it is not running.
    pub async fn kill_node(&self, name: &str) -> Result<(), FleetError> {
        let node = self.node(name)?;
        node.signal(Signal::SIGKILL)?;
        node.wait(STOP_TIMEOUT).await?;
        self.directory.set_ready(name, false);
        Ok(())
    }

    /// Stops a node gracefully with `SIGTERM`, waits until it has exited, and returns its exit status.
    ///
    /// # Errors
    ///
    /// Returns an error if no node has the name, if it is not running, or if it does not exit in time.
    pub async fn stop_node(&self, name: &str) -> Result<ExitStatus, FleetError> {
        let node = self.node(name)?;
        self.directory.set_stopping(name, true);
        node.signal(Signal::SIGTERM)?;
        let status = node.wait(STOP_TIMEOUT).await?;
        self.directory.set_ready(name, false);
        Ok(status)
    }

    /// Suspends a node's process with `SIGSTOP`, to simulate a paused host.
    ///
    /// # Errors
    ///
    /// Returns an error if no node has the name, or if it is not running.
    pub fn pause_node(&self, name: &str) -> Result<(), FleetError> {
        self.node(name)?.signal(Signal::SIGSTOP)
    }

    /// Resumes a paused node with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Returns an error if no node has the name, or if it is not running.
    pub fn resume_node(&self, name: &str) -> Result<(), FleetError> {
        self.node(name)?.signal(Signal::SIGCONT)
    }

    /// Restarts a node that was killed or stopped, with the same name and addresses, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if no node has the name, if its process cannot be started, or if it does not become ready.
    pub async fn start_node(&self, name: &str) -> Result<(), FleetError> {
        let node = self.node(name)?;
        node.spawn(&self.options.node_binary)?;
        self.directory.set_stopping(name, false);
        self.wait_ready(node).await
    }

    fn node(&self, name: &str) -> Result<&Node, FleetError> {
        self.nodes
            .iter()
            .find(|node| node.name == name)
            .ok_or_else(|| no_such_host(name))
    }

    pub(super) async fn wait_ready(&self, node: &Node) -> Result<(), FleetError> {
        node.wait_ready(READY_TIMEOUT).await?;
        self.directory.set_ready(&node.name, true);
        Ok(())
    }
}

/// Creates the nodes without starting them: selects their ports, opens their proxy links, adds them to the host list
/// and writes their settings files.
pub(super) async fn create_nodes(
    options: &FleetOptions,
    proxy: &Arc<Proxy>,
    log: &LogService,
    hosts: &HostListService,
    out: &Path,
) -> Result<Vec<Node>, FleetError> {
    let log_link = proxy
        .link(LOG, PLATFORM_ZONE, log.address())
        .await
        .map_err(io_error("open the link to the log"))?;
    let hosts_link = proxy.link(HOST_LIST, PLATFORM_ZONE, hosts.address()).await;
    let hosts_link = hosts_link.map_err(io_error("open the link to the host list"))?;
    let mut nodes = Vec::new();
    for data_centre in 1..=options.data_centres {
        for number in 1..=options.nodes_of(data_centre) {
            let zone = format!("dc{data_centre}");
            let source = Ipv4Addr::new(127, 1, data_centre, number);
            let node = Node {
                name: format!("{zone}-n{number}"),
                caller_address: ports::free().map_err(io_error("find a free port"))?,
                peer_address: ports::free().map_err(io_error("find a free port"))?,
                operations_address: ports::free().map_err(io_error("find a free port"))?,
                out: out.to_owned(),
                child: Mutex::default(),
            };
            proxy.name_source(IpAddr::V4(source), &node.name, &zone);
            let link = proxy.link(&node.name, &zone, node.peer_address).await;
            let link = link.map_err(io_error(format!("open the link to {}", node.name)))?;
            hosts.set(entry_host(&node.name, &zone, link));
            node.write_settings(options, &zone, REGION, source, log_link, hosts_link)?;
            nodes.push(node);
        }
    }
    Ok(nodes)
}

fn entry_host(name: &str, zone: &str, address: SocketAddr) -> Host {
    Host {
        name: name.to_owned(),
        address: address.to_string(),
        data_centre: zone.to_owned(),
        region: REGION.to_owned(),
        role: HostRole::Entry,
        state: HostState::Live,
        service: None,
        checks_fencing: None,
    }
}
