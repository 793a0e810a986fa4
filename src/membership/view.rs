//! A view of the hosts: sorted lists of nodes and backend servers.

use crate::border::generated::platform::Host;
use crate::border::generated::platform::HostRole;
use crate::border::generated::platform::HostState;
use crate::routing::rendezvous;
use std::net::SocketAddr;

/// A node, with the data that other nodes need to reach it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// Name in the host list.
    pub name: String,
    /// Data centre of its host.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// Address to which other nodes connect.
    pub address: SocketAddr,
    /// Incarnation of its process, or 0 in a view that comes from the host list alone.
    pub incarnation: u64,
}

/// A backend server: a model engine or a server of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Name in the host list.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Data centre of its host.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// Address on which it serves requests.
    pub address: SocketAddr,
    /// Whether it is a model engine.
    pub is_engine: bool,
    /// Whether the host list marks it as leaving, in which case it gets no new work.
    pub leaving: bool,
    /// Whether it rejects orders that carry an outdated fencing number.
    pub checks_fencing: bool,
}

/// The nodes and backend servers that a node knows, at one point in time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    nodes: Vec<Node>,
    backends: Vec<Backend>,
}

impl View {
    /// Creates a view from the hosts of the platform's host list. Hosts with an invalid address are skipped, and so are
    /// nodes that the list doesn't mark as live.
    pub fn from_hosts(hosts: &[Host]) -> Self {
        let mut nodes = Vec::new();
        let mut backends = Vec::new();
        for host in hosts {
            let Ok(address) = host.address.parse() else {
                continue;
            };
            match host.role {
                HostRole::Entry if host.state == HostState::Live => nodes.push(node(host, address)),
                HostRole::Entry => {}
                HostRole::Engine | HostRole::Service => backends.push(backend(host, address)),
            }
        }
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        backends.sort_by(|a, b| (&a.service, &a.name).cmp(&(&b.service, &b.name)));
        Self { nodes, backends }
    }

    /// Returns a copy with `nodes` as its nodes and without the backend servers of unreachable data centres.
    ///
    /// A service for which that would leave no backend server that takes new work keeps all of them.
    pub(super) fn restricted(
        &self,
        nodes: Vec<Node>,
        is_unreachable: impl Fn(&str) -> bool,
    ) -> Self {
        let same_service = |a: &Backend, b: &Backend| a.service == b.service;
        let mut backends = Vec::new();
        for service in self.backends.chunk_by(same_service) {
            let reached = service.iter().filter(|b| !is_unreachable(&b.data_centre));
            let reached: Vec<Backend> = reached.cloned().collect();
            if reached.iter().any(|b| !b.leaving) {
                backends.extend(reached);
            } else {
                backends.extend_from_slice(service);
            }
        }
        Self { nodes, backends }
    }

    /// Returns the live nodes, sorted by name.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// Returns all backend servers, sorted by service and name.
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// Returns the backend servers of one service, sorted by name.
    pub fn of_service(&self, service: &str) -> &[Backend] {
        let start = self
            .backends
            .partition_point(|b| b.service.as_str() < service);
        let end = self
            .backends
            .partition_point(|b| b.service.as_str() <= service);
        &self.backends[start..end]
    }

    /// Returns the backend server with the given service and name.
    pub fn backend(&self, service: &str, name: &str) -> Option<&Backend> {
        let group = self.of_service(service);
        let found = group.binary_search_by(|b| b.name.as_str().cmp(name));
        found.ok().map(|i| &group[i])
    }

    /// Returns the node with the given name.
    pub fn node(&self, name: &str) -> Option<&Node> {
        let found = self.nodes.binary_search_by(|n| n.name.as_str().cmp(name));
        found.ok().map(|i| &self.nodes[i])
    }

    /// Returns the node that owns `backend`: the one with the highest rendezvous score among the live nodes of the
    /// backend server's data centre, or among all live nodes if that data centre has none.
    pub fn owner(&self, backend: &Backend) -> Option<&Node> {
        let near = self
            .nodes
            .iter()
            .filter(|node| node.data_centre == backend.data_centre);
        first_ranked(near, backend).or_else(|| first_ranked(self.nodes.iter(), backend))
    }
}

fn first_ranked<'a>(nodes: impl Iterator<Item = &'a Node>, backend: &Backend) -> Option<&'a Node> {
    nodes.max_by_key(|node| rendezvous::score(&backend.name, &node.name))
}

fn node(host: &Host, address: SocketAddr) -> Node {
    Node {
        name: host.name.clone(),
        data_centre: host.data_centre.clone(),
        region: host.region.clone(),
        address,
        incarnation: 0,
    }
}

fn backend(host: &Host, address: SocketAddr) -> Backend {
    Backend {
        name: host.name.clone(),
        service: host.service.clone().unwrap_or_default(),
        data_centre: host.data_centre.clone(),
        region: host.region.clone(),
        address,
        is_engine: host.role == HostRole::Engine,
        leaving: host.state == HostState::Leaving,
        checks_fencing: host.checks_fencing.unwrap_or(false),
    }
}
