//! Decides which gateway reads the store for its data centre and adds up the loads of its servers.
//!
//! Load pattern: without relays, all nodes query the store at the same time, above all after they all started
//! together. Instead, one relay in each data centre serves all nodes there, and the first of the relays reads for all. A
//! relay sends the whole configuration to each of its nodes at every change, so a host with a fast link is preferred. Among equals the node that has run longest
//! is the relay, so that a restart does not move the role. A node that the store refuses while it serves others asks
//! those others, in any data centre.

use super::hash::hash;
use crate::peers::NodeEntry;
use std::cmp::Reverse;
use std::time::Duration;

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

/// Returns the node that reads the store for all data centres: the first in the relay order of `nodes`, which are those
/// that count as reachable. It is the relay of its data centre; the other relays get what it reads with the loads.
///
/// Load pattern: the store takes a limited number of calls from all nodes, and in calm hours the reads of the relays are
/// most of them; they would grow with the data centres.
pub fn store_reader(nodes: &[NodeEntry]) -> Option<&NodeEntry> {
    let key = |node: &&NodeEntry| (preference(node), node.name.clone());
    nodes.iter().min_by_key(key)
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

/// Number of other gateways of its data centre to which a gateway sends the records of its streams at once.
const NEAR_HOLDERS: usize = 2;

/// Returns the other nodes of `own`'s data centre to which it sends the records of its streams, the first in the relay order. A record
/// that is at two nodes is found also while one of them stands still.
pub fn near_holders<'a>(nodes: &'a [NodeEntry], own: &NodeEntry) -> Vec<&'a NodeEntry> {
    let near = relay_order(nodes, &own.data_centre).into_iter();
    let others = near.filter(|node| node.name != own.name);
    others.take(NEAR_HOLDERS).collect()
}

/// Returns the nodes that may have records of streams which began elsewhere: of each other data centre the first three in the relay
/// order, to which the nodes there send theirs, and those that may be taken for the relay of `own`'s.
pub fn stream_holders<'a>(nodes: &'a [NodeEntry], own: &NodeEntry) -> Vec<&'a NodeEntry> {
    let mut centres: Vec<&str> = nodes.iter().map(|node| node.data_centre.as_str()).collect();
    centres.sort_unstable();
    centres.dedup();
    let far = centres.into_iter().filter(|name| *name != own.data_centre);
    // One of the first may have begun the stream and be gone, so that the next one has its record.
    let far = far.flat_map(|name| relay_order(nodes, name).into_iter().take(NEAR_HOLDERS + 1));
    far.chain(relay_candidates(nodes, own)).collect()
}

/// Time for which a node asks one that does not know its role yet: several round trips of nodes that all start.
const MAX_UNDECIDED_TIME: Duration = Duration::from_millis(250);

/// What the node that a node syncs from, its source, does in its data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SourceRole<'a> {
    /// It is the relay.
    Relay,
    /// It is served by another node.
    Member {
        /// Name of that node.
        of: &'a str,
    },
    /// It has just started.
    Undecided {
        /// Name of the node that it asks, if it asks one.
        asks: Option<&'a str>,
    },
}

/// What a node does after a response of its source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SourceStep {
    /// It goes on asking its source.
    Stay,
    /// It acts as the relay.
    BecomeRelay,
    /// It syncs from this node instead.
    SwitchTo(NodeEntry),
}

/// Decides what `own` does after a response of `source`.
///
/// Load pattern: all nodes of a data centre start in the same moment, and know each other by entries from before. Each
/// takes another one for the oldest, which it is no more; two of them ask each other, and the rest ask one of the two.
///
/// Two nodes that ask each other learn each other's new entries, and the first of them becomes the relay. If more ask each
/// other in a circle, or the last one of a row asks nobody, then those become relays after a quarter of a second that come
/// before the node that they ask; a relay that finds one before it syncs from that one at once.
///
/// `nodes` are those that count as reachable, and `waited` is the time for which `source` has been asked.
pub fn source_step(
    nodes: &[NodeEntry],
    own: &NodeEntry,
    source: &NodeEntry,
    role: &SourceRole<'_>,
    waited: Duration,
) -> SourceStep {
    let order = relay_order(nodes, &own.data_centre);
    let rank = |name: &str| order.iter().position(|node| node.name == name);
    let is_before_source = rank(&own.name) < rank(&source.name);
    match *role {
        SourceRole::Member { of } | SourceRole::Undecided { asks: Some(of) } if of == own.name => {
            if is_before_source {
                SourceStep::BecomeRelay
            } else {
                SourceStep::Stay
            }
        }
        SourceRole::Member { of } => match rank(of) {
            Some(index) => SourceStep::SwitchTo(order[index].clone()),
            None => SourceStep::Stay,
        },
        SourceRole::Undecided { .. } if is_before_source && waited > MAX_UNDECIDED_TIME => {
            SourceStep::BecomeRelay
        }
        SourceRole::Undecided { .. } | SourceRole::Relay => SourceStep::Stay,
    }
}

/// Number of nodes of a data centre that those which start ask first.
const MAX_ASKED_FIRST: usize = 3;

/// Returns whether the node called `name` is one of those of `data_centre` that nodes ask first when all start in the same
/// moment. `listed` are the entries of the directory, from before the start.
///
/// Load pattern: all nodes are killed and start again under load. Callers are refused until their node has a configuration,
/// so those that are asked read it at once, without waiting until they know which of them is the relay.
pub fn is_asked_first(listed: &[NodeEntry], data_centre: &str, name: &str) -> bool {
    let order = relay_order(listed, data_centre).into_iter();
    let mut first = order.take(MAX_ASKED_FIRST);
    first.any(|node| node.name == name)
}

/// Which nodes a node may sync from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SourceScope {
    /// Those of its data centre that come before it in the relay order.
    Preceding,
    /// All others of its data centre. A node that has just started asks them, since one of them may be the relay although
    /// it comes later; the role moves when the new node has its data and is known.
    DataCentre,
    /// All others, for a node whose own reads of the store fail.
    All,
}

/// Returns the nodes that `own` sends its sync requests to, in order: those of its data centre in the relay order, then
/// the others.
pub fn sync_sources<'a>(
    nodes: &'a [NodeEntry],
    own: &NodeEntry,
    scope: SourceScope,
) -> Vec<&'a NodeEntry> {
    let near = relay_order(nodes, &own.data_centre);
    let is_other = |node: &&NodeEntry| node.name != own.name;
    match scope {
        SourceScope::Preceding => return near.into_iter().take_while(is_other).collect(),
        SourceScope::DataCentre => return near.into_iter().filter(is_other).collect(),
        SourceScope::All => {}
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
