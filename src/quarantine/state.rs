//! What one gateway knows of crashes and held parts.

use super::record::CrashEvent;
use super::record::Records;
use super::rows::RecordSource;
use super::rows::Rows;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::Crash;
use crate::decide::CrashBlame;
use crate::decide::Hold;
use crate::decide::Incarnation;
use crate::decide::PartId;
use crate::decide::PartVerdict;
use crate::decide::Sight;
use crate::decide::Sighting;
use crate::decide::Suspect;
use crate::logs::Logs;
use slog::info;
use slog::warn;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::watch;

/// Time after the start for which requests with shared parts wait for what the store or another gateway knows of them.
const MAX_LOAD_TIME: Duration = Duration::from_secs(2);
/// Minimum time between two tries of this gateway to claim a trial, as each calls the store.
const MIN_CLAIM_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which broken connections to a data centre count as part of the loss of most of its servers.
const COMMON_LOSS_TIME: Duration = Duration::from_secs(1);

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
struct State {
    blame: CrashBlame,
    rows: Rows,
    is_loaded: bool,
    /// Data centres of which this gateway lost most servers at once, and when.
    common_losses: Vec<(String, BootInstant)>,
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
    logs: Logs,
}

impl Quarantine {
    /// Creates the state of a gateway that starts now and knows nothing.
    pub fn new(logs: Logs) -> Self {
        Self {
            state: Mutex::default(),
            started_at: BootInstant::now(),
            changes: watch::Sender::new(0),
            probing: tokio::sync::Mutex::default(),
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
        self.lock().is_loaded || BootInstant::now().since(self.started_at) > MAX_LOAD_TIME
    }

    pub(crate) fn set_loaded(&self) {
        self.lock().is_loaded = true;
    }

    /// Records a crash that this gateway has seen.
    pub(super) fn record_crash(&self, crash: Crash) {
        warn!(self.logs.log(), "server crashed"; "server" => &crash.server,
            "parts" => suspect_parts(&crash));
        self.record(CrashEvent::Crash(crash), RecordSource::Own);
    }

    /// Returns whether `incarnation` had crashed or could not be reached any more when a request was sent to it at `sent_at`.
    pub(super) fn was_gone(&self, incarnation: &Incarnation, sent_at: BootInstant) -> bool {
        self.lock().blame.was_gone(incarnation, sent_at)
    }

    /// Returns whether `incarnation` is known to have crashed.
    pub(super) fn is_known_crash(&self, incarnation: &Incarnation) -> bool {
        let state = self.lock();
        let mut crashes = state.blame.crashes().iter();
        crashes.any(|crash| crash.incarnation() == *incarnation)
    }

    /// Records that `incarnation` could not be reached at `at`, when another server had broken off.
    pub(super) fn record_lost(&self, incarnation: Incarnation, at: BootInstant) {
        let sight = Sight::Lost;
        let sighting = Sighting {
            incarnation,
            at,
            sight,
        };
        self.record(CrashEvent::Seen(sighting), RecordSource::Own);
    }

    /// Records that this gateway lost most servers of the data centre of `server` at once.
    pub(super) fn record_common_loss(&self, server: &BackendServer) {
        let data_centre = &server.entry.data_centre;
        info!(self.logs.log(), "servers lost together"; "server" => &server.id, "data_centre" => data_centre);
        let now = BootInstant::now();
        let mut state = self.lock();
        state.common_losses.retain(|known| known.0 != *data_centre);
        state.common_losses.push((data_centre.clone(), now));
    }

    /// Returns whether a connection to a server of `data_centre` that broke at `at` is part of the loss of most of them.
    pub(super) fn has_common_loss(&self, data_centre: &str, at: BootInstant) -> bool {
        let state = self.lock();
        let mut losses = state.common_losses.iter();
        losses.any(|loss| loss.0 == data_centre && at.since(loss.1) < COMMON_LOSS_TIME)
    }

    /// Records that `server` answered a request that was sent at `since`, and still did so at `at`.
    pub fn record_alive(&self, server: &BackendServer, since: BootInstant, at: BootInstant) {
        let incarnation = Incarnation::of(server);
        if self.lock().blame.needs_life(&incarnation, since, at) {
            self.record_sight_of_life(incarnation, since, at);
        }
    }

    /// Records that `incarnation` has renewed its entry on the server list, with its start time, since `at`.
    pub(super) fn record_renewal(&self, incarnation: Incarnation, at: BootInstant) {
        self.record_sight_of_life(incarnation, BootInstant::default(), at);
    }

    fn record_sight_of_life(&self, incarnation: Incarnation, since: BootInstant, at: BootInstant) {
        info!(self.logs.log(), "server has not crashed"; "server" => &incarnation.server);
        let sight = Sight::Alive { since };
        let sighting = Sighting {
            incarnation,
            at,
            sight,
        };
        self.record(CrashEvent::Seen(sighting), RecordSource::Own);
    }

    /// Returns the servers that are taken for crashed, and when each crashed.
    pub(super) fn crashed(&self) -> Vec<(Incarnation, BootInstant)> {
        let state = self.lock();
        let crashes = state.blame.crashes().iter();
        crashes
            .map(|crash| (crash.incarnation(), crash.at))
            .collect()
    }

    /// Returns the incarnations that crashed under a request with `part`, as far as known.
    pub(super) fn crashed_under(&self, part: PartId) -> Vec<Incarnation> {
        self.lock().blame.crashed_under(part)
    }

    /// Returns those of `crashed` whose start time has not been seen since.
    pub(super) fn still_crashed(&self, crashed: &[Incarnation]) -> Vec<Incarnation> {
        let state = self.lock();
        let evidence = state.blame.evidence();
        let still = crashed
            .iter()
            .filter(|incarnation| !evidence.was_seen_again(incarnation));
        still.cloned().collect()
    }

    /// Records a hold from the store and the crashes that it rests on.
    pub(super) fn restore_hold(&self, hold: Hold, crashed: &[Incarnation]) {
        let mut state = self.lock();
        for (incarnation, number) in crashed.iter().zip(0u64..) {
            // Only their order matters: each was sent after the crash before.
            let after = Duration::from_micros(2 * number);
            let at = hold.since.before(Duration::from_millis(1)).plus(after);
            state.blame.record_crash(Crash {
                server: incarnation.server.clone(),
                start_time_ms: incarnation.start_time_ms,
                at,
                suspects: vec![Suspect {
                    request: hold.part.wrapping_add(number),
                    parts: vec![hold.part],
                    sent_at: at.before(Duration::from_micros(1)),
                }],
            });
        }
        drop(state);
        self.record_hold(hold);
    }

    /// Records that a server began to answer a request with `parts` at `at` and lived on.
    pub fn record_sound(&self, parts: &[PartId], at: BootInstant) {
        for part in parts {
            self.record(CrashEvent::Sound(*part, at), RecordSource::Own);
        }
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
            let with_part = crashes.filter(|crash| {
                let mut suspects = crash.suspects.iter();
                suspects.any(|suspect| suspect.parts.contains(&part))
            });
            with_part.count()
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
        let is_held = |part| state.blame.holds().iter().any(|hold| hold.part == part);
        state.rows.records_from(first, sources, now, &is_held)
    }

    /// Returns a receiver that is notified of each change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Records an event; if it is news, keeps it for the other gateways and decides anew which parts are held.
    fn record(&self, event: CrashEvent, source: RecordSource) {
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

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the parts of the suspect requests of a crash: those of a request separated by commas, requests by semicolons.
fn suspect_parts(crash: &Crash) -> String {
    let format = |parts: &[PartId]| {
        let ids: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
        ids.join(",")
    };
    let requests: Vec<String> = crash
        .suspects
        .iter()
        .map(|suspect| format(&suspect.parts))
        .collect();
    requests.join(";")
}
