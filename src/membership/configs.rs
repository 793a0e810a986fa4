//! Which configuration each node has in force, as far as this node hears of it directly.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Configuration in force at one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeConfig {
    /// Name of the node.
    pub node: String,
    /// Offset of the newest record that it applied.
    pub version: u64,
    /// Hash of the whole state.
    pub hash: u64,
}

/// Configuration in force at this node and at those that it exchanges messages with.
#[derive(Debug)]
pub struct NodeConfigTable {
    node: String,
    // Sorted by node.
    configs: Mutex<Vec<NodeConfig>>,
}

impl NodeConfigTable {
    /// Makes an empty board for the node named `node`.
    pub fn new(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            configs: Mutex::default(),
        }
    }

    /// Sets what this node has in force; its next messages carry it.
    pub fn publish(&self, version: u64, hash: u64) {
        self.insert(NodeConfig {
            node: self.node.clone(),
            version,
            hash,
        });
    }

    /// Gives what a node has in force, if it was heard of.
    pub fn get(&self, node: &str) -> Option<NodeConfig> {
        let configs = self.lock();
        let found = find(&configs, node).ok();
        found.map(|i| configs[i].clone())
    }

    /// Lists what all nodes that were heard of have in force, sorted by node.
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
