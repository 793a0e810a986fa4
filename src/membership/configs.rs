//! The configuration version that each node has in force, as received in messages from that node itself.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// The configuration version that one node has in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeConfig {
    /// Name of the node.
    pub node: String,
    /// Offset of the newest configuration record that the node has applied.
    pub version: u64,
    /// Hash of the node's whole configuration state.
    pub hash: u64,
}

/// The configuration versions in force at this node and at the nodes that it exchanges messages with.
#[derive(Debug)]
pub struct NodeConfigTable {
    node: String,
    // Sorted by node.
    configs: Mutex<Vec<NodeConfig>>,
}

impl NodeConfigTable {
    /// Creates an empty table for the node named `node`.
    pub fn new(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            configs: Mutex::default(),
        }
    }

    /// Sets the version that this node has in force; the next messages to other nodes contain it.
    pub fn publish(&self, version: u64, hash: u64) {
        self.insert(NodeConfig {
            node: self.node.clone(),
            version,
            hash,
        });
    }

    /// Returns the entry of a node, if one is known.
    pub fn get(&self, node: &str) -> Option<NodeConfig> {
        let configs = self.lock();
        let found = find(&configs, node).ok();
        found.map(|i| configs[i].clone())
    }

    /// Returns the entries of all known nodes, sorted by name.
    pub fn all(&self) -> Vec<NodeConfig> {
        self.lock().clone()
    }

    pub(super) fn own(&self) -> Option<NodeConfig> {
        self.get(&self.node)
    }

    pub(super) fn insert(&self, config: NodeConfig) {
        let mut configs = self.lock();
        match find(&configs, &config.node) {
            Ok(i) => configs[i] = config,
            Err(i) => configs.insert(i, config),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<NodeConfig>> {
        self.configs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find(configs: &[NodeConfig], node: &str) -> Result<usize, usize> {
    configs.binary_search_by(|config| config.node.as_str().cmp(node))
}
