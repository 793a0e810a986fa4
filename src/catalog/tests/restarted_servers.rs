//! Tests of servers that start again by a clock that was set back.

use super::apply_changes;
use super::apply_peer_servers;
use super::entry;
use super::new_catalog;
use super::report;
use crate::catalog::BackendServer;
use crate::catalog::Catalog;
use crate::catalog::PeerServer;
use crate::clock::BootInstant;
use std::time::Duration;

/// Applies the `sequence`th report of server a, which started at `start_time_ms`, in a read at `at`.
fn read_report(catalog: &Catalog, sequence: u64, start_time_ms: u64, at: BootInstant) {
    apply_changes(
        catalog,
        vec![report("a", sequence, false, start_time_ms)],
        at,
    );
}

#[test]
fn a_server_that_starts_again_after_its_clock_was_set_back_is_never_known() {
    let catalog = new_catalog();
    let start = BootInstant::now();
    let at = |seconds| start.plus(Duration::from_secs(seconds));
    let start_time_ms = || catalog.report_of("a").unwrap().start_time_ms;
    read_report(&catalog, 9, 5_000, at(0));

    // A late report of an earlier process is followed by one of the newest.
    read_report(&catalog, 7, 1_000, at(1));
    read_report(&catalog, 10, 5_000, at(2));
    assert_eq!(start_time_ms(), 5_000);
    for second in 3..=7 {
        read_report(&catalog, second, 1_000, at(second));
        assert_eq!(start_time_ms(), 5_000);
        assert!(catalog.may_be_replaced(&catalog.servers().0[0]));
    }
    read_report(&catalog, 8, 1_000, at(8));

    assert_eq!(start_time_ms(), 1_000);
    assert!(!catalog.may_be_replaced(&catalog.servers().0[0]));
}

#[test]
fn a_member_never_knows_a_server_that_starts_again_after_its_clock_was_set_back() {
    let catalog = new_catalog();
    let start = BootInstant::now();
    let at = |seconds| start.plus(Duration::from_secs(seconds));
    read_report(&catalog, 9, 5_000, at(0));
    let server = BackendServer {
        id: "a".to_owned(),
        entry: entry(1, false, 1_000),
    };
    let servers = vec![PeerServer {
        server,
        grace_until: None,
    }];

    apply_peer_servers(&catalog, Some(servers), at(2));
    for second in 3..=7 {
        apply_peer_servers(&catalog, None, at(second));
    }

    assert_eq!(catalog.report_of("a").unwrap().start_time_ms, 1_000);
}
