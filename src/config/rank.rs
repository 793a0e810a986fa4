//! Duties that few nodes have, by rendezvous rank over the live nodes. Views may disagree for a while: a duty done twice
//! is harmless, and one done by nobody is noticed by its lateness.

use crate::membership::Node;
use crate::membership::View;
use crate::routing::rendezvous;
use std::cmp::Reverse;

/// Key of the rank by which nodes tail the log.
const RELAY_KEY: &str = "config-relay";
/// Key of the rank by which nodes write snapshots.
const SNAPSHOT_KEY: &str = "config-snapshot";

/// Lists the nodes of `data_centre` that tail the log for the others.
pub(super) fn relays(view: &View, data_centre: &str, count: usize) -> Vec<Node> {
    let local = view.nodes().iter();
    let local = local.filter(|node| node.data_centre == data_centre);
    let mut nodes = ranked(local, RELAY_KEY);
    nodes.truncate(count);
    nodes
}

/// Gives the rank of node `name` among those that write snapshots.
pub(super) fn snapshot_rank(view: &View, name: &str) -> Option<usize> {
    let nodes = ranked(view.nodes().iter(), SNAPSHOT_KEY);
    nodes.iter().position(|node| node.name == name)
}

/// Lists nodes that `name` may ask for configuration: the nearest relays first, then some of each other data centre.
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

/// Sorts nodes by their rank for `key`.
pub(super) fn ranked<'a>(nodes: impl Iterator<Item = &'a Node>, key: &str) -> Vec<Node> {
    let mut nodes: Vec<Node> = nodes.cloned().collect();
    nodes.sort_by_key(|node| Reverse(rendezvous::score(key, &node.name)));
    nodes
}
