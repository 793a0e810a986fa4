//! Computes the view: the host list without the nodes that gossip doesn't report as live, and without the nodes and
//! backend servers that this node can't reach.

use super::Node;
use super::View;
use super::shared::Shared;
use super::shared::State;
use std::time::Duration;
use std::time::Instant;

/// Time without a connection after which a peer of the same data centre is suspected.
pub(super) const SUSPECT_GRACE: Duration = Duration::from_millis(300);
/// Time without a connection after which this node removes a node from its own view.
const UNREACHABLE_GRACE: Duration = Duration::from_millis(700);

/// Computes the view at the time `now` from the host list `listed`.
pub(super) fn view(shared: &Shared, listed: &View, now: Instant) -> View {
    let own = &shared.node;
    let state = shared.state();
    let is_own = |node: &Node| node.name == own.name;
    let is_reachable = |node: &Node| {
        let is_near = node.data_centre == own.data_centre;
        is_own(node)
            || state.reachability.is_reachable(
                &node.name,
                &node.data_centre,
                is_near,
                UNREACHABLE_GRACE,
                now,
            )
    };
    let live: Vec<Node> = listed
        .nodes()
        .iter()
        .filter_map(|node| with_incarnation(&state, node))
        .collect();
    let mut used: Vec<Node> = live.iter().filter(|n| is_reachable(n)).cloned().collect();
    if used.is_empty() {
        // No node is usable. This node then keeps itself in its view even if it is leaving or another process has
        // taken its name, so that it can finish its work.
        let own_node = listed.node(&own.name).cloned();
        used.extend(own_node.map(|own_node| Node {
            incarnation: state.table.own_record().incarnation,
            ..own_node
        }));
    }
    let used = without_reused_addresses(used);
    let has_used = |centre: &str| used.iter().any(|n| n.data_centre == centre);
    // Another data centre is unreachable if gossip reports nodes there as live, but none of them can be used.
    let is_unreachable = |centre: &str| {
        centre != own.data_centre
            && !has_used(centre)
            && live.iter().any(|n| n.data_centre == centre)
    };
    listed.restricted(used.clone(), is_unreachable)
}

/// Returns a listed node with its incarnation, or `None` if gossip doesn't report it as live.
fn with_incarnation(state: &State, node: &Node) -> Option<Node> {
    let record = state.table.get(&node.name).filter(|r| r.is_live())?;
    Some(Node {
        incarnation: record.incarnation,
        ..node.clone()
    })
}

/// Removes each node whose address is also that of a node with a higher incarnation, since a process that started later
/// has taken over the address. If the incarnations are equal, the node with the higher name stays.
fn without_reused_addresses(nodes: Vec<Node>) -> Vec<Node> {
    let is_replaced = |node: &Node| {
        let newer = |other: &Node| {
            other.address == node.address
                && (other.incarnation, &other.name) > (node.incarnation, &node.name)
        };
        nodes.iter().any(newer)
    };
    let kept = nodes.iter().filter(|node| !is_replaced(node));
    kept.cloned().collect()
}
