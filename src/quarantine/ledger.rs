//! The held parts in the store, which outlive a restart of all gateways, and the claims of trials.

use super::state::Quarantine;
use crate::catalog::AdaptiveTimeout;
use crate::catalog::Duties;
use crate::catalog::Position;
use crate::catalog::SourceError;
use crate::clock::BootInstant;
use crate::decide::Hold;
use crate::decide::Incarnation;
use crate::decide::PartId;
use crate::logs::Logs;
use async_trait::async_trait;
use slog::info;
use slog::warn;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Timeout for a call to the store; the initial one for reads.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a call while a request waits for the claim of a trial.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(150);
/// Pause after a failed call, and interval at which a gateway that has become the relay finds out that it writes now.
const RETRY_INTERVAL: Duration = Duration::from_millis(800);

/// Time after the start within which another gateway may tell of the held parts.
const MAX_TOLD_WAIT: Duration = Duration::from_millis(1_500);
/// Interval at which a gateway that has just started finds out that it is the relay or was told of the held parts.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of crashes that a hold needs if others of its crashes turned out to be none.
const MIN_PROOFS: usize = 2;
/// Maximum number of crashes that are kept with a held part.
const MAX_PROOFS: usize = 4;

/// A held part in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerEntry {
    /// The part.
    pub part: PartId,
    /// Number of trials that were claimed.
    pub trials: u32,
    /// Servers that crashed under it, the last ones if there are many: if they are seen to run on, the part is not to
    /// blame. Empty in an entry of an earlier version.
    pub crashed: Vec<Incarnation>,
}

/// All held parts in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ledger {
    /// Sorted by part.
    pub entries: Vec<LedgerEntry>,
    /// Whether the read ended early, so that a part that is missing here may have an entry.
    pub is_partial: bool,
    /// End of what was read.
    pub end: Position,
}

/// A change of the held parts in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerChange {
    /// Adds or replaces an entry.
    Put(LedgerEntry),
    /// Removes the entry of a part.
    Remove(PartId),
}

/// Reads and writes the held parts in the store.
#[async_trait]
pub trait HoldLedger: Send + Sync {
    /// Reads all entries.
    async fn read(&self, timeout: Duration) -> Result<Ledger, SourceError>;

    /// Makes a change unless another one was made since `end`; returns whether it was made.
    ///
    /// # Errors
    ///
    /// Returns an error if the store did not confirm the change; it may have been made nevertheless.
    async fn write(
        &self,
        change: LedgerChange,
        end: Position,
        timeout: Duration,
    ) -> Result<bool, SourceError>;
}

impl Ledger {
    fn trials(&self, part: PartId) -> Option<u32> {
        let index = self.entries.binary_search_by_key(&part, |entry| entry.part);
        index.ok().map(|index| self.entries[index].trials)
    }
}

/// Claims trials of held parts in the store, so that only one gateway sends each.
pub struct TrialClaims {
    quarantine: Arc<Quarantine>,
    ledger: Arc<dyn HoldLedger>,
    logs: Logs,
}

impl TrialClaims {
    /// Creates the claims of a gateway.
    pub fn new(quarantine: &Arc<Quarantine>, ledger: &Arc<dyn HoldLedger>, logs: &Logs) -> Self {
        Self {
            quarantine: Arc::clone(quarantine),
            ledger: Arc::clone(ledger),
            logs: logs.clone(),
        }
    }

    /// Claims the next trial of a held part. Returns whether this gateway may send one request with it.
    pub async fn claim(&self, part: PartId) -> bool {
        if !self.quarantine.start_claim() {
            return false;
        }
        match self.try_claim(part).await {
            Ok(is_claimed) => is_claimed,
            Err(err) => {
                info!(self.logs.log(), "trial not claimed"; "part" => format!("{part:x}"), "cause" => %err);
                false
            }
        }
    }

    async fn try_claim(&self, part: PartId) -> Result<bool, SourceError> {
        let ledger = self.ledger.read(CLAIM_TIMEOUT).await?;
        let holds = self.quarantine.holds();
        let Some(hold) = holds.into_iter().find(|hold| hold.part == part) else {
            return Ok(false);
        };
        let known = match ledger.trials(part) {
            Some(trials) => trials,
            // Another gateway may have claimed this trial.
            None if ledger.is_partial => return Ok(false),
            None => 0,
        };
        let (trials, is_claimed) = if known > hold.trials {
            // Another gateway has claimed this trial.
            (known, false)
        } else {
            let trials = hold.trials + 1;
            let change = LedgerChange::Put(entry(&self.quarantine, part, trials));
            if !self.ledger.write(change, ledger.end, CLAIM_TIMEOUT).await? {
                return Ok(false);
            }
            (trials, true)
        };
        self.quarantine.record_hold(Hold {
            trials,
            last_trial_at: Some(BootInstant::now()),
            ..hold
        });
        Ok(is_claimed)
    }
}

/// Keeps the store's held parts and those of this gateway in step.
pub struct LedgerSync {
    task: JoinHandle<()>,
}

impl LedgerSync {
    /// Starts to read the ledger and, while this gateway is the relay of its data centre, to write to it.
    pub fn start(
        quarantine: &Arc<Quarantine>,
        ledger: Arc<dyn HoldLedger>,
        duties: Duties,
        logs: &Logs,
    ) -> Self {
        let quarantine = Arc::clone(quarantine);
        let task = tokio::spawn(run(quarantine, ledger, duties, logs.clone()));
        Self { task }
    }

