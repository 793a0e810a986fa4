//! What a node's own connections tell it.

use crate::membership::reachability::Reachability;
use std::time::Duration;
use std::time::Instant;

const GRACE: Duration = Duration::from_millis(300);
const OWN: &str = "gavle";

fn reachability(peers: &[(&str, &str)], now: Instant) -> Reachability {
    let mut reachability = Reachability::default();
    for (name, data_centre) in peers {
        reachability.insert(name, data_centre, now);
        reachability.record_connected(name);
    }
    reachability
}

/// A neighbour that others reach answers each suspicion, which must not go on without a pause.
#[test]
fn a_lost_neighbour_is_suspected_once_and_again_after_a_pause() {
    let now = Instant::now();
    let mut reachability = reachability(&[("n2", OWN)], now);
    reachability.record_disconnected("n2", now);

    assert!(
        reachability
            .take_suspects(OWN, GRACE, now + GRACE / 2)
            .is_empty()
    );
    assert_eq!(reachability.take_suspects(OWN, GRACE, now + GRACE), ["n2"]);
    assert!(
        reachability
            .take_suspects(OWN, GRACE, now + 2 * GRACE)
            .is_empty()
    );
    let later = now + Duration::from_secs(10);
    assert_eq!(reachability.take_suspects(OWN, GRACE, later), ["n2"]);

    reachability.record_connected("n2");
    reachability.record_disconnected("n2", later);
    assert_eq!(
        reachability.take_suspects(OWN, GRACE, later + GRACE),
        ["n2"]
    );
}

#[test]
fn nodes_of_other_data_centres_are_never_suspected_from_here() {
    let now = Instant::now();
    let mut reachability = reachability(&[("n3", "falun")], now);
    reachability.record_disconnected("n3", now);

    assert!(
        reachability
            .take_suspects(OWN, GRACE, now + 2 * GRACE)
            .is_empty()
    );
}

#[test]
fn a_data_centre_is_out_of_reach_when_all_peers_there_are() {
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
