//! What one gateway knows of crashes and held parts.

use super::breaks::Breaks;
use super::probe::Question;
use super::probe::ServerReach;
use super::record::CrashEvent;
use super::record::Records;
use super::rows::RecordSource;
use super::rows::Rows;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::Crash;
use crate::decide::CrashBlame;
use crate::decide::Hold;
use crate::decide::PartId;
use crate::decide::PartVerdict;
use crate::decide::Suspect;
use crate::logs::Logs;
use crate::net::Connector;
use slog::info;
use slog::warn;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::watch;

/// Time after the start for which requests with shared parts wait for what the store or another gateway knows of them.
const MAX_LOAD_TIME: Duration = Duration::from_secs(2);
/// Minimum time between two tries of this gateway to claim a trial, as each calls the store.
const MIN_CLAIM_INTERVAL: Duration = Duration::from_secs(1);

/// A held part, as shown to operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldPart {
    /// The part.
    pub part: PartId,
    /// Time since a server last crashed under it.
    pub age: Duration,
    /// Number of trials so far.
    pub trials: u32,
    /// Number of known crashes that it may be to blame for.
    pub crashes: usize,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) blame: CrashBlame,
    breaks: Breaks,
    rows: Rows,
    /// Whether the store or another gateway has told of the held parts.
    is_told: bool,
    /// Data centres of which this gateway lost most servers at once, and when.
    pub(super) common_losses: Vec<(String, BootInstant)>,
    last_claim_at: Option<BootInstant>,
}

/// The crashes and held parts that one gateway knows of.
pub struct Quarantine {
    state: Mutex<State>,
    started_at: BootInstant,
    /// Counts the changes, so that tasks can wait for the next one.
    changes: watch::Sender<u64>,
    /// Held while a report of a crash is compared with other servers.
    pub(super) probing: tokio::sync::Mutex<()>,
    /// Questions that are being put to servers that broke off.
    pub(super) questions: Mutex<Vec<Question>>,
    /// Finds out whether servers that broke off accept connections.
    pub(super) connector: Arc<dyn Connector>,
    /// Asks servers and other gateways; unset until the peers have started.
    pub(super) reach: OnceLock<Arc<dyn ServerReach>>,
    pub(super) logs: Logs,
}

impl Quarantine {
    /// Creates the state of a gateway that starts now and knows nothing.
    pub fn new(logs: Logs, connector: &Arc<dyn Connector>) -> Self {
        Self {
            state: Mutex::default(),
            started_at: BootInstant::now(),
            changes: watch::Sender::new(0),
            probing: tokio::sync::Mutex::default(),
            questions: Mutex::default(),
            connector: Arc::clone(connector),
            reach: OnceLock::new(),
            logs,
        }
    }

    /// Decides whether a request with these shared parts may be sent now.
    pub fn verdict(&self, parts: &[PartId]) -> PartVerdict {
        self.lock().blame.verdict(parts, BootInstant::now())
    }

    /// Returns whether the held parts are known, or nobody could be asked for them for two
    /// seconds (`MAX_LOAD_TIME`).
    pub fn is_loaded(&self) -> bool {
        self.is_told() || BootInstant::now().since(self.started_at) > MAX_LOAD_TIME
    }

    /// Returns whether the store or another gateway has told of the held parts.
    pub(crate) fn is_told(&self) -> bool {
        self.lock().is_told
    }

    pub(crate) fn set_told(&self) {
        self.lock().is_told = true;
    }

    /// Records a crash that this gateway has seen.
    pub(super) fn record_crash(&self, crash: Crash) {
        warn!(self.logs.log(), "server crashed"; "server" => &crash.server,
            "parts" => suspect_parts(&crash));
        self.record(CrashEvent::Crash(crash), RecordSource::Own);
    }

    /// Records that a server began to answer a request with `parts` at `at` and lived on.
    pub fn record_sound(&self, parts: &[PartId], at: BootInstant) {
        for part in parts {
            self.record(CrashEvent::Sound(*part, at), RecordSource::Own);
        }
    }

    /// Records that `suspect` broke off at `at` at a server that accepts connections.
    pub(super) fn record_break(&self, server: &BackendServer, suspect: Suspect, at: BootInstant) {
        self.lock().breaks.record(server, suspect, at);
    }

    /// Returns whether the cause of some breaks is not known yet.
    pub(super) fn has_breaks(&self) -> bool {
        !self.lock().breaks.is_empty()
    }

    /// Returns the breaks that the server list explains by crashes; they are not returned again.
    pub(super) fn take_broken_crashes(&self, listed: &[BackendServer]) -> Vec<Crash> {
        self.lock().breaks.take_crashes(listed, BootInstant::now())
    }

    /// Records that a server answered `whole` at `at` from its beginning to its end. What nobody suspects is forgotten at
    /// once.
    pub fn record_whole_answer(&self, whole: PartId, at: BootInstant) {
        if self.lock().blame.concerns(whole) {
            self.record(CrashEvent::Sound(whole, at), RecordSource::Own);
        }
    }

    /// Returns whether anything is suspect or held, so that requests must be compared with it.
    pub fn is_active(&self) -> bool {
        self.lock().blame.is_active()
    }