    /// Stops reading and writing.
    pub fn close(self) {
        self.task.abort();
    }
}

/// Writes this gateway's changes to the ledger while it is the relay, after reading it. A gateway that is no relay reads the
/// ledger once if no other gateway tells it of the held parts.
async fn run(quarantine: Arc<Quarantine>, ledger: Arc<dyn HoldLedger>, duties: Duties, logs: Logs) {
    let mut changes = quarantine.changes();
    let mut written = Vec::new();
    let mut has_read = false;
    let mut is_failing = false;
    let read_timeout = AdaptiveTimeout::new(CALL_TIMEOUT);
    let told_until = Instant::now() + MAX_TOLD_WAIT;
    loop {
        let held = held_entries(&quarantine);
        let may_write = duties.is_relay();
        if !has_read && !duties.reads_at_start() {
            // Another gateway has told of the held parts, or may do so soon.
            let pause = if quarantine.is_told() {
                Some(RETRY_INTERVAL)
            } else {
                (Instant::now() < told_until).then_some(START_CHECK_INTERVAL)
            };
            if let Some(pause) = pause {
                tokio::time::sleep(pause).await;
                continue;
            }
        }
        if !has_read || (may_write && !is_same(&held, &written)) {
            let reading = ledger.read(read_timeout.current());
            let synced = match read_timeout.record_result(reading.await) {
                Ok(read) => sync(&quarantine, &*ledger, read, &written, may_write).await,
                Err(err) => Err(err),
            };
            match synced {
                Ok(entries) => {
                    written = entries;
                    quarantine.set_told();
                    has_read = true;
                    is_failing = false;
                    continue;
                }
                Err(err) if !is_failing => {
                    warn!(logs.log(), "held parts not synchronized with the store"; "cause" => %err);
                    is_failing = true;
                }
                Err(_) => {}
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        }
        // A change while the task was busy is noticed by the comparison with what was written.
        let _ = tokio::time::timeout(RETRY_INTERVAL, changes.changed()).await;
    }
}

fn entry(quarantine: &Quarantine, part: PartId, trials: u32) -> LedgerEntry {
    let mut crashed = quarantine.crashed_under(part);
    crashed.drain(..crashed.len().saturating_sub(MAX_PROOFS));
    LedgerEntry {
        part,
        trials,
        crashed,
    }
}

fn held_entries(quarantine: &Quarantine) -> Vec<LedgerEntry> {
    let holds = quarantine.holds().into_iter();
    holds
        .map(|hold| entry(quarantine, hold.part, hold.trials))
        .collect()
}

/// Returns whether both have the same parts with the same trials.
fn is_same(a: &[LedgerEntry], b: &[LedgerEntry]) -> bool {
    let key = |entry: &LedgerEntry| (entry.part, entry.trials);
    a.iter().map(key).eq(b.iter().map(key))
}

/// Adopts an entry of the store that is not known here. Returns whether enough of its crashes are not disproved.
fn adopt(quarantine: &Quarantine, entry: &LedgerEntry, now: BootInstant) -> bool {
    let LedgerEntry { part, trials, .. } = *entry;
    if entry.crashed.is_empty() {
        quarantine.record_hold(Hold::without_proof(part, trials, now));
        return true;
    }
    let crashed = quarantine.still_crashed(&entry.crashed);
    if crashed.len() < entry.crashed.len() && crashed.len() < MIN_PROOFS {
        return false;
    }
    // The time of the trials is unknown, so the next one waits its full time from now.
    let hold = Hold {
        part,
        since: now,
        trials,
        last_trial_at: None,
    };
    quarantine.restore_hold(hold, &crashed);
    true
}

/// Adopts what `read` holds beyond this gateway and, if `may_write`, writes what it lacks. `written` are the entries of the ledger
/// after the last call; one of them that is not held any more is removed. Returns the entries of the ledger now.
async fn sync(
    quarantine: &Quarantine,
    ledger: &dyn HoldLedger,
    read: Ledger,
    written: &[LedgerEntry],
    may_write: bool,
) -> Result<Vec<LedgerEntry>, SourceError> {
    let now = BootInstant::now();
    let mut changes = Vec::new();
    for entry in &read.entries {
        let held = held_entries(quarantine);
        let held = held.iter().find(|known| known.part == entry.part);
        let was_known = written.iter().any(|known| known.part == entry.part);
        let is_over = held.is_none() && was_known;
        let is_new = held.is_none_or(|held| held.trials < entry.trials);
        if is_over || (is_new && !adopt(quarantine, entry, now)) {
            changes.push(LedgerChange::Remove(entry.part));
        }
    }
    if !may_write {
        return Ok(read.entries);
    }
    for entry in held_entries(quarantine) {
        if read
            .trials(entry.part)
            .is_none_or(|trials| trials < entry.trials)
        {
            changes.push(LedgerChange::Put(entry));
        }
    }
    let mut end = read.end;
    for change in changes {
        if !ledger.write(change, end, CALL_TIMEOUT).await? {
            // Another relay was faster; the next call reads what it wrote.
            return Ok(read.entries);
        }
        end.offset += 1;
    }
    Ok(held_entries(quarantine))
}
