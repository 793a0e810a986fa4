use super::View;
use crate::border::generated::platform::Host;
use crate::border::generated::platform::HostRole;
use crate::border::generated::platform::HostState;

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
