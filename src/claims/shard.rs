//! Claims of one shard, stored in one stream of the log.
//!
//! One task per shard appends the queued entries of several calls as one record, then reads the stream up to that
//! record to learn which claims hold their keys.
//!
//! A call whose claim is not decided within the timeout gives up the claim in memory and never runs, so its caller may
//! get `not-run`. If the stream later shows that this claim holds the key, the shard appends its release.

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

/// Maximum number of entries in one record.
const MAX_RECORD_ENTRIES: usize = 500;
/// Total size of stored bodies from which no further entry is added to a record. The last entry may exceed it.
const MAX_RECORD_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of records in one read. This many records of maximum size fit into the largest response that is
/// accepted from the log.
const MAX_READ_RECORDS: u32 = 50;
/// Maximum time for which one read waits for new records, when the append was not confirmed.
const UNCONFIRMED_READ_WAIT: Duration = Duration::from_millis(200);
/// Pause after an append or a read failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Result of a call's claim.
#[derive(Debug)]
pub(super) enum Decision {
    /// The claim with this number holds the key. The caller must end or release it.
    Won(u64),
    /// The call must not run, because of this state of its key.
    Lost(KeyStatus),
    /// The claim was given up because the log did not decide it in time. It will never run the call.
    GivenUp,
    /// No claim was made, because the shard has its maximum number of keys.
    Full,
}

/// Claims of one shard.
pub(super) struct Shard {
    stream: String,
    node: String,
    own_incarnation: Uuid,
    settings: Settings,
    log: Arc<dyn LogService>,
    health: Arc<LogHealth>,
    timeline: Arc<Timeline>,
    state: Mutex<ShardState>,
    /// Wakes [`Shard::run`] when entries were queued.
    wake: Notify,
}

struct ShardState {
    key_table: KeyTable,
    /// Entries that are not appended to the log yet.
    pending: VecDeque<Entry>,
    /// Calls that wait for the decision on their claims, sorted by claim number.
    waiters: Vec<Waiter>,
    /// Number of the latest claim.
    last_claim: u64,
    /// Whether a record is being appended and read.
    appending: bool,
}

/// A call that waits for the decision on its claim.
struct Waiter {
    number: u64,
    call: Call,
    tx: oneshot::Sender<Decision>,
    /// Caller's retries with the same key that arrived while the claim is undecided.
    retries: Vec<oneshot::Sender<Decision>>,
}

impl Waiter {
    /// Sends the decision to the call and to its retries. Returns whether the call was still waiting.
    fn notify(self, decision: Decision) -> bool {
        for retry in self.retries {
            let retry_decision = match &decision {
                Decision::Won(_) => Decision::Lost(KeyStatus::Running),
                Decision::Lost(status) => Decision::Lost(status.clone()),
                Decision::GivenUp | Decision::Full => Decision::GivenUp,
            };
            // Sending fails if the retry's own timeout has passed; that retry has already returned.
            let _ = retry.send(retry_decision);
        }
        self.tx.send(decision).is_ok()
    }
}

/// Position up to which the stream was read.
#[derive(Default)]
struct ReadPosition {
    /// Offset of the next record to read.
    next_offset: u64,
    /// Highest batch number among the records of this process that were read.
    own_batch: u64,
}

/// Record up to which the stream is to be read: its offset if the append was confirmed, otherwise its batch number.
enum ReadTarget {
    Offset(u64),
    Batch(u64),
}

impl ReadPosition {
    fn has_reached(&self, target: &ReadTarget) -> bool {
        match target {
            ReadTarget::Offset(offset) => self.next_offset > *offset,
            ReadTarget::Batch(batch) => self.own_batch >= *batch,
        }
    }
}

impl Shard {
    /// Creates the shard with the given number. Claims are decided only while [`Shard::run`] is running.
    pub(super) fn new(
        number: u64,
        node: &str,
        own_incarnation: Uuid,
        settings: &Settings,
        log: Arc<dyn LogService>,
        health: Arc<LogHealth>,
        timeline: Arc<Timeline>,
    ) -> Arc<Self> {
        Arc::new(Self {
            stream: stream_name(number),
            node: node.to_owned(),
            own_incarnation,
            settings: settings.clone(),
            log,
            health,
            timeline,
            state: Mutex::new(ShardState {
                key_table: KeyTable::new(own_incarnation, settings.max_shard_bytes),
                pending: VecDeque::new(),
                waiters: Vec::new(),
                last_claim: 0,
                appending: false,
            }),
            wake: Notify::new(),
        })
    }

