//! Records of crashes between gateways, and the held parts in the store.

mod breaks;
mod busy_servers;
mod evidence;

use super::ledger::HoldLedger;
use super::ledger::Ledger;
use super::ledger::LedgerChange;
use super::ledger::LedgerEntry;
use super::ledger::LedgerSync;
use super::ledger::TrialClaims;
use super::record::CrashEvent;
use super::record::Records;
use super::rows::RecordSource;
use super::state::Quarantine;
use crate::catalog::Duties;
use crate::catalog::Position;
use crate::catalog::SourceError;
use crate::clock::BootInstant;
use crate::decide::Crash;
use crate::decide::Hold;
use crate::decide::Incarnation;
use crate::decide::PartVerdict;
use crate::decide::Suspect;
use crate::gateway::server_connector;
use crate::logs::Logs;
use async_trait::async_trait;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

const BAD: u64 = 0xbad;
const ALL: [RecordSource; 3] = [RecordSource::Own, RecordSource::Member, RecordSource::Relay];

/// A ledger in memory.
#[derive(Default)]
struct MemoryLedger {
    ledger: Mutex<Ledger>,
    is_down: AtomicBool,
}

#[async_trait]
impl HoldLedger for MemoryLedger {
    async fn read(&self, _: Duration) -> Result<Ledger, SourceError> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(SourceError::Timeout);
        }
        Ok(self.ledger.lock().unwrap().clone())
    }

    async fn write(
        &self,
        change: LedgerChange,
        end: Position,
        _: Duration,
    ) -> Result<bool, SourceError> {
        let mut ledger = self.ledger.lock().unwrap();
        if ledger.end != end {
            return Ok(false);
        }
        ledger.end.offset += 1;
        match change {
            LedgerChange::Put(entry) => {
                ledger.entries.retain(|known| known.part != entry.part);
                ledger.entries.push(entry);
                ledger.entries.sort_by_key(|entry| entry.part);
            }
            LedgerChange::Remove(part) => ledger.entries.retain(|known| known.part != part),
        }
        Ok(true)
    }
}

impl MemoryLedger {
    fn entries(&self) -> Vec<LedgerEntry> {
        self.ledger.lock().unwrap().entries.clone()
    }
}

fn quarantine() -> Arc<Quarantine> {
    Arc::new(Quarantine::new(Logs::silent(), &server_connector()))
}

/// Returns a crash `age_ms` ago under one request with [`BAD`], sent 20 ms before.
fn crash(age_ms: u64) -> Crash {
    let at = BootInstant::now().before(Duration::from_millis(age_ms));
    Crash {
        server: format!("i-{age_ms}"),
        start_time_ms: 1,
        at,
        suspects: vec![Suspect {
            request: age_ms,
            parts: vec![BAD],
            whole: None,
            sent_at: at.before(Duration::from_millis(20)),
        }],
    }
}

/// Returns a quarantine that holds [`BAD`] since `age_ms`.
fn holding(age_ms: u64) -> Arc<Quarantine> {
    let quarantine = quarantine();
    quarantine.record_crash(crash(age_ms + 1_000));
    quarantine.record_crash(crash(age_ms));
    quarantine
}

fn incarnation(server: &str) -> Incarnation {
    Incarnation {
        server: server.to_owned(),
        start_time_ms: 1,
    }
}

fn is_held(quarantine: &Quarantine) -> bool {
    matches!(quarantine.verdict(&[BAD]), PartVerdict::Held(..))
}

/// Sends all records of `from` to `to`, as to its relay.
fn send(from: &Quarantine, to: &Quarantine, sources: &[RecordSource], source: RecordSource) {
    let now = BootInstant::now();
    let (records, _) = from.records_from(0, sources, now);
    to.apply(records, source, now);
}

#[test]
fn records_keep_their_times_on_another_clock() {
    let now = BootInstant::from_boot(Duration::from_secs(500));
    let ms = Duration::from_millis;
    let mut sent = crash(0);
    sent.at = now.before(ms(70));
    sent.suspects[0].sent_at = now.before(ms(90));
    let hold = Hold {
        part: BAD,
        since: now.before(ms(40)),
        trials: 2,
        last_trial_at: Some(now.before(ms(30))),
    };
    let events = [
        CrashEvent::Crash(sent),
        CrashEvent::Sound(BAD, now.before(ms(10))),
        CrashEvent::Release(BAD, now.before(ms(5))),
        CrashEvent::Hold(hold),
    ];

    for event in events {
        let mut records = Records::default();
        event.add_to(&mut records, now);
        let crashes = records.crashes.into_iter();
        let received: Vec<CrashEvent> = crashes
            .map(|record| CrashEvent::from_record(record, now))
            .collect();
        assert_eq!(received, [event]);
    }
}

