//! Makes the view: what the host list shows, less what gossip says is gone and what can't be reached from here.

use super::Node;
use super::View;
use super::shared::Shared;
use super::shared::State;
use std::time::Duration;
use std::time::Instant;

/// Time without a connection after which a neighbour is suspected.
pub(super) const SUSPECT_GRACE: Duration = Duration::from_millis(300);
/// Time without a connection after which a node is not used from here.
const UNREACHABLE_GRACE: Duration = Duration::from_millis(700);

/// Makes the view of this moment.
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
        // A node that leaves, or whose name was taken, serves on alone where there is no other.
        let own_node = listed.node(&own.name).cloned();
        used.extend(own_node.map(|own_node| Node {
            incarnation: state.table.own_record().incarnation,
            ..own_node
        }));
    }
    let used = without_reused_addresses(used);
    let has_used = |centre: &str| used.iter().any(|n| n.data_centre == centre);
    let is_unreachable = |centre: &str| {
        centre != own.data_centre
            && !has_used(centre)
            && live.iter().any(|n| n.data_centre == centre)
    };
    listed.restricted(used.clone(), is_unreachable)
}

/// Gives a listed node with its incarnation where gossip says that it serves.
fn with_incarnation(state: &State, node: &Node) -> Option<Node> {
    let record = state.table.get(&node.name).filter(|r| r.is_live())?;
    Some(Node {
        incarnation: record.incarnation,
        ..node.clone()
    })
}

/// Leaves out the nodes whose address a later process has.
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