    /// Claims the key of `call` and waits for the decision.
    pub(super) async fn claim(&self, call: Call) -> Decision {
        let (tx, mut rx) = oneshot::channel();
        let max_keys = self.settings.max_shard_keys;
        let immediate = self.lock().begin_claim(call, tx, max_keys, &self.health);
        if let Some(immediate) = immediate {
            return immediate;
        }
        self.wake.notify_one();
        if let Ok(Ok(decision)) = tokio::time::timeout(self.settings.claim_timeout, &mut rx).await {
            return decision;
        }
        self.health.record(false);
        rx.close();
        // The claim may have been decided just after the timeout. It is given up nevertheless.
        if let Ok(Decision::Won(number)) = rx.try_recv() {
            self.release(call.key, number);
        }
        Decision::GivenUp
    }

    /// Records the outcome of the call of this process's claim `number`.
    pub(super) fn end(&self, key: IdempotencyKey, number: u64, stored: StoredOutcome) {
        let own = ClaimId {
            incarnation: self.own_incarnation,
            number,
        };
        let mut state = self.lock();
        state.key_table.end(key, own, stored.clone());
        state.pending.push_back(Entry::Ended {
            key,
            claim: number,
            stored,
        });
        drop(state);
        self.wake.notify_one();
    }

    /// Gives up this process's claim `number`, whose call certainly did not run and never will.
    pub(super) fn release(&self, key: IdempotencyKey, number: u64) {
        self.lock().release(key, number);
        self.wake.notify_one();
    }

    /// Returns whether no entry is waiting to be appended or being appended.
    pub(super) fn is_settled(&self) -> bool {
        let state = self.lock();
        state.pending.is_empty() && !state.appending
    }

    /// Appends queued entries and reads the stream, in an endless loop.
    pub(super) async fn run(self: Arc<Self>) {
        let mut position = ReadPosition::default();
        let mut batch = 0;
        loop {
            let entries = self.lock().take_entries();
            if entries.is_empty() {
                self.wake.notified().await;
                continue;
            }
            let started_at = Instant::now();
            batch += 1;
            let is_done = self.commit(batch, entries, &mut position).await;
            self.lock().appending = false;
            self.health.record(is_done);
            let interval = self.settings.commit_interval;
            tokio::time::sleep(interval.saturating_sub(started_at.elapsed())).await;
        }
    }

    /// Appends one record and reads the stream up to it. Returns whether both succeeded.
    async fn commit(&self, batch: u64, entries: Vec<Entry>, position: &mut ReadPosition) -> bool {
        let deadline = Instant::now() + self.settings.claim_timeout;
        let Ok(data) = record::encode(&self.node, self.own_incarnation, batch, &entries) else {
            self.lock().requeue(entries);
            return false;
        };
        let target = match self.log.append(&self.stream, &data).await {
            Ok(offset) => ReadTarget::Offset(offset),
            Err(AppendError::NotAppended(cause)) => {
                slog::warn!(self.timeline.log(), "claims not appended"; "cause" => cause);
                self.lock().requeue(entries);
                tokio::time::sleep(RETRY_PAUSE).await;
                return false;
            }
            Err(AppendError::Unsettled(cause)) => {
                slog::warn!(self.timeline.log(), "append of claims not answered"; "cause" => cause);
                self.health.record(false);
                ReadTarget::Batch(batch)
            }
        };
        let found = self.read_to(&target, position, deadline).await;
        let is_appended = matches!(target, ReadTarget::Offset(_));
        match found || is_appended {
            true => self.lock().give_up_claims(&entries),
            false => self.lock().requeue(entries),
        }
        found
    }

