//! Whether a gateway reaches no server of a service, by what it has seen of some of them.

use crate::clock::BootInstant;
use crate::decide::ServerContact;
use crate::decide::is_cut_off;
use std::time::Duration;

const NOW_MS: u64 = 10_000;

fn at(ms: u64) -> BootInstant {
    BootInstant::from_boot(Duration::from_millis(ms))
}

/// Returns the contacts of a service with `servers` servers, of which the first failed at the times `failed_ms` and the last one
/// was heard at `heard_ms`.
fn contacts(servers: usize, failed_ms: &[u64], heard_ms: u64) -> Vec<ServerContact> {
    let mut contacts = vec![ServerContact::default(); servers];
    for (contact, ms) in contacts.iter_mut().zip(failed_ms) {
        contact.failed_at = Some(at(*ms));
    }
    contacts[servers - 1].heard_at = Some(at(heard_ms));
    contacts
}

#[test]
fn a_gateway_fails_at_each_of_many_servers_before_it_knows_that_it_is_cut_off() {
    let contacts = contacts(60, &[9_000, 9_300, 9_600], 8_900);

    assert!(is_cut_off(&contacts, at(NOW_MS)));
}

#[test]
fn a_gateway_that_reaches_one_server_counts_as_cut_off() {
    let contacts = contacts(60, &[9_000, 9_300, 9_600], 9_400);

    assert!(!is_cut_off(&contacts, at(NOW_MS)));
}

#[test]
fn two_servers_that_crash_make_a_gateway_count_as_cut_off() {
    let contacts = contacts(60, &[9_000, 9_600], 8_900);

    assert!(!is_cut_off(&contacts, at(NOW_MS)));
}

#[test]
fn a_gateway_that_tried_nothing_lately_counts_as_cut_off() {
    let contacts = contacts(60, &[7_000, 7_300, 7_600], 6_900);

    assert!(!is_cut_off(&contacts, at(NOW_MS)));
}

#[test]
fn a_gateway_is_never_cut_off_from_a_service_of_two_servers() {
    let contacts = contacts(2, &[9_000, 9_500], 8_900);

    assert!(is_cut_off(&contacts, at(NOW_MS)));
    assert!(!is_cut_off(&[], at(NOW_MS)));
}
