//! Decides which gateway reads the store for its data centre and adds up the loads of its servers.
//!
//! Load pattern: without relays, all nodes query the store at the same time, above all after they all started
//! together. Instead, one relay in each data centre reads for all nodes there. It sends the whole configuration to
//! each of them at every change, so a host with a fast link is preferred. Among equals the node that has run longest
//! is the relay, so that a restart does not move the role. A node that the store refuses while it serves others asks
//! those others, in any data centre.

use super::hash::hash;
use crate::peers::NodeEntry;
use std::cmp::Reverse;

/// Returns the sort key of the relay order, smallest first: the faster link, then the earlier start.
fn preference(node: &NodeEntry) -> (Reverse<u64>, u64) {
    (Reverse(node.link_mbps), node.start_time_ms)
}

/// Returns the nodes of `data_centre` in the order in which they become its relay.
pub fn relay_order<'a>(nodes: &'a [NodeEntry], data_centre: &str) -> Vec<&'a NodeEntry> {
    let mut relays: Vec<&NodeEntry> = nodes
        .iter()
        .filter(|node| node.data_centre == data_centre)
        .collect();
    relays.sort_by(|a, b| (preference(a), &a.name).cmp(&(preference(b), &b.name)));
    relays
}

/// Number of nodes of a data centre that other nodes there may take for its relay. Views of who is the relay differ for
/// seconds after failures, mostly among the first nodes in the relay order.
const MAX_RELAY_CANDIDATES: usize = 4;

/// Returns the nodes of `own`'s data centre that some node there may take for its relay, in the relay order and without
/// `own`, whatever `own` knows of them.
pub fn relay_candidates<'a>(nodes: &'a [NodeEntry], own: &NodeEntry) -> Vec<&'a NodeEntry> {
    let near = relay_order(nodes, &own.data_centre).into_iter();
    let others = near.filter(|node| node.name != own.name);
    others.take(MAX_RELAY_CANDIDATES).collect()
}

/// Returns the nodes that `own` sends its sync requests to, in order. These are the nodes of its data centre that
/// come before it in the relay order. If `is_disconnected`, that is if its own reads of the store fail, these are all
/// other nodes, those of its own data centre first.
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
    // The hash of both names spreads the requests, so that the nodes of a data centre that the store refuses don't
    // all ask the same node.
    far.sort_by_key(|node| {
        (
            preference(node).0,
            hash(&[own.name.as_bytes(), node.name.as_bytes()]),
        )
    });
    near.into_iter().filter(is_other).chain(far).collect()
}
