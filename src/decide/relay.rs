//! Which gateway reads the store for a data centre and adds up its loads.
//!
//! Load pattern: as many nodes as there are ask the store at once, above all after they all started together. One relay
//! in each data centre reads for all. The node that has run longest is preferred, so that restarts don't move the part.

use crate::peers::NodeEntry;

/// Gives the nodes of `data_centre` in the order in which they are its relay.
pub fn relays<'a>(nodes: &'a [NodeEntry], data_centre: &str) -> Vec<&'a NodeEntry> {
    let mut relays: Vec<&NodeEntry> = nodes
        .iter()
        .filter(|node| node.data_centre == data_centre)
        .collect();
    relays.sort_by(|a, b| (a.born_ms, &a.name).cmp(&(b.born_ms, &b.name)));
    relays
}