    /// Lets a held part through at all gateways, for an operator. Returns whether it was held.
    pub fn release(&self, part: PartId) -> bool {
        let is_held = self
            .lock()
            .blame
            .holds()
            .iter()
            .any(|hold| hold.part == part);
        if is_held {
            info!(self.logs.log(), "prompt part released by operator"; "part" => format!("{part:x}"));
            let now = BootInstant::now();
            self.record(CrashEvent::Release(part, now), RecordSource::Own);
        }
        is_held
    }

    /// Returns the held parts, sorted.
    pub fn held_parts(&self) -> Vec<HeldPart> {
        let now = BootInstant::now();
        let state = self.lock();
        let holds = state.blame.holds().iter();
        let count = |part| {
            let crashes = state.blame.crashes().iter();
            crashes.filter(|crash| crash.has(part)).count()
        };
        holds
            .map(|hold| HeldPart {
                part: hold.part,
                age: now.since(hold.since),
                trials: hold.trials,
                crashes: count(hold.part),
            })
            .collect()
    }

    /// Returns the parts that are held, with the number of their trials.
    pub(super) fn holds(&self) -> Vec<Hold> {
        self.lock().blame.holds().to_vec()
    }

    /// Records that the store or another gateway holds a part.
    pub(super) fn record_hold(&self, hold: Hold) {
        self.record(CrashEvent::Hold(hold), RecordSource::Own);
    }

    /// Returns whether this gateway may try to claim a trial now.
    pub(super) fn start_claim(&self) -> bool {
        let now = BootInstant::now();
        let mut state = self.lock();
        let is_early = state
            .last_claim_at
            .is_some_and(|at| now.since(at) < MIN_CLAIM_INTERVAL);
        if !is_early {
            state.last_claim_at = Some(now);
        }
        !is_early
    }

    /// Applies what another gateway knows.
    pub(crate) fn apply(&self, records: Records, source: RecordSource, now: BootInstant) {
        // What was seen of servers may show that crashes among the records were none.
        for sighting in records.sightings {
            self.record(CrashEvent::from_sighting(sighting, now), source);
        }
        for record in records.crashes {
            self.record(CrashEvent::from_record(record, now), source);
        }
    }

    /// Returns the records numbered from `first` on that come from one of `sources`, and the number to continue from.
    pub(crate) fn records_from(
        &self,
        first: u64,
        sources: &[RecordSource],
        now: BootInstant,
    ) -> (Records, u64) {
        let state = self.lock();
        state.rows.records_from(first, sources, now, &state.blame)
    }

    /// Returns a receiver that is notified of each change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Records an event; if it is news, keeps it for the other gateways and decides anew which parts are held.
    pub(super) fn record(&self, event: CrashEvent, source: RecordSource) {
        let mut state = self.lock();
        let before = state.blame.holds().to_vec();
        let is_news = match event {
            CrashEvent::Crash(crash) => {
                let news = state.blame.record_crash(crash);
                for (part, at) in news.sound {
                    let sound = CrashEvent::Sound(part, at);
                    state.rows.push(sound, RecordSource::Own);
                }
                let is_news = news.crash.is_some();
                if let Some(crash) = news.crash {
                    state.rows.push(CrashEvent::Crash(crash), source);
                }
                is_news
            }
            CrashEvent::Sound(part, at) => {
                let is_news = state.blame.record_sound(part, at);
                if is_news {
                    state.rows.push(CrashEvent::Sound(part, at), source);
                }
                is_news
            }
            CrashEvent::Release(part, at) => {
                let is_news = state.blame.record_release(part, at);
                if is_news {
                    state.rows.push(CrashEvent::Release(part, at), source);
                }
                is_news
            }
            CrashEvent::Hold(hold) => {
                let is_news = state.blame.record_hold(hold);
                if is_news {
                    state.rows.push(CrashEvent::Hold(hold), source);
                }
                is_news
            }
            CrashEvent::Seen(sighting) => {
                let is_news = state.blame.record_sighting(sighting.clone());
                if is_news {
                    state.rows.push(CrashEvent::Seen(sighting), source);
                }
                is_news
            }
        };
        if !is_news {
            return;
        }
        for hold in state.blame.update_holds(BootInstant::now()) {
            state.rows.push(CrashEvent::Hold(hold), source);
        }
        let after = state.blame.holds().to_vec();
        drop(state);
        self.log_changes(&before, &after);
        self.changes.send_modify(|count| *count += 1);
    }

    fn log_changes(&self, before: &[Hold], after: &[Hold]) {
        let find = |holds: &[Hold], part| holds.iter().find(|hold| hold.part == part).copied();
        for hold in after {
            let known = find(before, hold.part);
            if known.is_none_or(|known| known.trials < hold.trials) {
                warn!(self.logs.log(), "prompt part held"; "part" => format!("{:x}", hold.part),
                    "trials" => hold.trials);
            }
        }
        for hold in before {
            if find(after, hold.part).is_none() {
                info!(self.logs.log(), "prompt part let through"; "part" => format!("{:x}", hold.part),
                    "trials" => hold.trials);
            }
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns what is suspect of a crash: for each request the parts of its prompt and the request itself, separated by commas, and
/// semicolons between requests.
fn suspect_parts(crash: &Crash) -> String {
    let format = |suspect: &Suspect| {
        let ids: Vec<String> = suspect.ids().map(|id| format!("{id:x}")).collect();
        ids.join(",")
    };
    let requests: Vec<String> = crash.suspects.iter().map(format).collect();
    requests.join(";")
}
