//! One shard's stream: one task appends what calls ask for, several in one record, and reads what became of it.
//!
//! A call whose claim was not decided in time lets go of it in memory for good, so it may be told that it did not run;
//! where the claim shows up in the stream later it is released there.

use super::Call;
use super::IdempotencyKey;
use super::Settings;
use super::key::now_ms;
use super::key_table::ClaimId;
use super::key_table::DecidedClaim;
use super::key_table::KeyStatus;
use super::key_table::KeyTable;
use super::key_table::Verdict;
use super::log_health::LogHealth;
use super::record;
use super::record::Entry;
use super::stored_outcome::StoredOutcome;
use crate::border::AppendError;
use crate::border::LogService;
use crate::border::generated::platform::ReadResponse;
use crate::timeline::Timeline;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use uuid::Uuid;

/// Most entries of one record.
const MAX_ENTRIES: usize = 500;
/// Bytes of kept answers from which a record takes no further entry.
const MAX_RECORD_BYTES: usize = 64 * 1024;
/// Records of one read; so many of the largest fit into the largest answer that is read from the log.
const READ_LIMIT: u32 = 50;
/// Longest wait of a read for a record whose append was not answered.
const SETTLE_WAIT: Duration = Duration::from_millis(200);
/// Pause after the log refused or could not be read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What became of a call's claim.
#[derive(Debug)]
pub(super) enum Decision {
    /// It holds the key, under this number; it must be ended or released.
    Won(u64),
    /// The key is not this call's to run.
    Lost(KeyStatus),
    /// The claim is given up for good: the log could not decide it in time.
    GivenUp,
    /// No claim was made: there are too many keys.
    Full,
}

/// One shard.
pub(super) struct Shard {
    stream: String,
    node: String,
    own: Uuid,
    settings: Settings,
    log: Arc<dyn LogService>,
    health: Arc<LogHealth>,
    timeline: Arc<Timeline>,
    inner: Mutex<Inner>,
    wake: Notify,
}

struct Inner {
    key_table: KeyTable,
    /// Entries that are not in the log yet.
    pending: VecDeque<Entry>,
    /// Calls that wait for their claims, sorted by number.
    waiting: Vec<Waiter>,
    claims: u64,
    appending: bool,
}

struct Waiter {
    number: u64,
    call: Call,
    tx: oneshot::Sender<Decision>,
    /// Repeats that came meanwhile.
    repeats: Vec<oneshot::Sender<Decision>>,
}

impl Waiter {
    /// Tells the call and its repeats; tells whether the call still waited.
    fn tell(self, decision: Decision) -> bool {
        for repeat in self.repeats {
            let told = match &decision {
                Decision::Won(_) => Decision::Lost(KeyStatus::Running),
                Decision::Lost(status) => Decision::Lost(status.clone()),
                Decision::GivenUp | Decision::Full => Decision::GivenUp,
            };
            // Where it does not wait any more it has given up by itself.
            let _ = repeat.send(told);
        }
        self.tx.send(decision).is_ok()
    }
}

/// How far the stream was read.
#[derive(Default)]
struct Position {
    /// Offset of the next record to be read.
    next: u64,
    /// Number of the newest own record that was read.
    batch: u64,
}

/// What is looked for in the stream.
enum Sought {
    Offset(u64),
    Batch(u64),
}

impl Position {
    fn has(&self, sought: &Sought) -> bool {
        match sought {
            Sought::Offset(offset) => self.next > *offset,
            Sought::Batch(batch) => self.batch >= *batch,
        }
    }
}

impl Shard {
    /// Makes the shard with the given number; [`Shard::run`] must run beside it.
    pub(super) fn new(
        number: u64,
        node: &str,
        own: Uuid,
        settings: &Settings,
        log: Arc<dyn LogService>,
        health: Arc<LogHealth>,
        timeline: Arc<Timeline>,
    ) -> Arc<Self> {
        Arc::new(Self {
            stream: stream(number),
            node: node.to_owned(),
            own,
            settings: settings.clone(),
            log,
            health,
            timeline,
            inner: Mutex::new(Inner {
                key_table: KeyTable::new(own, settings.max_shard_bytes),
                pending: VecDeque::new(),
                waiting: Vec::new(),
                claims: 0,
                appending: false,
            }),
            wake: Notify::new(),
        })
    }

    /// Claims the key of `call` and waits for what becomes of it.
    pub(super) async fn claim(&self, call: Call) -> Decision {
        let (tx, mut rx) = oneshot::channel();
        let max_keys = self.settings.max_shard_keys;
        let early = self.lock().begin(call, tx, max_keys, &self.health);
        if let Some(early) = early {
            return early;
        }
        self.wake.notify_one();
        if let Ok(Ok(decision)) = tokio::time::timeout(self.settings.claim_timeout, &mut rx).await {
            return decision;
        }
        self.health.record(false);
        rx.close();
        // It may have been decided just now; it is given up all the same.
        if let Ok(Decision::Won(number)) = rx.try_recv() {
            self.release(call.key, number);
        }
        Decision::GivenUp
    }

