//! Servers that refuse connections, alone or with others, and what gateways and the store make of it.

use super::ALL;
use super::BAD;
use super::MemoryLedger;
use super::crash;
use super::duties;
use super::holding;
use super::incarnation;
use super::is_held;
use super::quarantine;
use super::send;
use crate::catalog::BackendServer;
use crate::catalog::Catalog;
use crate::catalog::CatalogBounds;
use crate::catalog::PeerServer;
use crate::catalog::ReportStatus;
use crate::catalog::ServerEntry;
use crate::catalog::ServerRecord;
use crate::catalog::tests::apply_changes;
use crate::catalog::tests::apply_peer_servers;
use crate::clock::BootInstant;
use crate::decide::Incarnation;
use crate::decide::LifeSign;
use crate::decide::PartVerdict;
use crate::decide::Sight;
use crate::decide::Sighting;
use crate::decide::Suspect;
use crate::logs::Logs;
use crate::quarantine::HoldLedger;
use crate::quarantine::LedgerEntry;
use crate::quarantine::LedgerSync;
use crate::quarantine::Quarantine;
use crate::quarantine::RecordSource;
use crate::quarantine::Records;
use crate::quarantine::ServerReach;
use crate::quarantine::record::CrashEvent;
use crate::quarantine::renewal::RenewalWatch;
use crate::quarantine::renewal::Renewals;
use async_trait::async_trait;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::net::TcpListener;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns an entry of the server list.
fn listed(id: &str, data_centre: &str, address: SocketAddr) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        entry: ServerEntry {
            service: "llm".to_owned(),
            address,
            data_centre: data_centre.to_owned(),
            software_version: None,
            slots: 8,
            is_draining: false,
            cold_left: Duration::ZERO,
            sequence: 1,
            start_time_ms: 1,
        },
    }
}

/// Servers of which some are cut off: nothing listens at their addresses.
struct Servers {
    listed: Vec<BackendServer>,
    listeners: Vec<Option<TcpListener>>,
}

impl Servers {
    /// Starts a server in each of `data_centres`.
    async fn start(data_centres: &[&str]) -> Self {
        let mut servers = Self {
            listed: Vec::new(),
            listeners: Vec::new(),
        };
        for (number, data_centre) in data_centres.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let server = listed(&format!("i-{number}"), data_centre, address);
            servers.listed.push(server);
            servers.listeners.push(Some(listener));
        }
        servers
    }

    fn cut(&mut self, number: usize) {
        self.listeners[number] = None;
    }

    /// Reports that a request with [`BAD`] broke off at a server, `age_ms` after it was sent.
    async fn report_break(&self, gateway: &Quarantine, number: usize, age_ms: u64) -> bool {
        let suspect = Suspect {
            request: number as u64,
            parts: vec![BAD],
            whole: None,
            sent_at: BootInstant::now().before(ms(age_ms)),
        };
        let server = &self.listed[number];
        gateway.report_break(server, suspect, &self.listed).await
    }
}

/// What is found out of servers: those that `gone` names, and whether other gateways reach all.
#[derive(Default)]
struct Found {
    gone: Vec<&'static str>,
    /// What the servers that are gone show.
    sign: Option<LifeSign>,
    is_reached_by_others: bool,
    questions: AtomicUsize,
}

#[async_trait]
impl ServerReach for Found {
    async fn life_sign(&self, server: &BackendServer) -> LifeSign {
        self.questions.fetch_add(1, Relaxed);
        tokio::time::sleep(ms(10)).await;
        if self.gone.contains(&&*server.id) {
            self.sign.unwrap_or(LifeSign::NoAnswer)
        } else {
            LifeSign::SameProcess
        }
    }

    async fn is_reached_by_others(&self, _server: &BackendServer) -> bool {
        self.is_reached_by_others
    }
}

// A gateway that had lost its path to one server took the server for crashed and held the request back everywhere.
#[tokio::test]
async fn a_server_that_only_other_gateways_reach_shows_no_crash() {
    let mut servers = Servers::start(&["a", "b", "b"]).await;
    let gateway = quarantine();
    gateway.set_reach(Arc::new(Found {
        is_reached_by_others: true,
        ..Found::default()
    }));
    let mut reported = Vec::new();

    for number in 0..3 {
        servers.cut(number);
        reported.push(servers.report_break(&gateway, number, 40).await);
        tokio::time::sleep(ms(60)).await;
    }

    assert_eq!(reported, [false, false, false]);
    assert!(!is_held(&gateway));
}

