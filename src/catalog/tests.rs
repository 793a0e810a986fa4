//! Tests of which configuration and server data takes effect, and for how long it is used.

mod odd_entries;
mod partial_reads;
mod restarted_servers;

use super::BackendServer;
use super::Catalog;
use super::CatalogBounds;
use super::ConfigChange;
use super::Configuration;
use super::EvacuationRead;
use super::Evacuations;
use super::Limits;
use super::ListRead;
use super::PeerHistory;
use super::PeerList;
use super::PeerServer;
use super::Position;
use super::RetryMode;
use super::Route;
use super::SERVING_AFTER_LEAVING;
use super::SeenVersion;
use super::ServerEntry;
use super::ServerRead;
use super::ServerRecord;
use super::Team;
use crate::clock::BootInstant;
use std::net::SocketAddr;
use std::time::Duration;

const GRACE: Duration = Duration::from_secs(2);
const MAX_LIST_GAP: Duration = Duration::from_millis(2_400);

fn new_catalog() -> Catalog {
    Catalog::new(CatalogBounds {
        max_key_verification_age: Some(Duration::from_millis(4_500)),
        max_denial_age: Duration::from_millis(2_000),
        list_grace: GRACE,
        max_list_gap: MAX_LIST_GAP,
    })
}

fn entry(sequence: u64, is_draining: bool, start_time_ms: u64) -> ServerEntry {
    ServerEntry {
        service: "app".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: "north".to_owned(),
        software_version: Some("v1".to_owned()),
        slots: 6,
        is_draining,
        cold_left: Duration::ZERO,
        sequence,
        start_time_ms,
    }
}

fn report(
    id: &str,
    sequence: u64,
    is_draining: bool,
    start_time_ms: u64,
) -> (String, ServerRecord) {
    let record = ServerRecord::Report(entry(sequence, is_draining, start_time_ms));
    (id.to_owned(), record)
}

fn removed(id: &str) -> (String, ServerRecord) {
    (id.to_owned(), ServerRecord::Removed)
}

fn usable(catalog: &Catalog) -> Vec<String> {
    let (servers, _) = catalog.servers();
    servers.iter().map(|server| server.id.clone()).collect()
}

/// Applies a read of the list that began when it is applied, at `at`.
fn apply_read(catalog: &Catalog, records: ServerRead, at: BootInstant) -> Vec<String> {
    let from = catalog.servers_position();
    let read = ListRead {
        began: at,
        from,
        position: position(from.map_or(0, |from| from.offset + 1)),
        records,
    };
    catalog.apply_list_read(read, at).unwrap().servers
}

/// Applies a read that returned all changes since the last one.
pub(crate) fn apply_changes(
    catalog: &Catalog,
    records: Vec<(String, ServerRecord)>,
    at: BootInstant,
) -> Vec<String> {
    apply_read(catalog, ServerRead::Changes(records), at)
}

/// Applies a read of the whole list.
fn apply_whole(
    catalog: &Catalog,
    records: Vec<(String, ServerRecord)>,
    at: BootInstant,
) -> Vec<String> {
    apply_read(catalog, ServerRead::Whole(records), at)
}

/// Applies the list of a peer that tells nothing of its history.
pub(crate) fn apply_peer_servers(
    catalog: &Catalog,
    servers: Option<Vec<PeerServer>>,
    read_at: BootInstant,
) -> Option<Vec<String>> {
    catalog.apply_peer_list(PeerList {
        servers,
        read_at,
        position: None,
        history: None,
    })
}

/// Returns a catalog with servers a and b whose list could not be read for `gap`, and the time of the next read.
fn after_list_gap(gap: Duration) -> (Catalog, BootInstant) {
    let catalog = new_catalog();
    let now = BootInstant::now();
    let servers = || vec![report("a", 1, false, 1), report("b", 1, false, 1)];
    apply_whole(&catalog, servers(), now.before(gap));
    apply_whole(&catalog, servers(), now);
    (catalog, now)
}

