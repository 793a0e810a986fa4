//! What a node's own connections tell it.

use crate::membership::reach::Reach;
use std::time::Duration;
use std::time::Instant;

const GRACE: Duration = Duration::from_millis(300);
const OWN: &str = "gavle";

fn reach(peers: &[(&str, &str)], now: Instant) -> Reach {
    let mut reach = Reach::default();
    for (name, data_centre) in peers {
        reach.add(name, data_centre, now);
        reach.up(name);
    }
    reach
}

/// A neighbour that others reach answers each suspicion, which must not go on without a pause.
#[test]
fn a_lost_neighbour_is_suspected_once_and_again_after_a_pause() {
    let now = Instant::now();
    let mut reach = reach(&[("n2", OWN)], now);
    reach.down("n2", now);

    assert!(reach.take_lost(OWN, GRACE, now + GRACE / 2).is_empty());
    assert_eq!(reach.take_lost(OWN, GRACE, now + GRACE), ["n2"]);
    assert!(reach.take_lost(OWN, GRACE, now + 2 * GRACE).is_empty());
    let later = now + Duration::from_secs(10);
    assert_eq!(reach.take_lost(OWN, GRACE, later), ["n2"]);

    reach.up("n2");
    reach.down("n2", later);
    assert_eq!(reach.take_lost(OWN, GRACE, later + GRACE), ["n2"]);
}

#[test]
fn nodes_of_other_data_centres_are_never_suspected_from_here() {
    let now = Instant::now();
    let mut reach = reach(&[("n3", "falun")], now);
    reach.down("n3", now);

    assert!(reach.take_lost(OWN, GRACE, now + 2 * GRACE).is_empty());
}

#[test]
fn a_data_centre_is_out_of_reach_when_all_peers_there_are() {
    let now = Instant::now();
    let mut reach = reach(&[("n3", "falun"), ("n4", "falun")], now);
    let reaches = |reach: &Reach| {
        ["n3", "n4", "n5"].map(|name| reach.reaches(name, "falun", false, GRACE, now + GRACE))
    };

    reach.down("n3", now);
    assert_eq!(reaches(&reach), [false, true, true]);
    reach.down("n4", now);
    assert_eq!(reaches(&reach), [false, false, false]);
    reach.up("n4");
    assert_eq!(reaches(&reach), [false, true, true]);
}