#[tokio::test]
async fn servers_that_crash_one_after_another_are_reported() {
    let mut servers = Servers::start(&["a", "b", "b"]).await;
    let gateway = quarantine();
    let mut reported = Vec::new();

    for number in 0..3 {
        servers.cut(number);
        reported.push(servers.report_break(&gateway, number, 40).await);
        tokio::time::sleep(ms(60)).await;
    }

    assert_eq!(reported, [true, true, true]);
    assert!(is_held(&gateway));
}

#[tokio::test]
async fn requests_that_break_off_at_one_crash_try_the_other_servers_once() {
    let mut servers = Servers::start(&["a", "a", "b"]).await;
    let gateway = quarantine();
    servers.cut(0);

    let reports = (0..20).map(|request| {
        let suspect = Suspect {
            request,
            parts: Vec::new(),
            whole: Some(request),
            sent_at: BootInstant::now().before(ms(40)),
        };
        gateway.report_break(&servers.listed[0], suspect, &servers.listed)
    });
    let reported = futures_util::future::join_all(reports).await;

    let listener = servers.listeners[1].as_ref().unwrap();
    let mut connections = 0;
    while tokio::time::timeout(ms(50), listener.accept())
        .await
        .is_ok()
    {
        connections += 1;
    }
    assert_eq!(reported, [true; 20]);
    assert_eq!(connections, 1);
}

/// Reports that a request broke off at the first of three servers, all of which accept connections. Returns whether the server
/// counts as crashed.
async fn report_accepted(found: Found) -> bool {
    let servers = Servers::start(&["a", "b", "b"]).await;
    let gateway = quarantine();
    gateway.set_reach(Arc::new(found));
    servers.report_break(&gateway, 0, 40).await
}

fn first_gone(sign: LifeSign) -> Found {
    Found {
        gone: vec!["i-0"],
        sign: Some(sign),
        ..Found::default()
    }
}

#[tokio::test]
async fn a_server_that_is_gone_counts_as_living_because_a_relay_accepts_for_it() {
    for sign in [LifeSign::NoAnswer, LifeSign::OtherProcess] {
        assert!(report_accepted(first_gone(sign)).await, "{sign:?}");
    }
}

#[tokio::test]
async fn a_server_that_answers_late_or_without_its_name_or_has_no_connection_left_counts_as_crashed()
 {
    for sign in [
        LifeSign::Silent,
        LifeSign::Reset,
        LifeSign::Unnamed,
        LifeSign::SameProcess,
    ] {
        assert!(!report_accepted(first_gone(sign)).await, "{sign:?}");
    }
}

#[tokio::test]
async fn a_server_that_answers_other_gateways_counts_as_crashed_since_a_relay_lost_it_here() {
    let found = Found {
        is_reached_by_others: true,
        ..first_gone(LifeSign::NoAnswer)
    };

    assert!(!report_accepted(found).await);
}

#[tokio::test]
async fn servers_that_are_cut_off_behind_their_relays_count_as_crashed() {
    let servers = Servers::start(&["a", "a", "a", "a", "a", "b", "b", "b", "b", "b"]).await;
    let gateway = quarantine();
    gateway.set_reach(Arc::new(Found {
        gone: vec!["i-0", "i-1", "i-2", "i-3", "i-4"],
        ..Found::default()
    }));

    let mut reported = Vec::new();
    for number in 0..5 {
        reported.push(servers.report_break(&gateway, number, 1).await);
    }

    assert_eq!(reported, [false; 5]);
    assert!(gateway.crashed().is_empty());
}

#[tokio::test]
async fn each_request_that_breaks_off_at_one_crash_asks_the_server_anew() {
    let servers = Servers::start(&["a", "b", "b"]).await;
    let gateway = quarantine();
    let found = Arc::new(first_gone(LifeSign::NoAnswer));
    gateway.set_reach(Arc::clone(&found) as Arc<dyn ServerReach>);

    let reports = (0..20).map(|_| servers.report_break(&gateway, 0, 40));
    let reported = futures_util::future::join_all(reports).await;

    assert_eq!(reported, [true; 20]);
    // One goes to it and one to each of the others.
    assert_eq!(found.questions.load(Relaxed), 3);
}

#[test]
fn an_answered_suspect_leaves_nothing_to_compare_requests_with() {
    let gateway = quarantine();
    gateway.record_crash(crash(10));
    assert!(gateway.is_active());

    gateway.record_sound(&[BAD], BootInstant::now());

    assert!(!gateway.is_active());
}

