//! Which gateway reads the store for a data centre and adds up its loads.
//!
//! Load pattern: as many nodes as there are ask the store at once, above all after they all started together. One relay
//! in each data centre reads for all. It sends a whole configuration to each other node at every change, so a host with a
//! wide link is preferred; among equals the node that has run longest, so that restarts don't move the part. A node that
//! the store turns away while it serves others asks those, wherever they are.

use super::hash::hash;
use crate::peers::NodeEntry;
use std::cmp::Reverse;

fn preference(node: &NodeEntry) -> (Reverse<u64>, u64) {
    (Reverse(node.link_mbps), node.born_ms)
}

/// Gives the nodes of `data_centre` in the order in which they are its relay.
pub fn relay_order<'a>(nodes: &'a [NodeEntry], data_centre: &str) -> Vec<&'a NodeEntry> {
    let mut relays: Vec<&NodeEntry> = nodes
        .iter()
        .filter(|node| node.data_centre == data_centre)
        .collect();
    relays.sort_by(|a, b| (preference(a), &a.name).cmp(&(preference(b), &b.name)));
    relays
}

/// Gives the nodes that `own` asks, in order: those that are the relay before it, and where its own reads of the store
/// fail, all others as well, near ones first.
pub fn sync_sources<'a>(
    nodes: &'a [NodeEntry],
    own: &NodeEntry,
    is_disconnected: bool,
) -> Vec<&'a NodeEntry> {
    let near = relay_order(nodes, &own.data_centre);
    let is_other = |node: &&NodeEntry| node.name != own.name;
    if !is_disconnected {
        return near.into_iter().take_while(is_other).collect();
    }
    let mut far: Vec<&NodeEntry> = nodes
        .iter()
        .filter(|node| node.data_centre != own.data_centre)
        .collect();
    // Spread by the pair of names, so that the nodes of a data centre that is turned away don't all ask the same one.
    far.sort_by_key(|node| {
        (
            preference(node).0,
            hash(&[own.name.as_bytes(), node.name.as_bytes()]),
        )
    });
    near.into_iter().filter(is_other).chain(far).collect()
}
