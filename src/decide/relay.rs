//! Which gateway reads the store for a data centre and adds up its loads.
//!
//! Load pattern: as many nodes as there are ask the store at once, above all after they all started together. One relay
//! in each data centre reads for all. It sends a whole configuration to each other node at every change, so a host with a
//! wide link is preferred; among equals the node that has run longest, so that restarts don't move the part.

use crate::peers::NodeEntry;
use std::cmp::Reverse;

/// Gives the nodes of `data_centre` in the order in which they are its relay.
pub fn relays<'a>(nodes: &'a [NodeEntry], data_centre: &str) -> Vec<&'a NodeEntry> {
    let mut relays: Vec<&NodeEntry> = nodes
        .iter()
        .filter(|node| node.data_centre == data_centre)
        .collect();
    let rank = |node: &NodeEntry| (Reverse(node.link_mbps), node.born_ms);
    relays.sort_by(|a, b| (rank(a), &a.name).cmp(&(rank(b), &b.name)));
    relays
}
