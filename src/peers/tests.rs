//! Sums of loads, and messages between gateways.

use super::board::Board;
use super::board::add_up;
use super::board::without;
use super::message::LoadEntry;
use super::message::pack;
use super::message::unpack;
use crate::clock::Moment;
use std::time::Duration;

fn load(server: &str, in_flight: u32) -> LoadEntry {
    LoadEntry {
        server: server.to_owned(),
        in_flight,
    }
}

#[test]
fn a_data_centres_loads_are_those_of_all_its_nodes() {
    let board = Board::default();
    let now = Moment::now();
    board.note_own(vec![load("a", 1)]);
    board.note_member("n-1", vec![load("a", 2), load("b", 3)], now);
    board.note_member("n-2", vec![load("b", 4)], now);

    board.note_member("n-2", vec![load("b", 5)], now);

    assert_eq!(board.own_centre(now), [load("a", 3), load("b", 8)]);
}

#[test]
fn a_node_that_tells_nothing_any_more_does_not_count() {
    let board = Board::default();
    let now = Moment::now();
    board.note_member("n-1", vec![load("a", 2)], now);
    board.note_centre("south", vec![load("a", 9)], now);

    let later = now.plus(Duration::from_secs(2));

    assert!(board.own_centre(later).is_empty());
    assert_eq!(board.all_centres("north", later).len(), 1);
}

#[test]
fn a_node_takes_its_own_part_out_of_a_sum() {
    let all = add_up([&[load("a", 4), load("b", 1)][..], &[load("b", 2)]].into_iter());

    let others = without(all, &[load("a", 1), load("c", 7)]);

    assert_eq!(others, [load("a", 3), load("b", 3)]);
}

#[test]
fn packed_messages_come_back_and_broken_ones_are_refused() {
    let loads: Vec<LoadEntry> = (0..500).map(|number| load("server", number)).collect();
    let packed = pack(&loads).unwrap();

    let unpacked: Vec<LoadEntry> = unpack(&packed).unwrap();

    assert_eq!(unpacked, loads);
    for end in 0..packed.len() {
        assert!(unpack::<Vec<LoadEntry>>(&packed[..end]).is_err());
    }
}
