//! Many nodes, of which one per data centre reads the store.

use crate::decide::SourceRole;
use crate::decide::SourceScope;
use crate::decide::SourceStep;
use crate::decide::is_asked_first;
use crate::decide::relay_candidates;
use crate::decide::relay_order;
use crate::decide::source_step;
use crate::decide::store_reader;
use crate::decide::sync_sources;
use crate::peers::NodeEntry;
use std::net::SocketAddr;
use std::time::Duration;

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
    let asked = |own: usize, scope: SourceScope| -> Vec<&str> {
        let sources = sync_sources(&nodes, &nodes[own], scope);
        sources.into_iter().map(|node| node.name.as_str()).collect()
    };

    assert!(asked(0, SourceScope::Preceding).is_empty());
    assert_eq!(asked(1, SourceScope::Preceding), ["a"]);
    assert_eq!(asked(0, SourceScope::All), ["b", "c", "d", "narrow"]);
    assert_eq!(asked(1, SourceScope::All), ["a", "c", "d", "narrow"]);
}

// A node that would be the relay read everything from the store at its start, beside the relay that was there.
#[test]
fn a_node_that_has_just_started_asks_those_after_it_too() {
    let nodes = [
        node("wide", "x", 9, 200),
        node("a", "x", 1, 10),
        node("b", "x", 2, 10),
        node("c", "y", 0, 10),
    ];

    let sources = sync_sources(&nodes, &nodes[0], SourceScope::DataCentre);

    let names: Vec<&str> = sources.iter().map(|node| node.name.as_str()).collect();
    assert_eq!(names, ["a", "b"]);
}

#[test]
fn one_node_of_all_data_centres_reads_the_store_and_another_one_when_it_is_gone() {
    let nodes = [
        node("a", "x", 3, 200),
        node("b", "y", 2, 200),
        node("narrow", "z", 1, 10),
    ];

    let reader = |nodes: &[NodeEntry]| store_reader(nodes).map(|node| node.name.clone());

    assert_eq!(reader(&nodes).as_deref(), Some("b"));
    assert_eq!(reader(&nodes[..1]).as_deref(), Some("a"));
    assert_eq!(reader(&[]), None);
}

// Callers were refused for half a second after a kill of all, until each data centre had agreed on its relay.
#[test]
fn the_nodes_that_all_ask_first_are_the_first_ones_of_their_former_entries() {
    let listed: Vec<NodeEntry> = (0..6)
        .map(|number| node(&format!("n{number}"), "x", number, 200))
        .chain([node("far", "y", 0, 200)])
        .collect();

    let asked = listed
        .iter()
        .filter(|node| is_asked_first(&listed, "x", &node.name));

    let names: Vec<&str> = asked.map(|node| node.name.as_str()).collect();
    assert_eq!(names, ["n0", "n1", "n2"]);
    assert!(!is_asked_first(&[], "x", "n0"));
}

const AT_ONCE: Duration = Duration::ZERO;
const LATER: Duration = Duration::from_millis(300);

// After all nodes were killed, two of them asked each other and both waited.
#[test]
fn of_two_nodes_that_ask_each_other_the_first_becomes_the_relay() {
    let nodes = [node("a", "x", 20, 200), node("b", "x", 21, 200)];
    let step = |own: usize, source: usize| {
        let role = SourceRole::Undecided {
            asks: Some(&nodes[own].name),
        };
        source_step(&nodes, &nodes[own], &nodes[source], &role, AT_ONCE)
    };

    assert_eq!(step(0, 1), SourceStep::BecomeRelay);
    assert_eq!(step(1, 0), SourceStep::Stay);
}

#[test]
fn nodes_that_ask_each_other_in_a_circle_find_a_relay_after_a_while() {
    let nodes = [
        node("a", "x", 20, 200),
        node("b", "x", 21, 200),
        node("c", "x", 22, 200),
    ];
    // a asks c, c asks b, and b asks a.
    let step = |own: usize, source: usize, asks: usize, waited: Duration| {
        let role = SourceRole::Undecided {
            asks: Some(&nodes[asks].name),
        };
        source_step(&nodes, &nodes[own], &nodes[source], &role, waited)
    };

    assert_eq!(step(0, 2, 1, AT_ONCE), SourceStep::Stay);
    assert_eq!(step(0, 2, 1, LATER), SourceStep::BecomeRelay);
    assert_eq!(step(2, 1, 0, LATER), SourceStep::Stay);
    assert_eq!(step(1, 0, 2, LATER), SourceStep::Stay);
}

#[test]
fn a_node_whose_source_has_a_source_goes_there_if_it_is_reachable() {
    let nodes = [
        node("a", "x", 20, 200),
        node("b", "x", 21, 200),
        node("c", "x", 22, 200),
    ];
    let role = SourceRole::Member { of: "a" };
    let step =
        |reachable: &[NodeEntry]| source_step(reachable, &nodes[2], &nodes[1], &role, AT_ONCE);

    assert_eq!(step(&nodes), SourceStep::SwitchTo(nodes[0].clone()));
    assert_eq!(step(&nodes[1..]), SourceStep::Stay);
}

#[test]
fn a_node_stays_with_the_relay() {
    let nodes = [node("a", "x", 20, 200), node("b", "x", 21, 200)];

    let step = source_step(&nodes, &nodes[0], &nodes[1], &SourceRole::Relay, LATER);

    assert_eq!(step, SourceStep::Stay);
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
