//! Entries of the server list that another writer left: each costs itself alone, and only for as long as it stands.

use super::apply_changes;
use super::apply_peer_servers;
use super::entry;
use super::new_catalog;
use super::report;
use crate::catalog::BackendServer;
use crate::catalog::Catalog;
use crate::catalog::PeerServer;
use crate::catalog::ServerEntry;
use crate::catalog::ServerRecord;
use crate::clock::BootInstant;
use crate::tests::check;
use std::time::Duration;

fn listed(catalog: &Catalog) -> Vec<String> {
    let (servers, _) = catalog.listed();
    servers.iter().map(|server| server.id.clone()).collect()
}

/// Applies `entry` as a record of the server called `id`, and returns whether the server is listed then.
fn apply(catalog: &Catalog, id: &str, entry: ServerEntry) -> bool {
    let record = ServerRecord::Report(entry).checked(id);
    apply_changes(catalog, vec![(id.to_owned(), record)], BootInstant::now());
    listed(catalog).iter().any(|listed| listed == id)
}

/// Returns entries that decode, with a value that no server has.
fn odd_entries() -> Vec<ServerEntry> {
    let address = |text: &str| ServerEntry {
        address: text.parse().unwrap(),
        ..entry(2, false, 1)
    };
    let mut odd: Vec<ServerEntry> = ["127.0.0.1:0", "0.0.0.0:80", "[::]:80", "224.0.0.1:80"]
        .into_iter()
        .map(address)
        .collect();
    odd.push(entry(2, false, u64::MAX));
    odd.push(ServerEntry {
        slots: u32::MAX,
        ..entry(2, false, 1)
    });
    odd.push(ServerEntry {
        cold_left: Duration::MAX,
        ..entry(2, false, 1)
    });
    for text in [String::new(), "s".repeat(100_000)] {
        odd.push(ServerEntry {
            service: text,
            ..entry(2, false, 1)
        });
    }
    odd.push(ServerEntry {
        software_version: Some("v".repeat(100_000)),
        ..entry(2, false, 1)
    });
    odd
}

#[test]
fn an_odd_entry_costs_more_than_its_own_server() {
    for odd in odd_entries() {
        let catalog = new_catalog();
        apply_changes(
            &catalog,
            vec![report("a", 1, false, 1), report("b", 1, false, 1)],
            BootInstant::now(),
        );

        let is_listed = apply(&catalog, "a", odd.clone());

        assert!(!is_listed, "{odd:?}");
        assert_eq!(listed(&catalog), ["b"]);
        assert_eq!(catalog.unusable_count(), 1);
        assert!(apply(&catalog, "a", entry(3, false, 1)), "{odd:?}");
        assert_eq!(catalog.unusable_count(), 0);
    }
}

#[test]
fn a_server_without_a_name_that_requests_can_carry_is_used() {
    let names = [
        String::new(),
        "a b".to_owned(),
        "a\n".to_owned(),
        "å".to_owned(),
        "a".repeat(256),
    ];
    for name in names {
        let catalog = new_catalog();

        assert!(!apply(&catalog, &name, entry(1, false, 1)), "{name}");
    }
}

// All later reports counted as delayed copies, that it leaves too.
#[test]
fn a_number_too_large_hides_the_later_reports_of_its_server() {
    for (sequence, start_time_ms) in [(u64::MAX, 1), (1_000_000, 1), (1, u64::MAX)] {
        let catalog = new_catalog();
        apply(&catalog, "a", entry(sequence, false, start_time_ms));

        apply(&catalog, "a", entry(7, true, 1));

        let (servers, _) = catalog.listed();
        assert_eq!(servers.len(), 1);
        assert!(servers[0].entry.is_draining);
        assert_eq!(servers[0].entry.sequence, 7);
    }
}

#[test]
fn a_delayed_copy_of_a_report_replaces_a_newer_one() {
    let catalog = new_catalog();
    apply(&catalog, "a", entry(7, true, 1));

    apply(&catalog, "a", entry(5, false, 1));

    assert!(catalog.listed().0[0].entry.is_draining);
}

// The odd entry made the server's removal forgotten.
#[test]
fn a_delayed_copy_lists_a_removed_server_again_after_an_odd_entry() {
    let catalog = new_catalog();
    apply(&catalog, "a", entry(7, false, 1));
    let removed = vec![("a".to_owned(), ServerRecord::Removed)];
    apply_changes(&catalog, removed, BootInstant::now());
    apply(&catalog, "a", entry(8, false, u64::MAX));

    let is_listed = apply(&catalog, "a", entry(7, false, 1));

    assert!(!is_listed);
    assert!(apply(&catalog, "a", entry(8, false, 1)));
}

#[test]
fn an_odd_entry_on_a_peers_list_costs_the_others() {
    let catalog = new_catalog();
    let peer_server = |id: &str, entry| PeerServer {
        server: BackendServer {
            id: id.to_owned(),
            entry,
        },
        grace_until: None,
    };

    for odd in odd_entries() {
        let list = vec![peer_server("a", entry(1, false, 1)), peer_server("b", odd)];
        apply_peer_servers(&catalog, Some(list), BootInstant::now());

        assert_eq!(listed(&catalog), ["a"]);
    }
}

#[test]
fn the_same_odd_entry_is_logged_at_each_read() {
    let catalog = new_catalog();
    let unusable = |cause: &str| vec![("a".to_owned(), ServerRecord::Unusable(cause.to_owned()))];

    let before = catalog.is_known_unusable("a", "no address");
    apply_changes(&catalog, unusable("no address"), BootInstant::now());

    assert!(!before);
    assert!(catalog.is_known_unusable("a", "no address"));
    assert!(!catalog.is_known_unusable("a", "no service"));
}

#[test]
fn numbers_of_any_size_end_the_process() {
    check(|u| {
        let catalog = new_catalog();
        for _ in 0..8 {
            let id = ["a", "b"][u.arbitrary::<bool>()? as usize];
            let odd = ServerEntry {
                slots: u.arbitrary()?,
                sequence: u.arbitrary()?,
                start_time_ms: u.arbitrary()?,
                cold_left: Duration::from_millis(u.arbitrary()?),
                ..entry(1, u.arbitrary()?, 1)
            };
            apply(&catalog, id, odd);
        }
        assert!(apply(&catalog, "c", entry(1, false, 1)));
        Ok(())
    });
}

// The names of other writers' entries pushed out the memory of a server that was removed, so that a delayed copy of its report listed
// it again.
#[test]
fn odd_names_that_come_and_go_make_a_removed_server_be_forgotten() {
    let catalog = new_catalog();
    let now = BootInstant::now();
    apply_changes(&catalog, vec![report("a", 9, false, 1)], now);
    apply_changes(&catalog, vec![("a".to_owned(), ServerRecord::Removed)], now);

    for number in 0..3_600 {
        let id = format!("odd-{number}");
        let odd = ServerRecord::Unusable("no entry".to_owned());
        apply_changes(&catalog, vec![(id.clone(), odd)], now);
        apply_changes(&catalog, vec![(id, ServerRecord::Removed)], now);
    }
    apply_changes(&catalog, vec![report("a", 8, false, 1)], now);

    assert!(listed(&catalog).is_empty());
    assert_eq!(catalog.unusable_count(), 0);
}
