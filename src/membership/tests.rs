mod fixtures;
mod gossip;
mod hosts;
mod reachability;
mod seal;
mod table;

use super::BackendLoad;
use super::LoadTable;
use super::NodeLoadSummary;
use super::View;
use crate::border::generated::platform::Host;
use crate::border::generated::platform::HostRole;
use crate::border::generated::platform::HostState;
use std::time::Instant;

fn host(name: &str, data_centre: &str, role: HostRole) -> Host {
    Host {
        name: name.to_owned(),
        address: "127.0.0.1:9".to_owned(),
        data_centre: data_centre.to_owned(),
        region: "north".to_owned(),
        role,
        state: HostState::Live,
        service: Some("assistant".to_owned()),
        checks_fencing: None,
    }
}

#[test]
fn the_owner_is_a_node_of_the_same_data_centre() {
    let hosts = [
        host("n1", "gavle", HostRole::Entry),
        host("n2", "falun", HostRole::Entry),
        host("e1", "falun", HostRole::Engine),
    ];

    let view = View::from_hosts(&hosts);

    let engine = view.backend("assistant", "e1").unwrap();
    assert_eq!(view.owner(engine).unwrap().name, "n2");
}

#[test]
fn backend_servers_of_a_data_centre_without_nodes_are_owned_by_a_node_of_another_one() {
    let hosts = [
        host("n1", "gavle", HostRole::Entry),
        host("e1", "falun", HostRole::Engine),
    ];

    let view = View::from_hosts(&hosts);

    let engine = view.backend("assistant", "e1").unwrap();
    assert_eq!(view.owner(engine).unwrap().name, "n1");
}

fn load(backend: &str, load: u32) -> BackendLoad {
    BackendLoad {
        service: "assistant".to_owned(),
        backend: backend.to_owned(),
        load,
    }
}

fn summary(version: (u64, u64), loads: &[BackendLoad]) -> NodeLoadSummary {
    NodeLoadSummary {
        node: "n2".to_owned(),
        version,
        published_at: Instant::now(),
        loads: loads.to_vec(),
    }
}

#[test]
fn old_summaries_do_not_replace_newer_ones() {
    let load_table = LoadTable::new("n1", 1);
    load_table.publish(&[load("e1", 3), load("e2", 9)]);

    assert!(load_table.apply(summary((7, 2), &[load("e2", 4), load("e3", 5)])));
    assert!(!load_table.apply(summary((7, 1), &[load("e3", 6)])));
    assert!(!load_table.apply(summary((6, 9), &[load("e3", 7)])));

    let loads = load_table.loads("assistant");
    assert_eq!(loads, [load("e1", 3), load("e2", 9), load("e3", 5)]);
    assert_eq!(load_table.summaries().len(), 2);
}

#[test]
fn backend_servers_of_an_unreachable_data_centre_are_kept_if_their_service_has_no_others() {
    let mut other = host("p1", "falun", HostRole::Service);
    other.service = Some("payments".to_owned());
    let hosts = [
        host("n1", "gavle", HostRole::Entry),
        host("e1", "gavle", HostRole::Engine),
        host("e2", "falun", HostRole::Engine),
        other,
    ];
    let listed = View::from_hosts(&hosts);

    let view = listed.restricted(listed.nodes().to_vec(), |centre| centre == "falun");

    assert_eq!(view.of_service("assistant").len(), 1);
    assert!(view.backend("assistant", "e1").is_some());
    assert!(view.backend("payments", "p1").is_some());
}