#[tokio::test]
async fn a_data_centre_of_which_all_servers_refuse_is_cut_off() {
    let mut servers = Servers::start(&["a", "a", "a", "a", "a", "b", "b", "b", "b", "b"]).await;
    let gateway = quarantine();
    for number in 0..5 {
        servers.cut(number);
    }

    let mut reported = Vec::new();
    for number in 0..5 {
        reported.push(servers.report_break(&gateway, number, 1).await);
    }

    assert_eq!(reported, [false; 5]);
    assert!(gateway.crashed().is_empty());
}

#[tokio::test]
async fn a_gateway_that_all_servers_refuse_is_cut_off_itself() {
    let mut servers = Servers::start(&["a", "a", "b", "b", "c", "c"]).await;
    let gateway = quarantine();
    (0..6).for_each(|number| servers.cut(number));

    let is_reported = servers.report_break(&gateway, 0, 20).await;

    assert!(!is_reported);
}

#[tokio::test]
async fn of_a_few_servers_that_are_cut_off_together_only_the_first_is_reported() {
    let mut servers = Servers::start(&["a", "a", "a", "a", "b", "b", "b", "b"]).await;
    let gateways = [quarantine(), quarantine()];
    servers.cut(0);
    servers.cut(5);

    let first = servers.report_break(&gateways[0], 0, 20).await;
    send(&gateways[0], &gateways[1], &ALL, RecordSource::Relay);
    tokio::time::sleep(ms(5)).await;
    // Idle connections from before the cut break as requests are sent.
    let second = servers.report_break(&gateways[0], 5, 1).await;
    let third = servers.report_break(&gateways[1], 5, 1).await;
    let fourth = servers.report_break(&gateways[1], 0, 1).await;

    assert_eq!([first, second, third, fourth], [true, false, false, false]);
    assert!(!is_held(&gateways[0]));
}

#[tokio::test]
async fn a_server_that_refuses_one_gateway_is_seen_alive_by_another() {
    let mut servers = Servers::start(&["a", "a", "b", "b"]).await;
    let (cut_off, other) = (quarantine(), quarantine());
    let stream_began = BootInstant::now();
    for number in 0..2 {
        tokio::time::sleep(ms(10)).await;
        servers.cut(number);
        assert!(servers.report_break(&cut_off, number, 5).await);
    }
    send(&cut_off, &other, &ALL, RecordSource::Member);
    let held_before = is_held(&other);

    tokio::time::sleep(ms(300)).await;
    other.record_alive(&servers.listed[0], stream_began, BootInstant::now());
    send(&other, &cut_off, &ALL, RecordSource::Relay);

    assert!(held_before);
    assert!(!is_held(&other));
    assert!(!is_held(&cut_off));
}

#[test]
fn a_gateway_that_starts_later_learns_of_no_crash_that_an_answer_explained() {
    let (first, second, late) = (quarantine(), quarantine(), quarantine());
    first.record_crash(crash(1_000));
    send(&first, &second, &ALL, RecordSource::Member);
    second.record_sound(&[BAD], BootInstant::now().before(ms(500)));
    send(&second, &first, &ALL, RecordSource::Relay);

    // The gateway that saw the answer has ended, and others tell what they saw themselves.
    send(
        &first,
        &late,
        &[RecordSource::Own, RecordSource::Member],
        RecordSource::Relay,
    );
    late.record_crash(crash(100));

    assert!(!is_held(&late));
}

#[test]
fn a_retraction_reaches_all_gateways() {
    let (first, relay, member) = (holding(100), quarantine(), quarantine());
    send(&first, &relay, &ALL, RecordSource::Member);
    send(&relay, &member, &ALL, RecordSource::Relay);
    assert!(is_held(&member));

    first.record_renewal(incarnation("i-100"), BootInstant::now());
    send(&first, &relay, &ALL, RecordSource::Member);
    send(&relay, &member, &ALL, RecordSource::Relay);

    for gateway in [first, relay, member] {
        assert!(!is_held(&gateway));
        assert!(gateway.held_parts().is_empty());
    }
}

#[test]
fn sightings_keep_their_times_on_another_clock() {
    let now = BootInstant::from_boot(Duration::from_secs(500));
    let other_now = BootInstant::from_boot(Duration::from_secs(9_000));
    let sights = [
        (Sight::Lost, Sight::Lost),
        (
            Sight::Alive {
                since: now.before(ms(90)),
            },
            Sight::Alive {
                since: other_now.before(ms(90)),
            },
        ),
        (
            Sight::Alive {
                since: BootInstant::default(),
            },
            Sight::Alive {
                since: BootInstant::default(),
            },
        ),
    ];

    for (sent, expected) in sights {
        let sighting = |sight, now: BootInstant| {
            CrashEvent::Seen(Sighting {
                incarnation: incarnation("i-1"),
                at: now.before(ms(20)),
                sight,
            })
        };
        let mut records = Records::default();
        sighting(sent, now).add_to(&mut records, now);
        let record = records.sightings.remove(0);
        assert!(records.crashes.is_empty());
        let received = CrashEvent::from_sighting(record, other_now);
        assert_eq!(received, sighting(expected, other_now));
    }
}

