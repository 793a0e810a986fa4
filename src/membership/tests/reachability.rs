//! Suspicions and reachability that follow from a node's own connections.

use crate::membership::reachability::Reachability;
use std::time::Duration;
use std::time::Instant;

const GRACE: Duration = Duration::from_millis(300);
const OWN_DATA_CENTRE: &str = "gavle";

fn reachability(peers: &[(&str, &str)], now: Instant) -> Reachability {
    let mut reachability = Reachability::default();
    for (name, data_centre) in peers {
        reachability.insert(name, data_centre, now);
        reachability.record_connected(name);
    }
    reachability
}

/// A peer that other nodes still reach refutes each suspicion. Without a delay between suspicions, this node would
/// suspect it again at once, and the two would exchange suspicions and refutations continuously.
#[test]
fn an_unreachable_peer_is_suspected_once_and_again_after_a_delay() {
    let now = Instant::now();
    let mut reachability = reachability(&[("n2", OWN_DATA_CENTRE)], now);
    reachability.record_disconnected("n2", now);

    assert!(
        reachability
            .take_suspects(OWN_DATA_CENTRE, GRACE, now + GRACE / 2)
            .is_empty()
    );
    assert_eq!(
        reachability.take_suspects(OWN_DATA_CENTRE, GRACE, now + GRACE),
        ["n2"]
    );
    assert!(
        reachability
            .take_suspects(OWN_DATA_CENTRE, GRACE, now + 2 * GRACE)
            .is_empty()
    );
    let later = now + Duration::from_secs(10);
    assert_eq!(
        reachability.take_suspects(OWN_DATA_CENTRE, GRACE, later),
        ["n2"]
    );

    reachability.record_connected("n2");
    reachability.record_disconnected("n2", later);
    assert_eq!(
        reachability.take_suspects(OWN_DATA_CENTRE, GRACE, later + GRACE),
        ["n2"]
    );
}

#[test]
fn peers_in_other_data_centres_are_never_suspected() {
    let now = Instant::now();
    let mut reachability = reachability(&[("n3", "falun")], now);
    reachability.record_disconnected("n3", now);

    assert!(
        reachability
            .take_suspects(OWN_DATA_CENTRE, GRACE, now + 2 * GRACE)
            .is_empty()
    );
}

#[test]
fn a_data_centre_is_unreachable_if_all_peers_in_it_are() {
    let now = Instant::now();
    let mut reachability = reachability(&[("n3", "falun"), ("n4", "falun")], now);
    let is_reachable = |reachability: &Reachability| {
        ["n3", "n4", "n5"]
            .map(|name| reachability.is_reachable(name, "falun", false, GRACE, now + GRACE))
    };

    reachability.record_disconnected("n3", now);
    assert_eq!(is_reachable(&reachability), [false, true, true]);
    reachability.record_disconnected("n4", now);
    assert_eq!(is_reachable(&reachability), [false, false, false]);
    reachability.record_connected("n4");
    assert_eq!(is_reachable(&reachability), [false, true, true]);
}