    /// Reads the stream until `target` is reached or `deadline` has passed. Returns whether `target` was reached.
    async fn read_to(
        &self,
        target: &ReadTarget,
        position: &mut ReadPosition,
        deadline: Instant,
    ) -> bool {
        let wait = match target {
            ReadTarget::Offset(_) => Duration::ZERO,
            ReadTarget::Batch(_) => UNCONFIRMED_READ_WAIT,
        };
        while !position.has_reached(target) {
            if Instant::now() >= deadline {
                return false;
            }
            let read = self
                .log
                .read(&self.stream, position.next_offset, MAX_READ_RECORDS, wait);
            let left = deadline.saturating_duration_since(Instant::now());
            let applied = match tokio::time::timeout(left, read).await {
                Ok(Ok(answer)) => self.apply_read(&answer, position),
                Ok(Err(err)) => Err(format!("{err:?}")),
                Err(_) => Err("timeout".to_owned()),
            };
            if let Err(cause) = applied {
                slog::warn!(self.timeline.log(), "claims not read"; "cause" => cause);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        true
    }

    /// Applies the records of one read to the shard's keys and notifies the calls whose claims are decided.
    fn apply_read(&self, answer: &ReadResponse, position: &mut ReadPosition) -> Result<(), String> {
        let now = now_ms();
        let Settings { window, skew, .. } = self.settings;
        self.check_gap(answer, position.next_offset, now)?;
        position.next_offset = position.next_offset.max(answer.first_retained);
        let mut state = self.lock();
        state
            .key_table
            .prune(|key| key.age(now, window + 2 * skew, skew) == super::Age::Expired);
        for item in &answer.records {
            let record = record::decode(&item.data).map_err(|err| err.0)?;
            if record.incarnation == self.own_incarnation {
                position.own_batch = position.own_batch.max(record.batch);
            }
            let decided = state.key_table.apply(record, item.time_ms);
            position.next_offset = item.offset + 1;
            decided
                .into_iter()
                .for_each(|claim| state.resolve_claim(claim));
        }
        drop(state);
        self.wake.notify_one();
        Ok(())
    }

    /// Returns an error if the stream ends before the read position, or if records were discarded before they were
    /// read. Discarded records are no error if all their keys are so old that calls with these keys are rejected by
    /// age. Without this check an earlier claim of a key could be missed.
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

    fn lock(&self) -> MutexGuard<'_, ShardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ShardState {
    /// Queues a claim of the call's key and returns `None`, or returns the decision if no claim is to be made. A call
    /// whose key has an undecided claim of this process waits for that claim.
    fn begin_claim(
        &mut self,
        call: Call,
        tx: oneshot::Sender<Decision>,
        max_keys: usize,
        health: &LogHealth,
    ) -> Option<Decision> {
        match self.key_table.status(call.key, &call.fingerprint) {
            // The holder may have ended or released the key since the last read. The new claim's position in the
            // stream decides.
            KeyStatus::Free | KeyStatus::Held { .. } => {}
            status => return Some(Decision::Lost(status)),
        }
        let is_open = |waiter: &&mut Waiter| waiter.call.key == call.key && !waiter.tx.is_closed();
        if let Some(first) = self.waiters.iter_mut().find(is_open) {
            if first.call.fingerprint != call.fingerprint {
                return Some(Decision::Lost(KeyStatus::Reused));
            }
            first.retries.push(tx);
            return None;
        }
        if !health.should_try() {
            return Some(Decision::GivenUp);
        }
        if self.key_table.len() + self.waiters.len() >= max_keys {
            return Some(Decision::Full);
        }
        self.last_claim += 1;
        let number = self.last_claim;
        self.waiters.push(Waiter {
            number,
            call,
            tx,
            retries: Vec::new(),
        });
        self.pending.push_back(Entry::Claim {
            key: call.key,
            claim: number,
            fingerprint: call.fingerprint,
        });
        None
    }

    /// Removes the entries of the next record from the queue, and drops claims for which no call waits any more.
    fn take_entries(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        while entries.len() < MAX_RECORD_ENTRIES && bytes < MAX_RECORD_BODY_BYTES {
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

    /// Returns whether a call still waits for the claim. Removes the waiter of a call that stopped waiting.
    fn is_awaited(&mut self, number: u64) -> bool {
        match self.waiter_index(number) {
            Some(i) if self.waiters[i].tx.is_closed() => {
                self.waiters.remove(i);
                false
            }
            found => found.is_some(),
        }
    }

    /// Returns the index of the claim's waiter.
    fn waiter_index(&self, number: u64) -> Option<usize> {
        self.waiters
            .binary_search_by_key(&number, |waiter| waiter.number)
            .ok()
    }

    /// Gives up the undecided claims among `entries`. They may be in the stream already.
    fn give_up_claims(&mut self, entries: &[Entry]) {
        for entry in entries {
            if let Entry::Claim { claim, .. } = entry
                && let Some(i) = self.waiter_index(*claim)
            {
                self.waiters.remove(i).notify(Decision::GivenUp);
            }
        }
    }

    /// Gives up the claims among `entries` and queues the other entries for the next record.
    fn requeue(&mut self, entries: Vec<Entry>) {
        self.give_up_claims(&entries);
        for entry in entries.into_iter().rev() {
            if !matches!(entry, Entry::Claim { .. }) {
                self.pending.push_front(entry);
            }
        }
    }

    /// Notifies the call of the result of its claim. A claim that holds the key but has no waiting call is released.
    fn resolve_claim(&mut self, decided: DecidedClaim) {
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
        let is_received = self
            .waiter_index(number)
            .map(|i| self.waiters.remove(i))
            .is_some_and(|waiter| waiter.notify(decision));
        if is_won && !is_received {
            self.release(key, number);
        }
    }

    fn release(&mut self, key: IdempotencyKey, number: u64) {
        self.key_table.mark_releasing(key, number);
        self.pending
            .push_back(Entry::Released { key, claim: number });
    }
}

/// Returns the name of a shard's stream.
fn stream_name(number: u64) -> String {
    format!("claims-{number}")
}
