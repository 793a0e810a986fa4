//! Tests of load sums and of the encoding of messages between gateways.

use super::load_table::LoadTable;
use super::load_table::subtract_own;
use super::load_table::sum_loads;
use super::message::LoadEntry;
use super::message::pack;
use super::message::unpack;
use crate::clock::BootInstant;
use std::time::Duration;

fn load(server: &str, in_flight: u32) -> LoadEntry {
    LoadEntry {
        server: server.to_owned(),
        in_flight,
    }
}

#[test]
fn data_centre_load_is_the_sum_over_its_nodes() {
    let load_table = LoadTable::default();
    let now = BootInstant::now();
    load_table.record_own(vec![load("a", 1)]);
    load_table.record_member("n-1", vec![load("a", 2), load("b", 3)], now);
    load_table.record_member("n-2", vec![load("b", 4)], now);

    load_table.record_member("n-2", vec![load("b", 5)], now);

    assert_eq!(load_table.own_centre(now), [load("a", 3), load("b", 8)]);
}

#[test]
fn stale_loads_are_not_counted() {
    let load_table = LoadTable::default();
    let now = BootInstant::now();
    load_table.record_member("n-1", vec![load("a", 2)], now);
    load_table.record_centre("south", vec![load("a", 9)], now);

    let later = now.plus(Duration::from_secs(2));

    assert!(load_table.own_centre(later).is_empty());
    assert_eq!(load_table.all_centres("north", later).len(), 1);
}

#[test]
fn own_loads_are_subtracted_from_a_sum() {
    let all = sum_loads([&[load("a", 4), load("b", 1)][..], &[load("b", 2)]].into_iter());

    let others = subtract_own(all, &[load("a", 1), load("c", 7)]);

    assert_eq!(others, [load("a", 3), load("b", 3)]);
}

#[test]
fn packed_messages_round_trip_and_truncated_ones_are_rejected() {
    let loads: Vec<LoadEntry> = (0..500).map(|number| load("server", number)).collect();
    let packed = pack(&loads).unwrap();

    let unpacked: Vec<LoadEntry> = unpack(&packed).unwrap();

    assert_eq!(unpacked, loads);
    for end in 0..packed.len() {
        assert!(unpack::<Vec<LoadEntry>>(&packed[..end]).is_err());
    }
}
