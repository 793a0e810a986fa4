//! Tests of load sums and of the encoding of messages between gateways.

use super::load_table::LoadTable;
use super::load_table::subtract_own;
use super::load_table::sum_loads;
use super::message::LoadEntry;
use super::message::ServerRequests;
use super::message::pack;
use super::message::unpack;
use super::streams::RecordSource;
use super::streams::StreamRecords;
use super::streams::StreamTable;
use crate::clock::BootInstant;
use std::time::Duration;

fn load(server: &str, in_flight: u32) -> LoadEntry {
    LoadEntry {
        server: server.to_owned(),
        in_flight,
        requests: None,
    }
}

#[test]
fn data_centre_load_is_the_sum_over_its_nodes() {
    let load_table = LoadTable::default();
    let now = BootInstant::now();
    load_table.record_own(vec![load("a", 1)], now);
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

/// Returns the requests for a server that named `limit` `age_ms` ago.
fn limited(chosen: u32, sent: u32, limit_milli: Option<u64>, age_ms: u64) -> LoadEntry {
    LoadEntry {
        requests: Some(ServerRequests {
            chosen,
            sent,
            limit_milli,
            limit_age_ms: age_ms,
        }),
        ..load("a", 1)
    }
}

#[test]
fn requests_are_summed_and_the_newest_limit_holds() {
    let load_table = LoadTable::default();
    let now = BootInstant::now();
    load_table.record_own(vec![limited(5, 2, Some(4_000), 900)], now);
    load_table.record_member("n-1", vec![limited(7, 3, None, 100)], now);
    load_table.record_member("n-2", vec![load("a", 1)], now);

    let sum = load_table.own_centre(now);
    let others = subtract_own(sum.clone(), &[limited(5, 2, Some(4_000), 900)]);

    assert_eq!(sum[0].requests, limited(12, 5, None, 100).requests);
    assert_eq!(others[0].requests, limited(7, 3, None, 100).requests);
}

#[test]
fn a_limit_ages_while_a_relay_keeps_it() {
    let load_table = LoadTable::default();
    let now = BootInstant::now();
    load_table.record_member("n-1", vec![limited(7, 3, Some(4_000), 100)], now);

    let later = now.plus(Duration::from_millis(400));
    load_table.record_member("n-2", vec![limited(1, 1, None, 300)], later);

    let sum = load_table.own_centre(later);
    assert_eq!(sum[0].requests, limited(8, 4, None, 300).requests);
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

const LIFETIME: Duration = Duration::from_secs(10);

fn stream_records(software_version: &str, streams: &[(u64, u32)]) -> StreamRecords {
    StreamRecords {
        software_version: software_version.to_owned(),
        streams: streams.to_vec(),
    }
}

#[test]
fn each_record_of_a_stream_is_sent_once() {
    let table = StreamTable::default();
    let now = BootInstant::now();
    table.record(1, "v2", LIFETIME, now);
    table.record(2, "v1", LIFETIME, now);
    let (first, next) = table.records_from(0, &[RecordSource::Own], now);
    table.record(3, "v1", LIFETIME, now);

    let (second, _) = table.records_from(next, &[RecordSource::Own], now);

    assert_eq!(
        first,
        [
            stream_records("v1", &[(2, 10_000)]),
            stream_records("v2", &[(1, 10_000)])
        ]
    );
    assert_eq!(second, [stream_records("v1", &[(3, 10_000)])]);
}

#[test]
fn records_from_another_data_centre_are_found_but_not_sent_on() {
    let table = StreamTable::default();
    let now = BootInstant::now();
    let received = vec![stream_records("v1", &[(1, 5_000)])];
    table.record_received(received, RecordSource::OtherCentre, now);
    let received = vec![stream_records("v2", &[(2, 5_000)])];
    table.record_received(received, RecordSource::Member, now);

    let sources = [RecordSource::Own, RecordSource::Member];
    let (sent, _) = table.records_from(0, &sources, now);

    assert_eq!(sent, [stream_records("v2", &[(2, 5_000)])]);
    assert_eq!(table.find(1, now).as_deref(), Some("v1"));
}

#[test]
fn an_expired_record_is_neither_found_nor_sent() {
    let table = StreamTable::default();
    let now = BootInstant::now();
    table.record(1, "v1", LIFETIME, now);
    table.record(2, "v1", LIFETIME * 3, now);

    let later = now.plus(LIFETIME);
    table.record(3, "v1", LIFETIME, later);

    assert_eq!(table.find(1, later), None);
    assert_eq!(table.find(2, later).as_deref(), Some("v1"));
    let (sent, _) = table.records_from(0, &[RecordSource::Own], later);
    assert_eq!(sent, [stream_records("v1", &[(2, 20_000), (3, 10_000)])]);
}