    /// Notes how the call of an own claim ended.
    pub(super) fn end(&self, key: IdempotencyKey, number: u64, stored: StoredOutcome) {
        let own = ClaimId {
            incarnation: self.own,
            number,
        };
        let mut inner = self.lock();
        inner.key_table.end(key, own, stored.clone());
        inner.pending.push_back(Entry::Ended {
            key,
            claim: number,
            stored,
        });
        drop(inner);
        self.wake.notify_one();
    }

    /// Gives up an own claim whose call was not handed over and never will be.
    pub(super) fn release(&self, key: IdempotencyKey, number: u64) {
        self.lock().release(key, number);
        self.wake.notify_one();
    }

    /// Tells whether everything that calls asked for is in the log.
    pub(super) fn is_settled(&self) -> bool {
        let inner = self.lock();
        inner.pending.is_empty() && !inner.appending
    }

    /// Appends and reads for ever.
    pub(super) async fn run(self: Arc<Self>) {
        let mut position = Position::default();
        let mut batch = 0;
        loop {
            let entries = self.lock().take();
            if entries.is_empty() {
                self.wake.notified().await;
                continue;
            }
            let began = Instant::now();
            batch += 1;
            let is_done = self.commit(batch, entries, &mut position).await;
            self.lock().appending = false;
            self.health.record(is_done);
            let next = self.settings.commit_interval;
            tokio::time::sleep(next.saturating_sub(began.elapsed())).await;
        }
    }

    /// Appends one record and reads up to it; tells whether the log did both.
    async fn commit(&self, batch: u64, entries: Vec<Entry>, position: &mut Position) -> bool {
        let until = Instant::now() + self.settings.claim_timeout;
        let Ok(data) = record::encode(&self.node, self.own, batch, &entries) else {
            self.lock().put_back(entries);
            return false;
        };
        let sought = match self.log.append(&self.stream, &data).await {
            Ok(offset) => Sought::Offset(offset),
            Err(AppendError::NotAppended(cause)) => {
                slog::warn!(self.timeline.log(), "claims not appended"; "cause" => cause);
                self.lock().put_back(entries);
                tokio::time::sleep(RETRY_PAUSE).await;
                return false;
            }
            Err(AppendError::Unsettled(cause)) => {
                slog::warn!(self.timeline.log(), "append of claims not answered"; "cause" => cause);
                self.health.record(false);
                Sought::Batch(batch)
            }
        };
        let found = self.read_to(&sought, position, until).await;
        let is_appended = matches!(sought, Sought::Offset(_));
        match found || is_appended {
            true => self.lock().give_up(&entries),
            false => self.lock().put_back(entries),
        }
        found
    }