#[test]
fn crashes_at_two_gateways_hold_the_part_at_a_third() {
    let (first, second, relay, other_relay, member) = (
        quarantine(),
        quarantine(),
        quarantine(),
        quarantine(),
        quarantine(),
    );
    first.record_crash(crash(1_000));
    second.record_crash(crash(100));
    let up = [RecordSource::Own, RecordSource::Member];

    send(&first, &relay, &up, RecordSource::Member);
    send(&second, &other_relay, &up, RecordSource::Member);
    send(&relay, &other_relay, &up, RecordSource::Relay);
    send(&other_relay, &member, &ALL, RecordSource::Relay);

    assert!(!is_held(&relay));
    assert!(is_held(&other_relay));
    assert!(is_held(&member));
}

#[test]
fn records_that_come_back_are_no_news() {
    let (first, relay) = (holding(100), quarantine());
    send(&first, &relay, &ALL, RecordSource::Member);
    let mut changes = first.changes();
    changes.mark_unchanged();

    send(&relay, &first, &ALL, RecordSource::Relay);

    assert!(!changes.has_changed().unwrap());
}

#[test]
fn a_released_part_is_released_at_other_gateways() {
    let (first, second) = (holding(100), quarantine());
    send(&first, &second, &ALL, RecordSource::Member);
    assert!(is_held(&second));

    assert!(first.release(BAD));
    assert!(!first.release(BAD));
    send(&first, &second, &ALL, RecordSource::Member);

    assert!(!is_held(&second));
}

#[tokio::test]
async fn only_one_gateway_claims_a_trial() {
    let ledger = Arc::new(MemoryLedger::default());
    let shared: Arc<dyn HoldLedger> = Arc::<MemoryLedger>::clone(&ledger);
    let logs = Logs::silent();
    let gateways = [holding(6_000), holding(6_000)];
    let claims = gateways
        .each_ref()
        .map(|gateway| TrialClaims::new(gateway, &shared, &logs));

    let first = claims[0].claim(BAD).await;
    let second = claims[1].claim(BAD).await;

    assert_eq!((first, second), (true, false));
    assert!(gateways.iter().all(|gateway| is_held(gateway)));
    assert_eq!(
        ledger.entries(),
        [LedgerEntry {
            part: BAD,
            trials: 1,
            crashed: vec![incarnation("i-7000"), incarnation("i-6000")],
        }]
    );
}

#[tokio::test]
async fn a_gateway_that_the_store_refuses_claims_no_trial() {
    let ledger = Arc::new(MemoryLedger::default());
    ledger.is_down.store(true, Ordering::Relaxed);
    let shared: Arc<dyn HoldLedger> = ledger;
    let gateway = holding(6_000);

    let is_claimed = TrialClaims::new(&gateway, &shared, &Logs::silent())
        .claim(BAD)
        .await;

    assert!(!is_claimed);
}

// The entry of a trial that another gateway has claimed may be among those that were not read.
#[tokio::test]
async fn a_gateway_that_read_a_part_of_the_ledger_claims_a_trial() {
    let ledger = Arc::new(MemoryLedger::default());
    ledger.ledger.lock().unwrap().is_partial = true;
    let shared: Arc<dyn HoldLedger> = ledger;
    let gateway = holding(6_000);

    let is_claimed = TrialClaims::new(&gateway, &shared, &Logs::silent())
        .claim(BAD)
        .await;

    assert!(!is_claimed);
}

/// Returns the duties of a gateway that is the relay or not.
fn duties(is_relay: bool) -> Duties {
    let duties = Duties::default();
    duties.set_relay(is_relay);
    duties
}

#[tokio::test(start_paused = true)]
async fn a_restarted_gateway_holds_what_the_relay_has_written() {
    let ledger = Arc::new(MemoryLedger::default());
    let logs = Logs::silent();
    let start = |quarantine: &Arc<Quarantine>, is_relay| {
        let ledger: Arc<dyn HoldLedger> = Arc::<MemoryLedger>::clone(&ledger);
        LedgerSync::start(quarantine, ledger, duties(is_relay), &logs)
    };
    let relay = holding(100);
    let member = holding(100);

    let member_sync = start(&member, false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after_member = ledger.entries();
    let relay_sync = start(&relay, true);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let restarted = quarantine();
    let restarted_sync = start(&restarted, false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(after_member.is_empty());
    assert!(is_held(&restarted));

    relay.release(BAD);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(ledger.entries().is_empty());
    for sync in [member_sync, relay_sync, restarted_sync] {
        sync.close();
    }
}
