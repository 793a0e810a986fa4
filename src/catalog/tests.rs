//! What is believed of configuration and servers, and for how long.

use super::BackendServer;
use super::Catalog;
use super::CatalogBounds;
use super::ConfigChange;
use super::Configuration;
use super::Limits;
use super::RetryMode;
use super::Route;
use super::ServerEntry;
use super::ServerRecord;
use super::Team;
use crate::clock::Moment;
use std::net::SocketAddr;
use std::time::Duration;

const GRACE: Duration = Duration::from_secs(2);
const SILENCE: Duration = Duration::from_millis(2_400);

fn catalog() -> Catalog {
    Catalog::new(CatalogBounds {
        max_key_verification_age: Some(Duration::from_millis(4_500)),
        list_grace: GRACE,
        max_list_gap: SILENCE,
    })
}

fn entry(sequence: u64, is_draining: bool, start_time_ms: u64) -> ServerEntry {
    ServerEntry {
        service: "app".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: "north".to_owned(),
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

fn gone(id: &str) -> (String, ServerRecord) {
    (id.to_owned(), ServerRecord::Removed)
}

fn usable(catalog: &Catalog) -> Vec<String> {
    let (servers, _) = catalog.servers();
    servers.iter().map(|server| server.id.clone()).collect()
}

/// Catalog about servers a and b whose list was then out of reach for `silence`.
fn after_silence(silence: Duration) -> (Catalog, Moment) {
    let catalog = catalog();
    let now = Moment::now();
    catalog.record_list_read(now.before(silence));
    catalog.apply_servers(
        vec![report("a", 1, false, 1), report("b", 1, false, 1)],
        now,
    );
    catalog.record_list_read(now);
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
        teams,
        limits,
    )
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
fn versions_only_go_forward() {
    let catalog = catalog();

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
fn keys_are_believed_only_while_their_proof_is_young() {
    let catalog = catalog();
    let now = Moment::now();
    let before = catalog.are_keys_verified(now);

    catalog.record_config_verified(now);

    assert!(!before);
    assert!(catalog.are_keys_verified(now.plus(Duration::from_millis(4_400))));
    assert!(!catalog.are_keys_verified(now.plus(Duration::from_millis(4_600))));
}

#[test]
fn an_older_proof_does_not_replace_a_newer_one() {
    let catalog = catalog();
    let now = Moment::now().plus(Duration::from_secs(60));
    catalog.record_config_verified(now);

    catalog.record_config_verified(now.before(Duration::from_secs(30)));

    assert_eq!(catalog.config_age(now), Some(Duration::ZERO));
}

#[test]
fn late_copies_of_reports_change_nothing() {
    let catalog = catalog();
    let now = Moment::now();
    catalog.apply_servers(vec![report("a", 5, true, 10)], now);

    catalog.apply_servers(
        vec![report("a", 4, false, 10), report("a", 99, false, 9)],
        now,
    );

    assert!(usable(&catalog).is_empty());
}

#[test]
fn a_new_incarnation_under_an_old_name_counts_from_its_own_start() {
    let catalog = catalog();
    let now = Moment::now();
    catalog.apply_servers(vec![report("a", 50, true, 10)], now);

    catalog.apply_servers(vec![report("a", 1, false, 11)], now);

    assert_eq!(usable(&catalog), ["a"]);
    assert!(catalog.is_usable("a", 11));
    assert!(!catalog.is_usable("a", 10));
}

#[test]
fn a_server_taken_off_a_list_in_reach_is_out_at_once() {
    let (catalog, now) = after_silence(Duration::from_millis(700));

    catalog.apply_servers(vec![gone("a")], now);

    assert_eq!(usable(&catalog), ["b"]);
}

#[test]
fn entries_that_lapsed_while_the_list_was_away_have_two_seconds_to_come_back() {
    let (catalog, now) = after_silence(SILENCE * 2);

    catalog.apply_servers(vec![gone("a"), gone("b")], now);
    catalog.apply_servers(vec![report("a", 2, false, 1)], now.plus(GRACE / 2));
    let in_grace = usable(&catalog);
    catalog.expire_servers(now.plus(GRACE * 2));

    assert_eq!(in_grace, ["a", "b"]);
    assert_eq!(usable(&catalog), ["a"]);
}

#[test]
fn what_a_relay_leaves_out_is_out_at_once_even_after_a_silence() {
    let (catalog, now) = after_silence(SILENCE * 2);
    let told = vec![BackendServer {
        id: "b".to_owned(),
        entry: entry(2, false, 1),
    }];

    let changed = catalog.apply_peer_servers(Some(told), now.plus(Duration::from_millis(1)));

    assert_eq!(changed, ["a"]);
    assert_eq!(usable(&catalog), ["b"]);
}

#[test]
fn what_was_told_never_replaces_what_was_read_later() {
    let (catalog, now) = after_silence(Duration::ZERO);

    catalog.apply_peer_servers(Some(Vec::new()), now.before(Duration::from_secs(1)));

    assert_eq!(usable(&catalog), ["a", "b"]);
}