    /// Reads on until what is sought has been read, or until it is too late.
    async fn read_to(&self, sought: &Sought, position: &mut Position, until: Instant) -> bool {
        let wait = match sought {
            Sought::Offset(_) => Duration::ZERO,
            Sought::Batch(_) => SETTLE_WAIT,
        };
        while !position.has(sought) {
            if Instant::now() >= until {
                return false;
            }
            let read = self.log.read(&self.stream, position.next, READ_LIMIT, wait);
            let left = until.saturating_duration_since(Instant::now());
            let taken = match tokio::time::timeout(left, read).await {
                Ok(Ok(answer)) => self.take_in(&answer, position),
                Ok(Err(err)) => Err(format!("{err:?}")),
                Err(_) => Err("timeout".to_owned()),
            };
            if let Err(cause) = taken {
                slog::warn!(self.timeline.log(), "claims not read"; "cause" => cause);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        true
    }

    fn take_in(&self, answer: &ReadResponse, position: &mut Position) -> Result<(), String> {
        let now = now_ms();
        let Settings { window, skew, .. } = self.settings;
        self.check_gap(answer, position.next, now)?;
        position.next = position.next.max(answer.first_retained);
        let mut inner = self.lock();
        inner
            .key_table
            .prune(|key| key.age(now, window + 2 * skew, skew) == super::Age::Expired);
        for item in &answer.records {
            let record = record::decode(&item.data).map_err(|err| err.0)?;
            if record.incarnation == self.own {
                position.batch = position.batch.max(record.batch);
            }
            let decided = inner.key_table.apply(record, item.time_ms);
            position.next = item.offset + 1;
            decided.into_iter().for_each(|one| inner.resolve(one));
        }
        drop(inner);
        self.wake.notify_one();
        Ok(())
    }

    /// Records that the log no longer holds may only be of keys that are refused by their age.
    fn check_gap(&self, answer: &ReadResponse, next: u64, now: u64) -> Result<(), String> {
        if answer.next < next {
            return Err("the stream has lost records".to_owned());
        }
        if answer.first_retained <= next {
            return Ok(());
        }
        let covered = self.settings.window + 2 * self.settings.skew;
        let covered = u64::try_from(covered.as_millis()).unwrap_or(u64::MAX);
        let is_covered = answer
            .records
            .first()
            .is_some_and(|oldest| oldest.time_ms.saturating_add(covered) <= now);
        match is_covered {
            true => Ok(()),
            false => Err("the log's retention is shorter than the window of keys".to_owned()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Puts a call's claim among the pending ones, or decides it without one.
    fn begin(
        &mut self,
        call: Call,
        tx: oneshot::Sender<Decision>,
        max_keys: usize,
        health: &LogHealth,
    ) -> Option<Decision> {
        match self.key_table.status(call.key, &call.fingerprint) {
            // Another process's word may have come since; the claim's place in the stream tells.
            KeyStatus::Free | KeyStatus::Held { .. } => {}
            status => return Some(Decision::Lost(status)),
        }
        let is_open = |waiter: &&mut Waiter| waiter.call.key == call.key && !waiter.tx.is_closed();
        if let Some(first) = self.waiting.iter_mut().find(is_open) {
            if first.call.fingerprint != call.fingerprint {
                return Some(Decision::Lost(KeyStatus::Reused));
            }
            first.repeats.push(tx);
            return None;
        }
        if !health.should_try() {
            return Some(Decision::GivenUp);
        }
        if self.key_table.len() + self.waiting.len() >= max_keys {
            return Some(Decision::Full);
        }
        self.claims += 1;
        let number = self.claims;
        self.waiting.push(Waiter {
            number,
            call,
            tx,
            repeats: Vec::new(),
        });
        self.pending.push_back(Entry::Claim {
            key: call.key,
            claim: number,
            fingerprint: call.fingerprint,
        });
        None
    }

    /// Takes the next record's entries, without claims that nobody waits for any more.
    fn take(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        while entries.len() < MAX_ENTRIES && bytes < MAX_RECORD_BYTES {
            let Some(entry) = self.pending.pop_front() else {
                break;
            };
            if let Entry::Ended { stored, .. } = &entry {
                bytes += stored.body_len();
            }
            let is_claim = matches!(entry, Entry::Claim { .. });
            if !is_claim || self.is_awaited(entry.claim()) {
                entries.push(entry);
            }
        }
        self.appending = !entries.is_empty();
        entries
    }

    fn is_awaited(&mut self, number: u64) -> bool {
        match self.waiter(number) {
            Some(i) if self.waiting[i].tx.is_closed() => {
                self.waiting.remove(i);
                false
            }
            found => found.is_some(),
        }
    }

    fn waiter(&self, number: u64) -> Option<usize> {
        self.waiting
            .binary_search_by_key(&number, |waiter| waiter.number)
            .ok()
    }

    /// Gives up the claims among `entries` that are still undecided; they were or may have been appended.
    fn give_up(&mut self, entries: &[Entry]) {
        for entry in entries {
            if let Entry::Claim { claim, .. } = entry
                && let Some(i) = self.waiter(*claim)
            {
                self.waiting.remove(i).tell(Decision::GivenUp);
            }
        }
    }

    /// Gives up the claims among `entries`, and keeps the rest for the next record.
    fn put_back(&mut self, entries: Vec<Entry>) {
        self.give_up(&entries);
        for entry in entries.into_iter().rev() {
            if !matches!(entry, Entry::Claim { .. }) {
                self.pending.push_front(entry);
            }
        }
    }

    /// Tells a call what became of its claim; a claim that was given up before is released.
    fn resolve(&mut self, decided: DecidedClaim) {
        let DecidedClaim {
            key,
            number,
            verdict,
        } = decided;
        let is_won = verdict == Verdict::Won;
        let decision = match verdict {
            Verdict::Won => Decision::Won(number),
            Verdict::Lost(status) => Decision::Lost(status),
        };
        let is_told = self
            .waiter(number)
            .map(|i| self.waiting.remove(i))
            .is_some_and(|waiter| waiter.tell(decision));
        if is_won && !is_told {
            self.release(key, number);
        }
    }

    fn release(&mut self, key: IdempotencyKey, number: u64) {
        self.key_table.mark_releasing(key, number);
        self.pending
            .push_back(Entry::Released { key, claim: number });
    }
}

/// Names the stream of a shard.
fn stream(number: u64) -> String {
    format!("claims-{number}")
}
