use super::BackendLoad;
use super::LoadBoard;
use super::Summary;
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
fn an_owner_is_a_node_of_the_same_data_centre() {
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
fn a_data_centre_without_nodes_is_owned_from_elsewhere() {
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

fn summary(version: (u64, u64), loads: &[BackendLoad]) -> Summary {
    Summary {
        node: "n2".to_owned(),
        version,
        at: Instant::now(),
        loads: loads.to_vec(),
    }
}

#[test]
fn old_summaries_do_not_replace_newer_ones() {
    let board = LoadBoard::new("n1", 1);
    board.publish(&[load("e1", 3), load("e2", 9)]);

    assert!(board.receive(summary((7, 2), &[load("e2", 4), load("e3", 5)])));
    assert!(!board.receive(summary((7, 1), &[load("e3", 6)])));
    assert!(!board.receive(summary((6, 9), &[load("e3", 7)])));

    let loads = board.loads("assistant");
    assert_eq!(loads, [load("e1", 3), load("e2", 9), load("e3", 5)]);
    assert_eq!(board.summaries().len(), 2);
}
