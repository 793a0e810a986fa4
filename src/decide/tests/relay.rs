//! Many nodes, of which one per data centre reads the store.

use crate::decide::relay_candidates;
use crate::decide::relay_order;
use crate::decide::sync_sources;
use crate::peers::NodeEntry;
use std::net::SocketAddr;

fn node(name: &str, data_centre: &str, start_time_ms: u64, link_mbps: u64) -> NodeEntry {
    NodeEntry {
        name: name.to_owned(),
        data_centre: data_centre.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 7340)),
        start_time_ms,
        link_mbps,
    }
}

fn names<'a>(nodes: &'a [NodeEntry], data_centre: &str) -> Vec<&'a str> {
    let relays = relay_order(nodes, data_centre);
    relays.into_iter().map(|node| node.name.as_str()).collect()
}

#[test]
fn a_restarted_node_does_not_replace_a_longer_running_relay() {
    let before = [
        node("a", "x", 1, 200),
        node("b", "x", 2, 200),
        node("c", "y", 0, 200),
    ];
    let after = [
        node("a", "x", 9, 200),
        node("b", "x", 2, 200),
        node("c", "y", 0, 200),
    ];

    assert_eq!(names(&before, "x"), ["a", "b"]);
    assert_eq!(names(&after, "x"), ["b", "a"]);
}

#[test]
fn a_host_with_a_slow_link_is_relay_only_without_an_alternative() {
    let nodes = [node("narrow", "x", 1, 10), node("wide", "x", 5, 200)];

    assert_eq!(names(&nodes, "x"), ["wide", "narrow"]);
}

#[test]
fn a_node_syncs_from_those_before_it_and_from_all_others_when_disconnected() {
    let nodes = [
        node("a", "x", 1, 200),
        node("b", "x", 2, 200),
        node("c", "x", 3, 200),
        node("d", "y", 0, 200),
        node("narrow", "y", 0, 10),
    ];
    let asked = |own: usize, is_disconnected: bool| -> Vec<&str> {
        let sources = sync_sources(&nodes, &nodes[own], is_disconnected);
        sources.into_iter().map(|node| node.name.as_str()).collect()
    };

    assert!(asked(0, false).is_empty());
    assert_eq!(asked(1, false), ["a"]);
    assert_eq!(asked(0, true), ["b", "c", "d", "narrow"]);
    assert_eq!(asked(1, true), ["a", "c", "d", "narrow"]);
}

#[test]
fn the_first_nodes_of_the_own_data_centre_may_be_taken_for_its_relay() {
    let nodes: Vec<NodeEntry> = (0..9)
        .map(|number| node(&format!("n{number}"), "x", number, 200))
        .chain([node("far", "y", 0, 200)])
        .collect();

    let names = |own: usize| -> Vec<&str> {
        let candidates = relay_candidates(&nodes, &nodes[own]).into_iter();
        candidates.map(|node| node.name.as_str()).collect()
    };

    assert_eq!(names(0), ["n1", "n2", "n3", "n4"]);
    assert_eq!(names(8), ["n0", "n1", "n2", "n3"]);
}
