//! Changes of the host list: those received from other nodes, and lists read from the platform.

use super::fixtures::directory;
use super::fixtures::list;
use crate::membership::HostDirectory;
use std::net::SocketAddr;
use std::sync::Arc;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn names(directory: &Arc<HostDirectory>) -> Vec<String> {
    let listed = Arc::clone(&directory.subscribe().borrow());
    listed.nodes().iter().map(|n| n.name.clone()).collect()
}

#[test]
fn changes_lead_to_the_same_list_and_are_not_applied_twice() {
    let nodes = [("n1", address(1)), ("n2", address(2))];
    let (one, other) = (directory(&nodes), directory(&nodes));
    one.replace(list(4, &[("n2", address(3)), ("n3", address(4))]));

    let changes = one.changes_after(1);

    assert!(changes.iter().all(|change| other.apply(change)));
    assert_eq!(names(&other), ["n2", "n3"]);
    assert_eq!(*other.subscribe().borrow(), *one.subscribe().borrow());
    assert_eq!(other.version(), Some(4));
    assert!(!changes.iter().any(|change| other.apply(change)));
}

#[test]
fn a_change_from_another_version_than_the_current_one_is_not_applied() {
    let one = directory(&[("n1", address(1))]);
    let other = directory(&[("n1", address(1))]);
    one.replace(list(2, &[("n2", address(2))]));
    one.replace(list(3, &[("n3", address(3))]));

    let late = one.changes_after(2);

    assert_eq!(late.len(), 1);
    assert!(!other.apply(&late[0]));
    assert!(!HostDirectory::new().apply(&late[0]));
    assert_eq!(names(&other), ["n1"]);
}

#[test]
fn a_list_with_a_lower_version_replaces_the_current_one() {
    let directory = directory(&[("n1", address(1)), ("n2", address(2))]);

    directory.replace(list(0, &[("n1", address(1))]));

    assert_eq!(names(&directory), ["n1"]);
    assert!(directory.changes_after(0).is_empty());
}