fn configuration(version: u64, paths: &[&str], teams: Vec<Team>) -> Configuration {
    let route = |path: &&str| Route {
        name: (*path).to_owned(),
        host: "h".to_owned(),
        path_prefix: (*path).to_owned(),
        shares: Vec::new(),
        retry_mode: RetryMode::Once,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        gap_target: Duration::from_millis(100),
        max_attempts: 1,
        priority: 0,
        is_public: false,
        allowed_regions: Vec::new(),
    };
    let limits = Limits {
        header_bytes: 1,
        body_bytes: 1,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    Configuration::new(
        version,
        paths.iter().map(route).collect(),
        Vec::new(),
        Some(teams),
        limits,
    )
}

/// Guards against routes that open since an older release does not say whether keys are needed.
#[test]
fn a_configuration_from_a_node_that_does_not_say_whether_keys_are_needed_needs_them() {
    let configuration = configuration(1, &["/"], Vec::new());
    let mut message = serde_json::to_value(&configuration).unwrap();
    message.as_object_mut().unwrap().remove("needs_keys");

    let received: Configuration = serde_json::from_value(message).unwrap();

    let route = received.route("h", "/").unwrap();
    assert!(received.needs_key(route));
    assert_eq!(received, configuration);
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let configuration = configuration(1, &["/", "/a/", "/a/b/"], Vec::new());
    let found = |host: &str, path: &str| {
        configuration
            .route(host, path)
            .map(|route| route.name.clone())
    };

    assert_eq!(found("h", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(found("h", "/a/bc").as_deref(), Some("/a/"));
    assert_eq!(found("h", "/x").as_deref(), Some("/"));
    assert_eq!(found("other", "/a/"), None);
}

#[test]
fn older_configuration_versions_are_ignored() {
    let catalog = new_catalog();

    let changes =
        [4, 4, 3, 9].map(|version| catalog.apply_config(configuration(version, &[], Vec::new())));

    use ConfigChange::Applied;
    use ConfigChange::Kept;
    assert_eq!(changes, [Applied, Kept, Kept, Applied]);
    assert_eq!(
        catalog
            .configuration()
            .map(|configuration| configuration.version()),
        Some(9)
    );
}

#[test]
fn keys_are_accepted_only_while_recently_verified() {
    let catalog = new_catalog();
    let now = BootInstant::now();
    let before = catalog.are_keys_verified(now);

    catalog.record_config_verified(now);

    assert!(!before);
    assert!(catalog.are_keys_verified(now.plus(Duration::from_millis(4_400))));
    assert!(!catalog.are_keys_verified(now.plus(Duration::from_millis(4_600))));
}

#[test]
fn an_older_verification_does_not_replace_a_newer_one() {
    let catalog = new_catalog();
    let now = BootInstant::now().plus(Duration::from_secs(60));
    catalog.record_config_verified(now);

    catalog.record_config_verified(now.before(Duration::from_secs(30)));

    assert_eq!(catalog.config_age(now), Some(Duration::ZERO));
}

#[test]
fn delayed_copies_of_reports_are_ignored() {
    let catalog = new_catalog();
    let now = BootInstant::now();
    apply_changes(&catalog, vec![report("a", 5, true, 10)], now);

    apply_changes(
        &catalog,
        vec![report("a", 4, false, 10), report("a", 99, false, 9)],
        now,
    );

    assert!(usable(&catalog).is_empty());
}

#[test]
fn a_new_incarnation_restarts_the_report_sequence() {
    let catalog = new_catalog();
    let now = BootInstant::now();
    apply_changes(&catalog, vec![report("a", 50, true, 10)], now);

    apply_changes(&catalog, vec![report("a", 1, false, 11)], now);

    assert_eq!(usable(&catalog), ["a"]);
    assert!(catalog.is_usable("a", 11));
    assert!(!catalog.is_usable("a", 10));
}

#[test]
fn a_server_removed_from_a_readable_list_is_unusable_at_once() {
    let (catalog, now) = after_list_gap(Duration::from_millis(700));

    apply_changes(&catalog, vec![removed("a")], now);

    assert_eq!(usable(&catalog), ["b"]);
}

#[test]
fn servers_missing_after_a_list_gap_stay_usable_for_the_grace_period() {
    let (catalog, now) = after_list_gap(MAX_LIST_GAP * 2);

    apply_changes(&catalog, vec![removed("a"), removed("b")], now);
    apply_changes(
        &catalog,
        vec![report("a", 2, false, 1)],
        now.plus(GRACE / 2),
    );
    let in_grace = usable(&catalog);
    catalog.expire_servers(now.plus(GRACE * 2));

    assert_eq!(in_grace, ["a", "b"]);
    assert_eq!(usable(&catalog), ["a"]);
}

#[test]
fn a_server_that_enters_or_leaves_its_grace_period_changes_the_version_of_the_list() {
    let (catalog, now) = after_list_gap(MAX_LIST_GAP * 2);
    let version = || catalog.listed().1;
    let listed = version();

    apply_changes(&catalog, vec![removed("a")], now);
    let in_grace = version();
    apply_changes(
        &catalog,
        vec![report("a", 2, false, 1)],
        now.plus(GRACE / 2),
    );
    let listed_again = version();
    apply_changes(
        &catalog,
        vec![report("a", 3, false, 1)],
        now.plus(GRACE / 2),
    );

    assert!(listed < in_grace);
    assert!(in_grace < listed_again);
    assert_eq!(version(), listed_again);
}

#[test]
fn servers_missing_from_a_peers_list_are_removed_at_once_even_after_a_gap() {
    let (catalog, now) = after_list_gap(MAX_LIST_GAP * 2);
    let server = BackendServer {
        id: "b".to_owned(),
        entry: entry(2, false, 1),
    };
    let peer_servers = vec![PeerServer {
        server,
        grace_until: None,
    }];

    let changed = apply_peer_servers(
        &catalog,
        Some(peer_servers),
        now.plus(Duration::from_millis(1)),
    );

    assert_eq!(changed, Some(vec!["a".to_owned()]));
    assert_eq!(usable(&catalog), ["b"]);
}

#[test]
fn peer_data_does_not_replace_data_read_later() {
    let (catalog, now) = after_list_gap(Duration::ZERO);

    apply_peer_servers(
        &catalog,
        Some(Vec::new()),
        now.before(Duration::from_secs(1)),
    );

    assert_eq!(usable(&catalog), ["a", "b"]);
}

/// Returns a report of server `id` with the given software version.
fn report_of_version(id: &str, sequence: u64, version: &str) -> (String, ServerRecord) {
    let entry = ServerEntry {
        software_version: Some(version.to_owned()),
        ..entry(sequence, false, 1)
    };
    (id.to_owned(), ServerRecord::Report(entry))
}

#[test]
fn the_only_software_version_is_known_from_the_first_read_of_the_list() {
    let catalog = new_catalog();
    let now = BootInstant::now();
    apply_whole(&catalog, vec![report_of_version("a", 1, "v1")], now);

    assert_eq!(only_version(&catalog, "app", now).as_deref(), Some("v1"));
    let before = now.before(Duration::from_millis(1));
    assert_eq!(only_version(&catalog, "app", before), None);
    assert_eq!(only_version(&catalog, "other", now), None);
}

#[test]
fn a_software_version_counts_until_its_last_server_has_left_for_long_enough() {
    let catalog = new_catalog();
    let start = BootInstant::now();
    let second = |number| start.plus(Duration::from_secs(number));
    apply_whole(&catalog, vec![report_of_version("a", 1, "v1")], start);
    apply_changes(&catalog, vec![report_of_version("b", 1, "v2")], second(1));
    apply_changes(&catalog, vec![removed("a")], second(2));

    let served_until = second(2).plus(SERVING_AFTER_LEAVING);
    assert_eq!(only_version(&catalog, "app", second(3)), None);
    assert_eq!(only_version(&catalog, "app", served_until), None);
    let later = served_until.plus(Duration::from_millis(1));
    assert_eq!(only_version(&catalog, "app", later).as_deref(), Some("v2"));
}

#[test]
fn a_software_version_that_came_and_went_between_two_reads_counts() {
    let catalog = new_catalog();
    let now = BootInstant::now();
    apply_changes(&catalog, vec![report_of_version("a", 1, "v1")], now);

    apply_changes(
        &catalog,
        vec![report_of_version("b", 1, "v2"), removed("b")],
        now,
    );

    assert_eq!(only_version(&catalog, "app", now), None);
}

#[test]
fn software_versions_are_not_known_across_a_gap_in_the_reads_of_the_list() {
    let catalog = new_catalog();
    let start = BootInstant::now();
    apply_whole(&catalog, vec![report_of_version("a", 1, "v1")], start);
    let after_gap = start.plus(MAX_LIST_GAP * 2);
    apply_changes(&catalog, Vec::new(), after_gap);
    let with_all_changes = only_version(&catalog, "app", start);
    let after_gap = after_gap.plus(MAX_LIST_GAP * 2);
    apply_whole(&catalog, vec![report_of_version("a", 1, "v1")], after_gap);

    assert_eq!(with_all_changes.as_deref(), Some("v1"));
    assert_eq!(only_version(&catalog, "app", start), None);
    assert_eq!(
        only_version(&catalog, "app", after_gap).as_deref(),
        Some("v1")
    );
}

/// Returns the only version since `since`, by whatever read of the list.
fn only_version(catalog: &Catalog, service: &str, since: BootInstant) -> Option<String> {
    let only = catalog.only_version(service, since, BootInstant::default());
    only.map(|(only, _)| only.software_version)
}

fn offset_of(catalog: &Catalog) -> Option<u64> {
    catalog.servers_position().map(|position| position.offset)
}

// The older records replaced the newer ones, and the later position stayed, so that they were not read again.
#[test]
fn an_own_read_that_began_before_a_peers_list_was_applied_removes_what_joined_in_between() {
    let catalog = new_catalog();
    let start = BootInstant::now();
    let at = |millis| start.plus(Duration::from_millis(millis));
    let first = || vec![report_of_version("a", 1, "v1")];
    apply_whole(&catalog, first(), start);
    let read = ListRead {
        began: at(100),
        from: catalog.servers_position(),
        position: position(5),
        records: ServerRead::Whole(first()),
    };
    let ServerRecord::Report(joined) = report_of_version("b", 1, "v2").1 else {
        unreachable!()
    };
    catalog.apply_peer_list(PeerList {
        servers: Some(vec![
            peer_server("a", entry(1, false, 1)),
            peer_server("b", joined),
        ]),
        read_at: at(200),
        position: Some(position(6)),
        history: None,
    });

    let change = catalog.apply_list_read(read, at(300));

    assert_eq!(change, None);
    assert_eq!(usable(&catalog), ["a", "b"]);
    assert_eq!(offset_of(&catalog), Some(6));
    assert!(catalog.has_read_list_since(at(200)));
}

#[test]
fn an_older_read_sets_the_time_of_the_list_back() {
    let catalog = new_catalog();
    let start = BootInstant::now();
    let at = |millis| start.plus(Duration::from_millis(millis));
    apply_whole(&catalog, vec![report("a", 1, false, 1)], start);
    apply_peer_servers(&catalog, None, at(200));

    apply_changes(&catalog, Vec::new(), at(100));

    assert!(catalog.has_read_list_since(at(200)));
}

// A read of this node may begin earlier than a peer's, take longer, and see more.
#[test]
fn a_list_of_a_peer_that_has_read_less_removes_what_this_node_has_read() {
    let catalog = new_catalog();
    let start = BootInstant::now();
    let at = |millis| start.plus(Duration::from_millis(millis));
    apply_whole(&catalog, vec![report("a", 1, false, 1)], start);
    apply_changes(&catalog, vec![report("b", 1, false, 1)], at(100));
    let read = offset_of(&catalog).unwrap();

    let changed = catalog.apply_peer_list(PeerList {
        servers: Some(vec![peer_server("a", entry(1, false, 1))]),
        read_at: at(200),
        position: Some(position(read - 1)),
        history: None,
    });

    assert_eq!(changed, None);
    assert_eq!(usable(&catalog), ["a", "b"]);
    assert_eq!(offset_of(&catalog), Some(read));
    assert!(catalog.has_read_list_since(at(200)));
}

// After a standstill a version that had left long ago counted as listed until then.
#[test]
fn a_version_that_left_while_a_gateway_stood_still_counts_from_when_it_wakes() {
    let catalog = new_catalog();
    let now = BootInstant::now();
    let earlier = |seconds| now.before(Duration::from_secs(seconds));
    apply_whole(&catalog, vec![report_of_version("a", 1, "v1")], earlier(60));
    let ServerRecord::Report(joined) = report_of_version("b", 1, "v2").1 else {
        unreachable!()
    };
    let gone = SeenVersion {
        service: "app".to_owned(),
        software_version: Some("v1".to_owned()),
        last_listed_at: earlier(50),
    };

    catalog.apply_peer_list(PeerList {
        servers: Some(vec![peer_server("b", joined)]),
        read_at: now,
        position: None,
        history: Some(PeerHistory {
            known_since: earlier(60),
            versions: vec![gone],
        }),
    });

    assert_eq!(only_version(&catalog, "app", now).as_deref(), Some("v2"));
    assert_eq!(only_version(&catalog, "app", earlier(25)), None);
}

// Between two lists of a peer a server may have come, begun streams and gone.
#[test]
fn a_software_version_that_came_and_went_between_two_lists_of_a_peer_is_overlooked() {
    let start = BootInstant::now();
    let at = |millis| start.plus(Duration::from_millis(millis));
    let told = |known_since: Option<BootInstant>, versions: Vec<SeenVersion>| {
        let catalog = new_catalog();
        apply_whole(&catalog, vec![report_of_version("a", 1, "v1")], start);
        catalog.apply_peer_list(PeerList {
            servers: Some(vec![peer_server("a", entry(2, false, 1))]),
            read_at: at(1_500),
            position: None,
            history: known_since.map(|known_since| PeerHistory {
                known_since,
                versions,
            }),
        });
        only_version(&catalog, "app", start)
    };
    let gone = SeenVersion {
        service: "app".to_owned(),
        software_version: Some("v2".to_owned()),
        last_listed_at: at(700),
    };

    assert_eq!(told(None, Vec::new()), None);
    assert_eq!(told(Some(at(100)), Vec::new()), None);
    assert_eq!(told(Some(start), vec![gone]), None);
    assert_eq!(told(Some(start), Vec::new()).as_deref(), Some("v1"));
}

// What came and went between the peer's last read and the first one here was taken for known.
#[test]
fn a_restarted_gateway_trusts_a_peer_that_has_not_read_the_list_since() {
    let catalog = new_catalog();
    let now = BootInstant::now();
    let earlier = |seconds| now.before(Duration::from_secs(seconds));
    apply_whole(&catalog, vec![report_of_version("a", 1, "v2")], now);

    catalog.adopt_version_history((earlier(60), earlier(5)), Vec::new());

    assert_eq!(only_version(&catalog, "app", earlier(10)), None);
    assert_eq!(only_version(&catalog, "app", now).as_deref(), Some("v2"));
}

#[test]
fn a_restarted_gateway_knows_the_software_versions_that_its_peer_knows() {
    let catalog = new_catalog();
    let now = BootInstant::now();
    let earlier = |seconds| now.before(Duration::from_secs(seconds));
    apply_whole(&catalog, vec![report_of_version("a", 1, "v2")], now);
    let former = SeenVersion {
        service: "app".to_owned(),
        software_version: Some("v1".to_owned()),
        last_listed_at: earlier(20).before(SERVING_AFTER_LEAVING),
    };

    catalog.adopt_version_history((earlier(60), now), vec![former]);

    assert_eq!(
        only_version(&catalog, "app", earlier(10)).as_deref(),
        Some("v2")
    );
    assert_eq!(only_version(&catalog, "app", earlier(30)), None);
    assert_eq!(only_version(&catalog, "app", earlier(90)), None);
}

fn peer_server(id: &str, entry: ServerEntry) -> PeerServer {
    PeerServer {
        server: BackendServer {
            id: id.to_owned(),
            entry,
        },
        grace_until: None,
    }
}

#[test]
fn a_peers_list_ends_the_grace_period_of_the_servers_it_contains() {
    let (catalog, now) = after_list_gap(Duration::from_secs(5));
    apply_whole(&catalog, vec![report("a", 1, false, 1)], now);
    let on_peers_list = ["a", "b"].map(|id| peer_server(id, entry(1, false, 1)));

    apply_peer_servers(
        &catalog,
        Some(on_peers_list.to_vec()),
        now.plus(Duration::from_millis(100)),
    );
    catalog.expire_servers(now.plus(GRACE * 2));

    assert_eq!(usable(&catalog), ["a", "b"]);
}

#[test]
fn a_server_that_left_the_list_returns_with_a_later_list_of_a_peer() {
    let (catalog, now) = after_list_gap(Duration::from_secs(5));
    apply_whole(&catalog, vec![report("a", 1, false, 1)], now);
    catalog.expire_servers(now.plus(GRACE * 2));

    assert_eq!(usable(&catalog), ["a"]);
    let on_peers_list = ["a", "b"].map(|id| peer_server(id, entry(2, false, 1)));

    apply_peer_servers(&catalog, Some(on_peers_list.to_vec()), now.plus(GRACE * 3));

    assert_eq!(usable(&catalog), ["a", "b"]);
}

fn position(offset: u64) -> Position {
    Position { era: 0, offset }
}

fn evacuated(evacuations: &Evacuations) -> Vec<&str> {
    let centres = evacuations.evacuated().iter();
    centres.map(|centre| centre.data_centre.as_str()).collect()
}

fn whole(names: &[&str]) -> EvacuationRead {
    EvacuationRead::Whole(names.iter().map(|name| (*name).to_owned()).collect())
}

#[test]
fn evacuations_start_and_end_with_their_records() {
    let mut evacuations = Evacuations::default();
    let now = BootInstant::now();
    let changes = |changes: &[(&str, bool)]| {
        let changes = changes.iter().map(|(name, is)| ((*name).to_owned(), *is));
        EvacuationRead::Changes(changes.collect())
    };
    evacuations.apply(changes(&[("b", true), ("a", true)]), position(1), now);
    let first = evacuated(&evacuations).join(",");

    let change = evacuations.apply(changes(&[("a", false), ("c", true)]), position(2), now);

    assert_eq!(first, "a,b");
    assert_eq!(evacuated(&evacuations), ["b", "c"]);
    assert_eq!(
        (change.started, change.ended),
        (vec!["c".to_owned()], vec!["a".to_owned()])
    );
    assert_eq!(evacuations.returned_at("a"), Some(now));
    assert_eq!(evacuations.returned_at("b"), None);
}

#[test]
fn an_older_set_of_evacuations_changes_nothing() {
    let mut evacuations = Evacuations::default();
    let now = BootInstant::now();
    evacuations.apply(whole(&["a"]), position(5), now);

    // A peer that has read less, then one that has read the newest records after the older ones were dropped.
    evacuations.apply(whole(&[]), position(4), now);
    let after_older = evacuated(&evacuations).len();
    evacuations.apply(whole(&["a", "b"]), position(9), now);

    assert_eq!(after_older, 1);
    assert_eq!(evacuated(&evacuations), ["a", "b"]);
}

#[test]
fn a_store_restored_from_a_copy_tells_evacuations_anew() {
    let mut evacuations = Evacuations::default();
    let now = BootInstant::now();
    evacuations.apply(whole(&["a"]), position(50), now);

    evacuations.apply(whole(&[]), Position { era: 1, offset: 3 }, now);

    assert!(evacuated(&evacuations).is_empty());
    assert_eq!(evacuations.returned_at("a"), Some(now));
}
