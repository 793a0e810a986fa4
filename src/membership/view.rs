//! A view of the hosts: nodes and backend servers, in sorted vectors.

use crate::border::generated::platform::Host;
use crate::border::generated::platform::HostRole;
use crate::border::generated::platform::HostState;
use crate::routing::rendezvous;
use std::net::SocketAddr;

/// A node, as others see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// Name in the host list.
    pub name: String,
    /// Data centre of its host.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// Where other nodes connect.
    pub address: SocketAddr,
    /// Incarnation of its process, 0 where it has not been heard of.
    pub incarnation: u64,
}

/// A backend server: an engine or a plain service's server.
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
    /// Where it serves.
    pub address: SocketAddr,
    /// Whether it is a model engine.
    pub is_engine: bool,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// What a node knows of the hosts at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    nodes: Vec<Node>,
    backends: Vec<Backend>,
}

impl View {
    /// Makes a view from the platform's list; a host whose address can't be read is left out.
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

    /// Gives what is left of the view with other nodes, and without the backend servers of data centres that
    /// `is_unreachable` names where their service has others.
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

    /// Lists the live nodes, sorted by name.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// Lists all backend servers, sorted by service and name.
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// Lists the backend servers of one service, sorted by name.
    pub fn of_service(&self, service: &str) -> &[Backend] {
        let start = self
            .backends
            .partition_point(|b| b.service.as_str() < service);
        let end = self
            .backends
            .partition_point(|b| b.service.as_str() <= service);
        &self.backends[start..end]
    }

    /// Finds a backend server by service and name.
    pub fn backend(&self, service: &str, name: &str) -> Option<&Backend> {
        let group = self.of_service(service);
        let found = group.binary_search_by(|b| b.name.as_str().cmp(name));
        found.ok().map(|i| &group[i])
    }

    /// Finds a node by its name.
    pub fn node(&self, name: &str) -> Option<&Node> {
        let found = self.nodes.binary_search_by(|n| n.name.as_str().cmp(name));
        found.ok().map(|i| &self.nodes[i])
    }

    /// Gives the node that owns `backend`: the first by rendezvous rank over the live nodes of its data centre, or
    /// over all live nodes where that data centre has none.
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
