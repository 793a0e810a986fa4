//! Lists of gateways that a node takes from the directory.

use super::super::node_list::NodeList;
use super::tunnels::node;
use crate::logs::Logs;

fn names(list: &NodeList) -> Vec<String> {
    let (nodes, _) = list.nodes();
    nodes.into_iter().map(|node| node.name).collect()
}

#[test]
fn a_partial_list_costs_the_gateways_that_it_lacks() {
    let list = NodeList::new(node("n-2", "north"), Logs::silent());
    list.apply(vec![node("n-1", "north"), node("n-2", "north")]);

    list.apply_partial(vec![node("n-3", "south")]);

    assert_eq!(names(&list), ["n-1", "n-2", "n-3"]);
    assert!(list.has_own());
    list.apply(vec![node("n-3", "south")]);
    assert_eq!(names(&list), ["n-2", "n-3"]);
}
