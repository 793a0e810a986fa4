//! Selects the few nodes that do a task on behalf of all, by rendezvous hashing over the live nodes.
//!
//! Nodes whose views differ for a while may select different nodes. A task done twice is harmless. A task that no node
//! does becomes overdue, which other nodes detect.

use crate::membership::Node;
use crate::membership::View;
use crate::routing::rendezvous;
use std::cmp::Reverse;

/// Hash key for selecting the nodes that tail the log.
const RELAY_KEY: &str = "config-relay";
/// Hash key for selecting the nodes that write snapshots.
const SNAPSHOT_KEY: &str = "config-snapshot";

/// Returns the relays of `data_centre`: up to `count` nodes that tail the log so that the other nodes can read from
/// them.
pub(super) fn relays(view: &View, data_centre: &str, count: usize) -> Vec<Node> {
    let local = view.nodes().iter();
    let local = local.filter(|node| node.data_centre == data_centre);
    let mut nodes = ranked(local, RELAY_KEY);
    nodes.truncate(count);
    nodes
}

/// Returns the rank of node `name` for writing snapshots, 0 for the first, or `None` if the node is not in `view`.
pub(super) fn snapshot_rank(view: &View, name: &str) -> Option<usize> {
    let nodes = ranked(view.nodes().iter(), SNAPSHOT_KEY);
    nodes.iter().position(|node| node.name == name)
}

/// Returns the nodes from which node `name` may request configuration: up to `count` of each data centre, those of
/// `data_centre` first. Ranking by `name` spreads the requests of different nodes.
pub(super) fn neighbours(view: &View, name: &str, data_centre: &str, count: usize) -> Vec<Node> {
    let others = view.nodes().iter().filter(|node| node.name != name);
    let mut chosen: Vec<Node> = Vec::new();
    for node in ranked(others, name) {
        let same_centre = chosen
            .iter()
            .filter(|other| other.data_centre == node.data_centre);
        if same_centre.count() < count {
            chosen.push(node);
        }
    }
    chosen.sort_by_key(|node| node.data_centre != data_centre);
    chosen
}

/// Returns `nodes` sorted by their rendezvous score for `key`, highest first.
pub(super) fn ranked<'a>(nodes: impl Iterator<Item = &'a Node>, key: &str) -> Vec<Node> {
    let mut nodes: Vec<Node> = nodes.cloned().collect();
    nodes.sort_by_key(|node| Reverse(rendezvous::score(key, &node.name)));
    nodes
}
