use super::Age;
use super::IdempotencyKey;
use super::KeyError;
use super::Run;
use super::Settings;
use super::Ticket;
use super::Tickets;
use super::key_table::KeyStatus;
use super::key_table::KeyTable;
use super::key_table::Verdict;
use super::record::Entry;
use super::record::Record;
use super::stored_outcome::StoredOutcome;
use crate::net::full_body;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::owner::Answer;
use crate::settings::DeploymentKey;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use async_trait::async_trait;
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use uuid::Uuid;

const FINGERPRINT: [u8; 32] = [1; 32];
/// Number of random interleavings of claimers, each of 60 steps.
const INTERLEAVINGS: u64 = 2_000;

fn key() -> IdempotencyKey {
    Uuid::now_v7().to_string().parse().unwrap()
}

fn deployment_key(digit: &str) -> DeploymentKey {
    digit.repeat(64).parse().unwrap()
}

fn claim(key: IdempotencyKey, claim: u64) -> Entry {
    let fingerprint = FINGERPRINT;
    Entry::Claim {
        key,
        claim,
        fingerprint,
    }
}

fn ended(key: IdempotencyKey, claim: u64, body: &'static [u8]) -> Entry {
    let stored = StoredOutcome::Answered {
        status: 200,
        content_type: None,
        body: Some(Bytes::from_static(body)),
    };
    Entry::Ended { key, claim, stored }
}

fn record(incarnation: Uuid, entries: Vec<Entry>) -> Record {
    Record {
        incarnation,
        batch: 1,
        entries,
    }
}

#[test]
fn only_uuids_of_version_7_are_keys() {
    let seven = "0190b6c5-7c3e-7e4a-9d5b-2f6c8a1e4b3d";
    let four = "0190b6c5-7c3e-4e4a-9d5b-2f6c8a1e4b3d";

    assert_eq!(seven.parse::<IdempotencyKey>().unwrap().to_string(), seven);
    assert_eq!(four.parse::<IdempotencyKey>(), Err(KeyError));
    assert_eq!("".parse::<IdempotencyKey>(), Err(KeyError));
}

#[test]
fn the_age_of_a_key_is_computed_from_its_own_time() {
    let key: IdempotencyKey = "0190b6c5-7c3e-7e4a-9d5b-2f6c8a1e4b3d".parse().unwrap();
    let created = key.time_ms();
    let [window, skew] = [Duration::from_secs(10), Duration::from_secs(2)];

    assert_eq!(key.age(created - 2_001, window, skew), Age::Future);
    assert_eq!(key.age(created - 2_000, window, skew), Age::Fresh);
    assert_eq!(key.age(created + 10_000, window, skew), Age::Fresh);
    assert_eq!(key.age(created + 10_001, window, skew), Age::Expired);
}

#[test]
fn stored_bodies_above_the_limit_are_evicted_oldest_first() {
    let own = Uuid::new_v4();
    let mut table = KeyTable::new(own, 6);
    let keys = [key(), key()];
    for key in keys {
        table.apply(record(own, vec![claim(key, 1), ended(key, 1, b"paid")]), 0);
    }

    let kept = keys.map(|key| match table.status(key, &FINGERPRINT) {
        KeyStatus::Done(stored) => stored.body_len(),
        other => panic!("{other:?}"),
    });

    assert_eq!(kept, [0, 4]);
}

#[test]
fn only_the_holder_ends_or_releases_a_claim() {
    let [own, other] = [Uuid::new_v4(), Uuid::new_v4()];
    let mut table = KeyTable::new(own, 100);
    let key = key();
    table.apply(record(own, vec![claim(key, 1)]), 0);

    let released = Entry::Released { key, claim: 1 };
    table.apply(record(other, vec![released, ended(key, 1, b"paid")]), 0);

    assert_eq!(table.status(key, &FINGERPRINT), KeyStatus::Running);
}

