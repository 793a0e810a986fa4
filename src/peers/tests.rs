//! Tests of load sums, of the server list that gateways take from each other, and of the encoding of messages between them.

mod cut_messages;
mod helper_fleet;
mod node_lists;
mod tunnels;

use super::directory::NodeEntry;
use super::load_entry::LoadEntry;
use super::load_entry::ServerRequests;
use super::load_table::LoadTable;
use super::load_table::subtract_own;
use super::load_table::sum_loads;
use super::message::Stamp;
use super::message::pack;
use super::message::unpack;
use super::mute_nodes::MuteNodes;
use super::server_list::ReceivedList;
use super::server_list::SyncedList;
use super::server_list::synced_servers;
use super::streams::RecordSource;
use super::streams::StreamKey;
use super::streams::StreamRecords;
use super::streams::StreamStart;
use super::streams::StreamTable;
use crate::catalog::Catalog;
use crate::catalog::CatalogBounds;
use crate::catalog::ListRead;
use crate::catalog::Position;
use crate::catalog::ServerEntry;
use crate::catalog::ServerRead;
use crate::catalog::ServerRecord;
use crate::clock::BootInstant;
use std::net::SocketAddr;
use std::time::Duration;

fn load(server: &str, in_flight: u32) -> LoadEntry {
    LoadEntry {
        server: server.to_owned(),
        in_flight,
        requests: None,
        pace: None,
        speed: None,
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
    assert!(load_table.all(later).is_empty());
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
        is_mixed: false,
    }
}

fn start(stream: StreamKey, software_version: &str, lifetime: Duration) -> StreamStart<'_> {
    StreamStart {
        stream,
        software_version,
        lifetime,
        is_resumable: true,
        is_mixed: false,
    }
}

#[test]
fn each_record_of_a_stream_is_sent_once() {
    let table = StreamTable::default();
    let now = BootInstant::now();
    table.record(start(1, "v2", LIFETIME), now);
    table.record(start(2, "v1", LIFETIME), now);
    let (first, next) = table.records_from(0, &[RecordSource::Own], now);
    table.record(start(3, "v1", LIFETIME), now);

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

// Timeouts that passed during a standstill made all others mute for seconds, so that nobody was asked for a stream.
#[test]
fn a_gateway_that_stood_still_takes_the_others_for_mute() {
    let mute_nodes = MuteNodes::default();
    let now = BootInstant::now();
    let node = |name: &str| NodeEntry {
        name: name.to_owned(),
        data_centre: "north".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_340)),
        start_time_ms: 1,
        link_mbps: 1_000,
    };
    let nodes = ["n-1", "n-2"].map(node);

    mute_nodes.record(&nodes[0], now.before(Duration::from_secs(2)));
    let after_standstill = mute_nodes.without(&nodes).len();
    mute_nodes.record(&nodes[0], now);

    assert_eq!(after_standstill, 2);
    assert_eq!(mute_nodes.without(&nodes), [node("n-2")]);
}

#[test]
fn an_expired_record_is_neither_found_nor_sent() {
    let table = StreamTable::default();
    let now = BootInstant::now();
    table.record(start(1, "v1", LIFETIME), now);
    table.record(start(2, "v1", LIFETIME * 3), now);

    let later = now.plus(LIFETIME);
    table.record(start(3, "v1", LIFETIME), later);

    assert_eq!(table.find(1, later), None);
    assert_eq!(table.find(2, later).as_deref(), Some("v1"));
    let (sent, _) = table.records_from(0, &[RecordSource::Own], later);
    assert_eq!(sent, [stream_records("v1", &[(2, 20_000), (3, 10_000)])]);
}

const GRACE: Duration = Duration::from_secs(2);

/// A gateway's catalog, with what it has received on its connection to another gateway.
struct Member {
    catalog: Catalog,
    received: ReceivedList,
}

impl Member {
    /// Returns a member whose list of servers a and b was last read at `read_at`.
    fn new(read_at: BootInstant) -> Self {
        let catalog = Catalog::new(CatalogBounds {
            max_key_verification_age: None,
            max_denial_age: Duration::from_secs(2),
            list_grace: GRACE,
            max_list_gap: Duration::from_millis(2_400),
        });
        let received = ReceivedList::default();
        let member = Self { catalog, received };
        let servers = vec![report("a", 1), report("b", 1)];
        member.apply(1, ServerRead::Whole(servers), read_at);
        member
    }

    fn apply(&self, offset: u64, records: ServerRead, now: BootInstant) {
        let read = ListRead {
            began: now,
            from: self.catalog.servers_position(),
            position: Position { era: 0, offset },
            records,
        };
        self.catalog.apply_list_read(read, now).unwrap();
    }

    /// Reads `records` from the store, with the end of the list at `offset`.
    fn read(&self, offset: u64, records: Vec<(String, ServerRecord)>, now: BootInstant) {
        self.apply(offset, ServerRead::Changes(records), now);
    }

