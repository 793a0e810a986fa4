//! The directory of nodes that callers use in place of the platform's load balancer. It knows which nodes are ready and
//! which are stopping.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use http_body_util::BodyExt;
use rand::RngExt;
use rand::rngs::StdRng;

use super::client::Client;

/// Interval between two probes of a node's `/ready`.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for a response of a node's operations port.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A node in the directory.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    /// Name of the node.
    pub name: String,
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Address of the operations port, which serves `/ready` and `/metrics`.
    pub operations_address: SocketAddr,
    /// Whether the last probe of `/ready` returned 200.
    pub ready: bool,
    /// Whether the node was asked to stop gracefully and has not been restarted since.
    pub stopping: bool,
}

/// The nodes of a fleet, as the platform's load balancer knows them.
#[derive(Debug, Default)]
pub struct Directory {
    nodes: Mutex<Vec<NodeEntry>>,
}

impl Directory {
    /// Creates a directory of `nodes`.
    pub fn new(nodes: Vec<NodeEntry>) -> Arc<Directory> {
        let directory = Directory {
            nodes: Mutex::new(nodes),
        };
        Arc::new(directory)
    }

    /// Returns all nodes, in the order in which they were created.
    pub fn nodes(&self) -> Vec<NodeEntry> {
        self.nodes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns a random ready node, or a random node if none is ready.
    pub fn pick(&self, rng: &mut StdRng) -> NodeEntry {
        let nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        let ready: Vec<&NodeEntry> = nodes.iter().filter(|node| node.ready).collect();
        if ready.is_empty() {
            return nodes[rng.random_range(0..nodes.len())].clone();
        }
        ready[rng.random_range(0..ready.len())].clone()
    }

    /// Returns the node with the given name.
    pub fn find(&self, name: &str) -> Option<NodeEntry> {
        self.nodes().into_iter().find(|node| node.name == name)
    }

    /// Returns whether the node was asked to stop gracefully.
    pub fn is_stopping(&self, name: &str) -> bool {
        self.nodes()
            .iter()
            .any(|node| node.name == name && node.stopping)
    }

    /// Records whether the node is ready.
    pub fn set_ready(&self, name: &str, ready: bool) {
        self.update(name, |node| node.ready = ready);
    }

    /// Records whether the node is stopping gracefully.
    pub fn set_stopping(&self, name: &str, stopping: bool) {
        self.update(name, |node| node.stopping = stopping);
    }

    /// Probes `/ready` of one node without end and records the result, as the platform's load balancer does.
    pub async fn probe(self: Arc<Directory>, node: NodeEntry) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let ready = probe_once(node.operations_address).await;
            self.set_ready(&node.name, ready);
        }
    }

    fn update(&self, name: &str, change: impl FnOnce(&mut NodeEntry)) {
        let mut nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(node) = nodes.iter_mut().find(|node| node.name == name) {
            change(node);
        }
    }
}

/// Sends one probe and returns whether the node is ready.
pub async fn probe_once(operations_address: SocketAddr) -> bool {
    get_text(operations_address, "/ready").await.is_some()
}

/// Returns the text of a page of a node's operations port, or `None` if the request fails, takes too long or does not
/// return 200.
pub async fn get_text(address: SocketAddr, path: &str) -> Option<String> {
    let page = async {
        let answer = Client::new().get(address, path).await.ok()?;
        if answer.status() != hyper::StatusCode::OK {
            return None;
        }
        let body = answer.into_body().collect().await.ok()?;
        String::from_utf8(body.to_bytes().to_vec()).ok()
    };
    tokio::time::timeout(PROBE_TIMEOUT, page)
        .await
        .ok()
        .flatten()
}
