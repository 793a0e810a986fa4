//! Changes of the host list that come from other nodes.

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
fn a_change_leads_to_the_same_list_and_not_twice() {
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
fn a_change_that_does_not_follow_on_the_list_is_left_to_the_next_question() {
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
fn a_platform_whose_versions_begin_again_is_believed() {
    let directory = directory(&[("n1", address(1)), ("n2", address(2))]);

    directory.replace(list(0, &[("n1", address(1))]));

    assert_eq!(names(&directory), ["n1"]);
    assert!(directory.changes_after(0).is_empty());
}