    /// Syncs from `peer` at `now`, as the messages between gateways do.
    fn sync(&mut self, peer: &Catalog, now: BootInstant) {
        let snapshot = peer.list_snapshot();
        let stamp = Stamp {
            start_time_ms: 1,
            version: snapshot.version,
        };
        let is_known = self.received.stamp(&self.catalog) == Some(stamp);
        let list = SyncedList {
            age: now.since(snapshot.read_at.unwrap()),
            position: snapshot.position,
            stamp,
            servers: (!is_known).then(|| synced_servers(&snapshot, now)),
            history: None,
        };
        self.received.apply(&self.catalog, list, now);
    }

    fn usable(&self) -> Vec<String> {
        let (servers, _) = self.catalog.servers();
        servers.iter().map(|server| server.id.clone()).collect()
    }
}

fn report(id: &str, sequence: u64) -> (String, ServerRecord) {
    let entry = ServerEntry {
        service: "app".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: "north".to_owned(),
        software_version: Some("v1".to_owned()),
        slots: 6,
        is_draining: false,
        cold_left: Duration::ZERO,
        sequence,
        start_time_ms: 1,
    };
    (id.to_owned(), ServerRecord::Report(entry))
}

fn removed(id: &str) -> (String, ServerRecord) {
    (id.to_owned(), ServerRecord::Removed)
}

/// Returns a relay and a member that synced from it until an outage of the store began `outage` before now.
fn during_outage(outage: Duration) -> (Member, Member, BootInstant) {
    let now = BootInstant::now();
    let began = now.before(outage);
    let relay = Member::new(began);
    let mut member = Member::new(began);
    member.sync(&relay.catalog, began);
    (relay, member, now)
}

const OUTAGE: Duration = Duration::from_secs(5);

#[test]
fn a_server_that_reports_again_only_to_the_relay_stays_in_use_at_a_member_that_read_its_removal() {
    let (relay, mut member, now) = during_outage(OUTAGE);
    let after = |millis| now.plus(Duration::from_millis(millis));
    member.read(10, vec![removed("a")], now);
    relay.read(10, vec![removed("a")], after(100));
    member.sync(&relay.catalog, after(200));

    relay.read(11, vec![report("a", 2)], after(900));
    member.sync(&relay.catalog, after(1_000));
    member.catalog.expire_servers(after(9_000));

    assert_eq!(member.usable(), ["a", "b"]);
}

#[test]
fn a_member_that_read_a_removal_itself_takes_over_the_list_of_a_relay_that_did_not_see_it() {
    let (relay, mut member, now) = during_outage(OUTAGE);
    let after = |millis| now.plus(Duration::from_millis(millis));
    member.read(10, vec![removed("a")], now);

    // The relay reads only the newest records, and its list is the one that the member had before.
    relay.read(11, vec![report("a", 2), report("b", 2)], after(900));
    member.sync(&relay.catalog, after(1_000));
    member.catalog.expire_servers(after(9_000));

    assert_eq!(member.usable(), ["a", "b"]);
}

#[test]
fn a_list_older_than_a_members_own_read_counts_as_not_received() {
    let (relay, mut member, now) = during_outage(OUTAGE);
    let after = |millis| now.plus(Duration::from_millis(millis));
    member.read(10, vec![removed("a")], now);
    relay.read(12, Vec::new(), now.before(OUTAGE));

    member.sync(&relay.catalog, after(200));

    assert_eq!(member.received.stamp(&member.catalog), None);
    assert_eq!(member.catalog.servers_position().unwrap().offset, 10);
}

#[test]
fn a_server_that_reports_again_stays_in_use_at_the_member_of_a_member() {
    let (relay, mut member, now) = during_outage(OUTAGE);
    let after = |millis| now.plus(Duration::from_millis(millis));
    let mut last = Member::new(now.before(OUTAGE));
    last.read(10, vec![removed("a")], now);
    relay.read(10, vec![removed("a")], after(100));
    member.sync(&relay.catalog, after(200));
    last.sync(&member.catalog, after(300));

    relay.read(11, vec![report("a", 2)], after(900));
    member.sync(&relay.catalog, after(1_000));
    last.sync(&member.catalog, after(1_100));
    last.catalog.expire_servers(after(9_000));

    assert_eq!(last.usable(), ["a", "b"]);
}

#[test]
fn a_server_in_its_grace_period_leaves_at_its_end_also_at_a_member_that_loses_its_relay() {
    let (relay, mut member, now) = during_outage(OUTAGE);
    let after = |millis| now.plus(Duration::from_millis(millis));
    relay.read(10, vec![removed("a")], now);
    member.sync(&relay.catalog, after(100));
    let in_grace = member.usable();

    // The member reads on from the relay's position, behind the removal.
    member.read(10, Vec::new(), after(1_000));
    member.catalog.expire_servers(after(9_000));

    assert_eq!(in_grace, ["a", "b"]);
    assert_eq!(member.usable(), ["b"]);
}