/// Returns a ledger that holds [`BAD`] for the crashes of these servers.
async fn ledger(crashed: &[&str]) -> Arc<MemoryLedger> {
    let ledger = Arc::new(MemoryLedger::default());
    let entry = LedgerEntry {
        part: BAD,
        trials: 0,
        crashed: crashed.iter().map(|server| incarnation(server)).collect(),
    };
    ledger.ledger.lock().unwrap().entries.push(entry);
    ledger
}

fn start_sync(quarantine: &Arc<Quarantine>, ledger: &Arc<MemoryLedger>) -> LedgerSync {
    let ledger: Arc<dyn HoldLedger> = Arc::<MemoryLedger>::clone(ledger);
    LedgerSync::start(quarantine, ledger, duties(true), &Logs::silent())
}

#[tokio::test(start_paused = true)]
async fn an_entry_whose_servers_run_on_ends_after_a_restart() {
    let ledger = ledger(&["i-1", "i-2"]).await;
    let gateway = quarantine();
    let sync = start_sync(&gateway, &ledger);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let held_at_start = is_held(&gateway);

    gateway.record_renewal(incarnation("i-2"), BootInstant::now());
    tokio::time::sleep(Duration::from_secs(3)).await;

    assert!(held_at_start);
    assert!(!is_held(&gateway));
    assert!(ledger.entries().is_empty());
    sync.close();
}

#[tokio::test(start_paused = true)]
async fn an_entry_whose_servers_were_seen_again_is_not_adopted() {
    let ledger = ledger(&["i-1", "i-2"]).await;
    let gateway = quarantine();
    gateway.record_renewal(incarnation("i-1"), BootInstant::now());

    let sync = start_sync(&gateway, &ledger);
    tokio::time::sleep(Duration::from_secs(3)).await;

    assert!(!is_held(&gateway));
    assert!(ledger.entries().is_empty());
    sync.close();
}

#[tokio::test(start_paused = true)]
async fn an_entry_without_crashes_is_due_for_a_trial_at_once() {
    let ledger = ledger(&[]).await;
    let gateway = quarantine();

    let sync = start_sync(&gateway, &ledger);
    tokio::time::sleep(Duration::from_secs(3)).await;

    assert_eq!(gateway.verdict(&[BAD]), PartVerdict::TrialDue(BAD));
    sync.close();
}

/// Start time and sequence number of a report, and whether the server is listed.
type Report = (u64, u64, bool);

/// Checks reports of a server, each with the time of the read, its start time and number and whether it is listed, after a
/// crash at 1,000 ms of the incarnation that started at 1; returns when it is known to have run on. Servers report each
/// second.
fn check_reports(reports: &[(u64, Option<Report>)]) -> Vec<BootInstant> {
    let mut renewals = Renewals::new(ms(1_000));
    let crashed: [(Incarnation, BootInstant); 1] =
        [(incarnation("i-1"), BootInstant::from_boot(ms(1_000)))];
    let report_of = |report: Option<Report>| {
        report.map(|(start_time_ms, sequence, is_listed)| ReportStatus {
            start_time_ms,
            sequence,
            is_listed,
        })
    };
    let mut found = Vec::new();
    for (read_ms, report) in reports {
        let read_at = BootInstant::from_boot(ms(*read_ms));
        let renewed = renewals.check(&crashed, &|_| report_of(*report), read_at);
        found.extend(renewed.into_iter().map(|(_, at)| at));
    }
    found
}

#[test]
fn a_report_after_the_crash_shows_that_the_server_runs_on() {
    let at = |millis| BootInstant::from_boot(ms(millis));
    let report = |sequence| Some((1, sequence, true));

    // The second one may have been written just before the crash.
    let reports = [(900, report(7)), (1_100, report(8))];
    assert!(check_reports(&reports).is_empty());

    let reports = [(1_400, report(8)), (2_000, None), (2_600, report(9))];
    assert_eq!(check_reports(&reports), [at(1_400)]);

    // The last crash counts.
    let mut renewals = Renewals::new(ms(1_000));
    let mut check = |crashed_ms, read_ms, sequence| {
        let crashed = [(incarnation("i-1"), at(crashed_ms))];
        let report = ReportStatus {
            start_time_ms: 1,
            sequence,
            is_listed: true,
        };
        renewals.check(&crashed, &|_| Some(report), at(read_ms))
    };
    assert!(check(1_000, 1_400, 8).is_empty());
    assert!(check(2_000, 2_100, 9).is_empty());

    let restarted = Some((5, 9, true));
    let reports = [(1_400, report(8)), (2_600, restarted), (3_000, restarted)];
    assert!(check_reports(&reports).is_empty());
}