/// A process that claims one key repeatedly and has read the stream up to a position of its own.
struct Claimer {
    own_incarnation: Uuid,
    table: KeyTable,
    /// Index of the next record to read.
    next: usize,
    last_claim: u64,
    /// Numbers of the claims that were given up before they were decided, or whose call has run.
    given_up: Vec<u64>,
    /// Numbers of the claims that hold the key and whose call has not run.
    won: Vec<u64>,
}

impl Claimer {
    fn new() -> Self {
        let own_incarnation = Uuid::new_v4();
        Self {
            own_incarnation,
            table: KeyTable::new(own_incarnation, 100),
            next: 0,
            last_claim: 0,
            given_up: Vec::new(),
            won: Vec::new(),
        }
    }

    /// Applies the next record of the stream.
    fn read_next(&mut self, stream: &mut Vec<Record>, key: IdempotencyKey) {
        let Some(next) = stream.get(self.next).cloned() else {
            return;
        };
        self.next += 1;
        for decided in self.table.apply(next, 0) {
            if decided.verdict != Verdict::Won {
                continue;
            }
            if self.given_up.contains(&decided.number) || self.won.contains(&decided.number) {
                self.table.mark_releasing(key, decided.number);
                let claim = decided.number;
                stream.push(record(
                    self.own_incarnation,
                    vec![Entry::Released { key, claim }],
                ));
            } else {
                self.won.push(decided.number);
            }
        }
    }
}

