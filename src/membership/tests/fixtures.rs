//! Test nodes that exchange messages over real sockets, without callers and backend servers.

use crate::border::generated::platform::Host;
use crate::border::generated::platform::HostList;
use crate::border::generated::platform::HostRole;
use crate::border::generated::platform::HostState;
use crate::membership::Acceptor;
use crate::membership::HostDirectory;
use crate::membership::Members;
use crate::membership::Settings;
use crate::net::Body;
use crate::net::Handler;
use crate::net::Listener;
use crate::net::Protocol;
use crate::operations::Metrics;
use crate::operations::Readiness;
use crate::settings::DeploymentKey;
use crate::settings::NodeSettings;
use crate::timeline::Timeline;
use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for a condition that has to become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the deployment key whose 64 hexadecimal digits are all `digit`.
pub fn key(digit: char) -> DeploymentKey {
    digit.to_string().repeat(64).parse().unwrap()
}

pub fn settings() -> Settings {
    Settings {
        ping: Duration::from_secs(1),
        heartbeat: Duration::from_millis(100),
        dead_after: Duration::from_millis(300),
        load_interval: Duration::from_millis(50),
        near_peers: 6,
        far_peers: 2,
        max_connects: 4,
    }
}

pub fn node_settings(name: &str, address: SocketAddr, key: DeploymentKey) -> NodeSettings {
    NodeSettings {
        name: name.to_owned(),
        data_centre: "gavle".to_owned(),
        region: "north".to_owned(),
        caller_address: address,
        peer_address: address,
        operations_address: address,
        source_ip: None,
        worker_threads: 1,
        key,
    }
}

struct AcceptHandler(Acceptor);

#[async_trait]
impl Handler for AcceptHandler {
    async fn handle(&self, req: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        self.0.accept(req, peer)
    }
}

/// The membership of a node, with the listener on its peer address.
pub struct TestNode {
    pub name: String,
    pub address: SocketAddr,
    pub members: Members,
    pub metrics: Arc<Metrics>,
    pub readiness: Readiness,
    listener: Listener,
}

impl TestNode {
    pub async fn start(
        name: &str,
        address: SocketAddr,
        key: DeploymentKey,
        hosts: &Arc<HostDirectory>,
    ) -> Self {
        let metrics = Arc::new(Metrics::new());
        let readiness = Readiness::with_unmet(&[crate::membership::READY_GOSSIP]);
        let members = Members::start(
            &settings(),
            &node_settings(name, address, key),
            Arc::clone(hosts),
            readiness.clone(),
            Arc::clone(&metrics),
            Arc::new(Timeline::silent()),
        );
        let handler = Arc::new(AcceptHandler(members.acceptor()));
        let listener = Listener::start(address, Protocol::Http1And2, handler)
            .await
            .unwrap();
        Self {
            name: name.to_owned(),
            address,
            members,
            metrics,
            readiness,
            listener,
        }
    }

    /// Stops without announcing it, as a killed process does. Connections in both directions break.
    pub async fn kill(self) {
        self.members.close();
        self.listener.close(Duration::ZERO).await;
    }

    pub fn viewed_nodes(&self) -> Vec<String> {
        let view = self.members.membership().view();
        view.nodes().iter().map(|node| node.name.clone()).collect()
    }

    pub async fn wait_for_view(&self, names: &[&str]) {
        wait(|| self.viewed_nodes() == names).await;
    }

    pub fn refusals(&self, reason: &str) -> u64 {
        let text = String::from_utf8(self.metrics.render()).unwrap();
        let start = format!("currantbend_membership_refused_total{{reason=\"{reason}\"}} ");
        let value = text.lines().find_map(|line| line.strip_prefix(&start));
        value.unwrap().parse().unwrap()
    }
}

/// Waits until `condition` returns `true`. Panics after [`WAIT_TIMEOUT`].
pub async fn wait(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting).await.unwrap();
}

/// Returns a free local address.
pub fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Creates a directory with a host list of nodes of one data centre.
pub fn directory(nodes: &[(&str, SocketAddr)]) -> Arc<HostDirectory> {
    let directory = HostDirectory::new();
    directory.replace(list(1, nodes));
    directory
}

/// Creates a host list of nodes of one data centre.
pub fn list(version: u64, nodes: &[(&str, SocketAddr)]) -> HostList {
    let host = |(name, address): &(&str, SocketAddr)| Host {
        name: (*name).to_owned(),
        address: address.to_string(),
        data_centre: "gavle".to_owned(),
        region: "north".to_owned(),
        role: HostRole::Entry,
        state: HostState::Live,
        service: None,
        checks_fencing: None,
    };
    HostList {
        version,
        hosts: nodes.iter().map(host).collect(),
    }
}