#[test]
fn an_entry_that_is_kept_for_longer_than_a_crash_allows_shows_that_the_server_runs_on() {
    let at = |millis| BootInstant::from_boot(ms(millis));
    let reads = |until_ms: u64, gap_at_ms: u64, is_listed: bool| {
        let times = (1_400..=until_ms).step_by(500);
        let readable =
            times.filter(move |read_ms| !(gap_at_ms..gap_at_ms + 2_500).contains(read_ms));
        let reports = readable.map(|read_ms| (read_ms, Some((1, 8, is_listed))));
        reports.collect::<Vec<_>>()
    };

    assert!(check_reports(&reads(5_400, 90_000, true)).is_empty());
    assert_eq!(check_reports(&reads(5_900, 90_000, true)), [at(1_400)]);
    assert!(check_reports(&reads(9_900, 90_000, false)).is_empty());
    // Entries may not have expired while the list could not be read.
    assert!(check_reports(&reads(8_400, 2_000, true)).is_empty());
}

/// Time in which a watch compares the list with what it was, with room for a busy host.
const WATCHED: Duration = Duration::from_millis(1_200);

/// Returns the entry of `i-100`, the server of a crash 100 ms ago.
fn crashed_entry(sequence: u64) -> BackendServer {
    let mut server = listed("i-100", "north", SocketAddr::from(([127, 0, 0, 1], 80)));
    server.entry.sequence = sequence;
    server
}

/// Takes over a list that a peer has read now.
async fn tell(catalog: &Catalog, sequence: Option<u64>) {
    let server = sequence.map(|sequence| PeerServer {
        server: crashed_entry(sequence),
        grace_until: None,
    });
    apply_peer_servers(
        catalog,
        server.map(|server| vec![server]),
        BootInstant::now(),
    );
    tokio::time::sleep(WATCHED).await;
}

/// Reads the list.
async fn read(catalog: &Catalog, sequence: u64) {
    let server = crashed_entry(sequence);
    let records = vec![(server.id, ServerRecord::Report(server.entry))];
    apply_changes(catalog, records, BootInstant::now());
    tokio::time::sleep(WATCHED).await;
}

// A list that a peer told with a report from before the crash counted as a renewal after it.
#[tokio::test]
async fn a_report_from_before_the_crash_that_a_peer_tells_later_shows_the_server_alive() {
    let quarantine = quarantine();
    let catalog = Arc::new(Catalog::new(CatalogBounds {
        max_key_verification_age: None,
        max_denial_age: ms(2_000),
        list_grace: ms(2_000),
        max_list_gap: ms(10_000),
    }));
    let duties = duties(true);
    let watch = RenewalWatch::start(&quarantine, &catalog, &duties, ms(5_000));
    quarantine.record_crash(crash(100));

    // The second list is the same but for numbers, and the third brings those of the time before the crash.
    tell(&catalog, Some(5)).await;
    tell(&catalog, None).await;
    tell(&catalog, Some(8)).await;
    assert!(!quarantine.crashed().is_empty());

    // What this gateway reads itself is as new as the read.
    read(&catalog, 8).await;
    assert!(!quarantine.crashed().is_empty());
    read(&catalog, 9).await;
    assert!(quarantine.crashed().is_empty());
    watch.close();
}

// Each change between own and told lists began the comparison anew, so a kept entry never showed that its server runs on.
#[test]
fn an_entry_kept_while_own_and_told_lists_alternate_never_shows_that_the_server_runs_on() {
    let at = |millis| BootInstant::from_boot(ms(millis));
    let mut renewals = Renewals::new(ms(1_000));
    let crashed = [(incarnation("i-1"), at(1_000))];
    let report = ReportStatus {
        start_time_ms: 1,
        sequence: 8,
        is_listed: true,
    };

    let mut found = Vec::new();
    for (number, read_ms) in (1_400..=5_900).step_by(500).enumerate() {
        renewals.follow((number % 2 == 0).then_some(number as u64));
        found.extend(renewals.check(&crashed, &|_| Some(report), at(read_ms)));
    }

    assert_eq!(found, [(incarnation("i-1"), at(1_400))]);
}