/// Lets three claimers take random steps, and returns how often the key's call ran. Claimers claim, give up, read the
/// stream late, run the call, and append or lose its outcome; records are appended a second time.
fn interleave(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<u32> {
    let key = key();
    let mut stream: Vec<Record> = Vec::new();
    let mut claimers = [Claimer::new(), Claimer::new(), Claimer::new()];
    let mut runs = 0;
    for _ in 0..60 {
        let i = u.choose_index(claimers.len())?;
        let claimer = &mut claimers[i];
        match u.int_in_range(0..=5)? {
            0 if claimer.table.status(key, &FINGERPRINT) != KeyStatus::Running => {
                claimer.last_claim += 1;
                stream.push(record(
                    claimer.own_incarnation,
                    vec![claim(key, claimer.last_claim)],
                ));
            }
            1 => {
                let number = u.int_in_range(0..=claimer.last_claim)?;
                if !claimer.won.contains(&number) {
                    claimer.given_up.push(number);
                }
            }
            2 if !stream.is_empty() => {
                // An append that the network delayed or duplicated arrives again.
                let late = stream[u.choose_index(stream.len())?].clone();
                stream.push(late);
            }
            3 => {
                if let Some(number) = claimer.won.pop() {
                    runs += 1;
                    let end = ended(key, number, b"paid");
                    // A process that ends here never appends the outcome.
                    if u.ratio(3, 4)? {
                        stream.push(record(claimer.own_incarnation, vec![end]));
                    }
                    claimer.given_up.push(number);
                }
            }
            _ => claimer.read_next(&mut stream, key),
        }
    }
    Ok(runs)
}

#[test]
fn no_interleaving_of_claimers_runs_a_key_twice() {
    let mut ran = 0;
    for number in 0..INTERLEAVINGS {
        // The low 32 bits of a seed are the number of random bytes.
        arbtest(|u| {
            let runs = interleave(u)?;
            assert!(runs <= 1, "{runs} runs");
            ran += runs;
            Ok(())
        })
        .seed(number << 32 | 0x1000);
    }
    assert!(ran > 0, "no interleaving ran the key at all");
}

/// Counts the runs of a call, and ends each with `refusal`, or with an answer if that is `None`.
struct Counting {
    runs: AtomicU32,
    refusal: Option<Refusal>,
}

#[async_trait]
impl Run for Counting {
    async fn run(&self) -> Result<Answer, Refusal> {
        self.runs.fetch_add(1, Ordering::Relaxed);
        match &self.refusal {
            Some(refusal) => Err(refusal.clone()),
            None => Ok(Answer {
                status: 200,
                content_type: None,
                load: 0,
                hint: None,
                body: full_body("paid"),
            }),
        }
    }
}

fn counting(refusal: Option<Refusal>) -> Arc<Counting> {
    let runs = AtomicU32::new(0);
    Arc::new(Counting { runs, refusal })
}

fn tickets(settings: &Settings) -> Tickets {
    Tickets::new("dc1.n1", &deployment_key("1"), settings)
}

fn issued(tickets: &Tickets) -> Ticket {
    Ticket::parse(&tickets.issue("red"), "red", &deployment_key("1")).unwrap()
}

#[test]
fn a_ticket_is_valid_for_its_team_and_deployment_key_only() {
    let text = tickets(&Settings::default()).issue("red");
    let forged = text.replacen("dc1.n1", "dc1.n2", 1);

    let parse = |text, team, digit| Ticket::parse(text, team, &deployment_key(digit));

    assert_eq!(parse(&text, "red", "1").unwrap().node, "dc1.n1");
    assert_eq!(parse(&text, "blue", "1"), None);
    assert_eq!(parse(&text, "red", "2"), None);
    assert_eq!(parse(&forged, "red", "1"), None);
    assert_eq!(parse("ticket", "red", "1"), None);
}

#[tokio::test]
async fn a_ticket_runs_once_and_retries_get_its_answer() {
    let tickets = tickets(&Settings::default());
    let ticket = issued(&tickets);
    let run = counting(None);

    for _ in 0..2 {
        assert!(
            tickets
                .redeem(&ticket, FINGERPRINT, run.clone())
                .await
                .is_ok()
        );
    }
    let other = tickets.redeem(&ticket, [2; 32], run.clone()).await;

    assert_eq!(other.err(), Some(Refusal::not_run(NotRun::KeyReused)));
    assert_eq!(run.runs.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_ticket_that_may_have_run_never_runs_again() {
    let tickets = tickets(&Settings::default());
    let ticket = issued(&tickets);
    let lost = Refusal::unknown(Unknown::ConnectionLost);
    let run = counting(Some(lost.clone()));

    for _ in 0..2 {
        let seen = tickets.redeem(&ticket, FINGERPRINT, run.clone()).await;
        assert_eq!(seen.err(), Some(lost.clone()));
    }

    assert_eq!(run.runs.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_ticket_whose_call_certainly_did_not_run_may_be_redeemed_again() {
    let tickets = tickets(&Settings::default());
    let ticket = issued(&tickets);
    let refused = counting(Some(Refusal::not_run(NotRun::NoBackend)));

    assert!(tickets.redeem(&ticket, FINGERPRINT, refused).await.is_err());

    let run = counting(None);
    assert!(tickets.redeem(&ticket, FINGERPRINT, run).await.is_ok());
}

#[tokio::test]
async fn another_process_does_not_redeem_a_ticket() {
    let ticket = issued(&tickets(&Settings::default()));
    let run = counting(None);

    let seen = tickets(&Settings::default())
        .redeem(&ticket, FINGERPRINT, run.clone())
        .await;

    assert_eq!(seen.err(), Some(Refusal::unknown(Unknown::ClaimerLost)));
    assert_eq!(run.runs.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_ticket_expires_by_its_issuers_clock() {
    let settings = Settings {
        ticket_ttl: Duration::from_millis(100),
        ..Settings::default()
    };
    let tickets = tickets(&settings);
    let [late, used] = [issued(&tickets), issued(&tickets)];
    let run = counting(None);
    let redeem = async |ticket| tickets.redeem(ticket, FINGERPRINT, run.clone()).await.err();
    assert_eq!(redeem(&used).await, None);

    tokio::time::sleep(Duration::from_millis(201)).await;

    let expired = Some(Refusal::unknown(Unknown::Expired));
    assert_eq!(redeem(&used).await, expired);
    assert_eq!(redeem(&late).await, expired);
    assert_eq!(run.runs.load(Ordering::Relaxed), 1);
}
