//! Decides which prompt parts crash servers, so that requests with them are held back ("queries of death").
//!
//! Load pattern: requests that share one part of their prompts crash each server that begins to answer them, at any
//! gateway. Sound requests run beside them and share their other parts, and servers crash for other reasons too: a data
//! centre loses power, a release goes wrong.
//!
//! A request is suspect if its server crashed before it had begun to answer. A part is blamed for a crash only if it was
//! sent again after the crash before, so that servers that crash at the same time count once, and any answer that begins
//! later clears its parts. Of the parts that were in the same crashes, the blame goes to the one that explains most of
//! them, and within a request to the last one, which fewer requests share. A crash that turns out to be none is retracted
//! with the holds that rest on it (`crash_evidence.rs`). `docs/CRASHING-PARTS.md` follows a crash through the fleet.

use super::crash_burst::Burst;
use super::crash_burst::are_of_one_burst;
use super::crash_burst::find_bursts;
use super::crash_evidence::CrashEvidence;
use super::crash_evidence::Incarnation;
use super::crash_evidence::MAX_DELAY;
use super::crash_evidence::Sighting;
use crate::clock::BootInstant;
use std::time::Duration;

/// Number of crashes after which a part is held back.
const MIN_CRASHES: usize = 2;
/// Time after the last crash or trial until the next trial of a held part, for each of its trials in turn. There are no
/// more, since each may crash a server.
const TRIAL_DELAYS: [Duration; 3] = [
    Duration::from_secs(5),
    Duration::from_secs(60),
    Duration::from_secs(600),
];
/// Time after the last crash or trial until a held part is let through again.
const MAX_AGE: Duration = Duration::from_secs(3_600);
/// Maximum number of crashes that are remembered; the oldest are forgotten first.
const MAX_CRASHES: usize = 64;
/// Maximum number of suspect requests of one crash.
const MAX_SUSPECTS: usize = 16;
/// Maximum number of held parts; the ones that crashed a server longest ago are let through first.
const MAX_HOLDS: usize = 256;
/// Maximum number of parts whose last answer is remembered.
const MAX_SOUND: usize = 4_096;
/// Time for which an answer is remembered, since reports of crashes before it may still arrive.
const SOUND_MEMORY: Duration = Duration::from_secs(30);

/// Identifies a part of a prompt.
pub type PartId = u64;

/// A request whose server crashed before it began to answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// Hash of the request id.
    pub request: u64,
    /// Parts of its prompt that other requests may share, in order.
    pub parts: Vec<PartId>,
    /// When it was sent to the server.
    pub sent_at: BootInstant,
}

/// The crash of one incarnation of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Name of the server.
    pub server: String,
    /// Unix time at which the incarnation started, in milliseconds.
    pub start_time_ms: u64,
    /// When the server was first seen to have crashed.
    pub at: BootInstant,
    /// Requests that it had not begun to answer.
    pub suspects: Vec<Suspect>,
}

/// A part whose requests are held back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hold {
    /// The part.
    pub part: PartId,
    /// When a server last crashed under it, as far as known.
    pub since: BootInstant,
    /// Number of requests with the part that were let through to find out whether it still crashes servers.
    pub trials: u32,
    /// When the last of them was let through.
    pub last_trial_at: Option<BootInstant>,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartVerdict {
    /// None of its parts is held.
    Free,
    /// This part is held for the given time at least.
    Held(PartId, Duration),
    /// This part, its only held one, is due for a trial.
    TrialDue(PartId),
}

/// What a report of a crash adds to what was known.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashNews {
    /// The crash with the suspects that were not known; `None` if there are none.
    pub crash: Option<Crash>,
    /// Parts of it that have been answered since, and when.
    pub sound: Vec<(PartId, BootInstant)>,
}

/// Crashes, the answers since, and the held parts.
#[derive(Clone, Debug, Default)]
pub struct CrashBlame {
    /// In order of time.
    crashes: Vec<Crash>,
    /// When an answer to a request with the part last began, sorted by part.
    sound: Vec<(PartId, BootInstant)>,
    /// Sorted by part.
    holds: Vec<Hold>,
    /// What shows that servers did not crash, or not under these requests.
    evidence: CrashEvidence,
}

impl Hold {
    fn last_change(&self) -> BootInstant {
        self.since.max(self.last_trial_at.unwrap_or_default())
    }

    /// Returns the hold of a part of which only the number of trials is known, and no crash: its next trial is due at
    /// `now`, so that an answer may let it through.
    pub fn without_proof(part: PartId, trials: u32, now: BootInstant) -> Self {
        let delay = TRIAL_DELAYS.get(trials as usize).unwrap_or(&MAX_AGE);
        Self {
            part,
            since: now.before(*delay),
            trials,
            last_trial_at: None,
        }
    }

    /// Returns when the next trial is due or, after the last one, when the part is let through again.
    fn due_at(&self) -> BootInstant {
        let delay = usize::try_from(self.trials)
            .ok()
            .and_then(|trials| TRIAL_DELAYS.get(trials));
        self.last_change().plus(*delay.unwrap_or(&MAX_AGE))
    }

    fn has_trial_left(&self) -> bool {
        (self.trials as usize) < TRIAL_DELAYS.len()
    }
}

impl Crash {
    fn is_of(&self, other: &Self) -> bool {
        self.server == other.server && self.start_time_ms == other.start_time_ms
    }

    /// Returns the incarnation that crashed.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            server: self.server.clone(),
            start_time_ms: self.start_time_ms,
        }
    }

    /// Returns the time at which the last of its requests with `part` was sent, or `None` if none has it.
    fn last_sent_with(&self, part: PartId) -> Option<BootInstant> {
        let with_part = self
            .suspects
            .iter()
            .filter(|suspect| suspect.parts.contains(&part));
        with_part.map(|suspect| suspect.sent_at).max()
    }

    fn clear(&mut self, part: PartId) -> bool {
        let mut is_cleared = false;
        for suspect in &mut self.suspects {
            let before = suspect.parts.len();
            suspect.parts.retain(|known| *known != part);
            is_cleared |= suspect.parts.len() < before;
        }
        is_cleared
    }
}

impl CrashBlame {
    /// Records a crash, or more suspects of a known one. Call [`CrashBlame::update_holds`] afterwards.
    pub fn record_crash(&mut self, mut crash: Crash) -> CrashNews {
        self.evidence.remove_disproved(&mut crash);
        let known = self.crashes.iter().position(|known| known.is_of(&crash));
        if let Some(index) = known {
            let known = &self.crashes[index];
            let is_new = |suspect: &Suspect| {
                let mut requests = known.suspects.iter().map(|known| known.request);
                !requests.any(|request| request == suspect.request)
            };
            crash.suspects.retain(is_new);
            crash.at = crash.at.min(known.at);
            let room = MAX_SUSPECTS.saturating_sub(known.suspects.len());
            crash.suspects.truncate(room);
        }
        crash.suspects.truncate(MAX_SUSPECTS);
        if crash.suspects.is_empty() {
            return CrashNews::default();
        }
        let news = crash.clone();
        let mut sound = Vec::new();
        for &(part, at) in &self.sound {
            if at > crash.at && crash.clear(part) {
                sound.push((part, at));
            }
        }
        if let Some(index) = known {
            let known = self.crashes.remove(index);
            crash.suspects.splice(0..0, known.suspects);
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        CrashNews {
            crash: Some(news),
            sound,
        }
    }

    /// Records what was seen of a server, and retracts the suspects that can't have crashed it. Returns whether it is news
    /// that other gateways must know too. Call [`CrashBlame::update_holds`] afterwards.
    pub fn record_sighting(&mut self, sighting: Sighting) -> bool {
        let incarnation = sighting.incarnation.clone();
        if !self.evidence.record(sighting) {
            return false;
        }
        let crashes = self.crashes.iter_mut();
        crashes
            .filter(|crash| crash.incarnation() == incarnation)
            .for_each(|crash| self.evidence.remove_disproved(crash));
        self.crashes.retain(|crash| !crash.suspects.is_empty());
        true
    }

    /// Returns what is known of servers that seem to have crashed.
    pub fn evidence(&self) -> &CrashEvidence {
        &self.evidence
    }

    /// Returns whether `incarnation` had crashed or could not be reached any more when a request was sent to it at `sent_at`.
    pub fn was_gone(&self, incarnation: &Incarnation, sent_at: BootInstant) -> bool {
        let mut crashes = self.crashes.iter();
        self.evidence.was_lost(incarnation, sent_at)
            || crashes.any(|crash| crash.at < sent_at && crash.incarnation() == *incarnation)
    }

    /// Returns whether a sighting of `incarnation` alive from `since` to `at` tells the gateways something: it shows that a
    /// known crash was none, or that a lost server is back.
    pub fn needs_life(
        &self,
        incarnation: &Incarnation,
        since: BootInstant,
        at: BootInstant,
    ) -> bool {
        let at = at.before(MAX_DELAY);
        self.evidence.was_lost(incarnation, at)
            || self.crashes.iter().any(|crash| {
                since <= crash.at && crash.at < at && crash.incarnation() == *incarnation
            })
    }

    /// Returns the incarnations that crashed under a request with `part`, as far as known.
    pub fn crashed_under(&self, part: PartId) -> Vec<Incarnation> {
        let with_part = self
            .crashes
            .iter()
            .filter(|crash| crash.last_sent_with(part).is_some());
        with_part.map(Crash::incarnation).collect()
    }

    /// Records that a server began to answer a request with `part` at `at` and lived on. Returns whether the part was
    /// suspect or held, so that other gateways must know it too.
    ///
    /// Call [`CrashBlame::update_holds`] afterwards if it was.
    pub fn record_sound(&mut self, part: PartId, at: BootInstant) -> bool {
        let hold = self.search(part).map(|index| self.holds[index]);
        // The trial of a part shows that it was mended; an answer before shows that it was never to blame.
        let is_mended = hold.is_ok_and(|hold| hold.trials > 0 && hold.last_change() < at);
        self.clear(part, at, is_mended)
    }

    /// Records that an operator lets `part` through at `at`. Returns the same as [`CrashBlame::record_sound`].
    pub fn record_release(&mut self, part: PartId, at: BootInstant) -> bool {
        self.clear(part, at, true)
    }

    /// Clears `part` of the crashes before `at` and lets it through. If it `is_mended`, these crashes are explained and
    /// not blamed on the other parts of its requests.
    fn clear(&mut self, part: PartId, at: BootInstant, is_mended: bool) -> bool {
        match self.sound.binary_search_by_key(&part, |known| known.0) {
            Ok(index) => self.sound[index].1 = self.sound[index].1.max(at),
            Err(index) => self.sound.insert(index, (part, at)),
        }
        if self.sound.len() > MAX_SOUND {
            self.sound
                .retain(|known| at.since(known.1) < SOUND_MEMORY / 4);
        }
        let before = self.holds.len();
        self.holds
            .retain(|hold| hold.part != part || hold.last_change() >= at);
        let mut is_cleared = self.holds.len() < before;
        for crash in self.crashes.iter_mut().filter(|crash| crash.at < at) {
            if is_mended && has_part(crash, &[part]) {
                is_cleared = true;
                let suspects = crash.suspects.iter_mut();
                suspects.for_each(|suspect| suspect.parts.clear());
            } else {
                is_cleared |= crash.clear(part);
            }
        }
        is_cleared
    }

    /// Records that another gateway, or this one before its restart, holds a part. Returns whether that is new here.
    pub fn record_hold(&mut self, hold: Hold) -> bool {
        let sound = self
            .sound
            .binary_search_by_key(&hold.part, |known| known.0)
            .map(|index| self.sound[index].1);
        if sound.is_ok_and(|at| at > hold.last_change()) {
            return false;
        }
        // Another gateway may not have learned yet that the crashes were retracted.
        if self.is_unproven(&hold, &self.blamed_parts()) {
            return false;
        }
        match self.search(hold.part) {
            Ok(index) => {
                let known = &mut self.holds[index];
                let is_new = hold.trials > known.trials;
                known.trials = known.trials.max(hold.trials);
                known.since = known.since.max(hold.since);
                known.last_trial_at = known.last_trial_at.max(hold.last_trial_at);
                is_new
            }
            Err(index) => {
                self.holds.insert(index, hold);
                true
            }
        }
    }

    /// Holds the parts that are to blame for several crashes, and lets those through that no longer are. Returns the
    /// newly held ones.
    pub fn update_holds(&mut self, now: BootInstant) -> Vec<Hold> {
        self.crashes.retain(|crash| now.since(crash.at) < MAX_AGE);
        self.sound.retain(|known| now.since(known.1) < SOUND_MEMORY);
        self.holds
            .retain(|hold| now.since(hold.last_change()) < MAX_AGE);
        self.evidence.expire(now);
        let blamed = self.blamed_parts();
        let mut holds = std::mem::take(&mut self.holds);
        holds.retain(|hold| !self.is_unproven(hold, &blamed));
        self.holds = holds;
        let crashes = &self.crashes;
        // A part that has had a trial, or that is held from before a restart, is let through by an answer only.
        let is_explained = |hold: &Hold| {
            let mut with_part = crashes
                .iter()
                .filter(|crash| crash.last_sent_with(hold.part).is_some())
                .peekable();
            hold.trials == 0
                && with_part.peek().is_some()
                && with_part.all(|crash| has_part(crash, &blamed))
        };
        self.holds
            .retain(|hold| blamed.contains(&hold.part) || !is_explained(hold));
        let mut new = Vec::new();
        for part in blamed {
            let last = self.crashes.iter().rev();
            let last = last.filter(|crash| crash.last_sent_with(part).is_some());
            let since = last.map(|crash| crash.at).next().unwrap_or(now);
            match self.search(part) {
                Ok(index) => self.holds[index].since = self.holds[index].since.max(since),
                Err(index) => {
                    let hold = Hold {
                        part,
                        since,
                        trials: 0,
                        last_trial_at: None,
                    };
                    self.holds.insert(index, hold);
                    new.push(hold);
                }
            }
        }
        while self.holds.len() > MAX_HOLDS {
            let oldest = (0..self.holds.len()).min_by_key(|&index| self.holds[index].last_change());
            self.holds.remove(oldest.unwrap_or(0));
        }
        new
    }

    /// Returns whether crashes that the part was held for were retracted or turned out to have a common cause, and the others
    /// are too few.
    fn is_unproven(&self, hold: &Hold, blamed: &[PartId]) -> bool {
        let mut with_part = self
            .crashes
            .iter()
            .filter(|crash| crash.last_sent_with(hold.part).is_some())
            .peekable();
        let is_proven =
            blamed.contains(&hold.part) || (hold.trials > 0 && with_part.peek().is_some());
        let bursts = self.bursts();
        let mut in_burst = with_part.map(|crash| are_of_one_burst(&bursts, crash.at, crash.at));
        !is_proven && (self.evidence.is_retracted(hold.part) || in_burst.any(|is_in| is_in))
    }

    fn bursts(&self) -> Vec<Burst> {
        let times: Vec<BootInstant> = self.crashes.iter().map(|crash| crash.at).collect();
        find_bursts(&times)
    }

    /// Returns the held parts, sorted.
    pub fn holds(&self) -> &[Hold] {
        &self.holds
    }

    /// Returns what is left of the suspects of `crash` after answers and retractions; `None` if nothing is, or if the crash
    /// is forgotten.
    pub fn current(&self, crash: &Crash) -> Option<Crash> {
        let known = self.crashes.iter().find(|known| known.is_of(crash))?;
        let is_reported = |suspect: &&Suspect| {
            let mut reported = crash.suspects.iter();
            !suspect.parts.is_empty() && reported.any(|one| one.request == suspect.request)
        };
        let left = known.suspects.iter().filter(is_reported);
        let suspects: Vec<Suspect> = left.cloned().collect();
        let crash = Crash {
            suspects,
            ..crash.clone()
        };
        (!crash.suspects.is_empty()).then_some(crash)
    }

    /// Returns the known crashes in order of time.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Decides whether a request with these shared parts may be sent at `now`.
    pub fn verdict(&self, parts: &[PartId], now: BootInstant) -> PartVerdict {
        let mut held = parts.iter().filter_map(|part| {
            let index = self.search(*part).ok()?;
            Some(self.holds[index])
        });
        let Some(first) = held.next() else {
            return PartVerdict::Free;
        };
        let due_at = held.clone().map(|hold| hold.due_at()).max();
        let due_at = due_at.map_or(first.due_at(), |due_at| due_at.max(first.due_at()));
        let is_only = held.all(|other| other.part == first.part);
        if due_at > now {
            PartVerdict::Held(first.part, due_at.since(now))
        } else if !first.has_trial_left() {
            PartVerdict::Free
        } else if is_only {
            PartVerdict::TrialDue(first.part)
        } else {
            // A trial of several parts at once would not tell which of them crashed the server.
            PartVerdict::Held(first.part, TRIAL_DELAYS[0])
        }
    }

    fn search(&self, part: PartId) -> Result<usize, usize> {
        self.holds.binary_search_by_key(&part, |hold| hold.part)
    }

    /// Returns the parts that together explain the crashes that need an explanation, the ones that explain most first.
    fn blamed_parts(&self) -> Vec<PartId> {
        let bursts = self.bursts();
        let mut unexplained: Vec<&Crash> = self.crashes.iter().collect();
        let mut blamed = Vec::new();
        loop {
            let counts = count_by_part(&unexplained, &bursts);
            let max = counts.iter().map(|(_, count)| *count).max().unwrap_or(0);
            if max < MIN_CRASHES {
                return blamed;
            }
            let top = counts.iter().filter(|(_, count)| *count == max);
            let top: Vec<PartId> = top.map(|(part, _)| *part).collect();
            let likely = top
                .iter()
                .filter(|part| !is_covered(**part, &top, &unexplained));
            let likely: Vec<PartId> = likely.copied().collect();
            unexplained.retain(|crash| !has_part(crash, &likely));
            blamed.extend(likely);
        }
    }
}

fn has_part(crash: &Crash, parts: &[PartId]) -> bool {
    let mut suspects = crash.suspects.iter();
    suspects.any(|suspect| suspect.parts.iter().any(|part| parts.contains(part)))
}

/// Returns each part with the number of crashes that it may be to blame for. The crash of a server counts once, as does a
/// burst of crashes, and only if the part was sent after the crash before it.
fn count_by_part(crashes: &[&Crash], bursts: &[Burst]) -> Vec<(PartId, usize)> {
    let mut sends: Vec<(PartId, BootInstant, BootInstant)> = Vec::new();
    for crash in crashes {
        let parts = crash.suspects.iter().flat_map(|suspect| &suspect.parts);
        let mut parts: Vec<PartId> = parts.copied().collect();
        parts.sort_unstable();
        parts.dedup();
        let last_sends = parts
            .into_iter()
            .filter_map(|part| Some((part, crash.at, crash.last_sent_with(part)?)));
        sends.extend(last_sends);
    }
    sends.sort_unstable();
    let mut counts = Vec::new();
    for with_part in sends.chunk_by(|a, b| a.0 == b.0) {
        let mut count = 0;
        let mut last: Option<BootInstant> = None;
        for &(_, crashed_at, sent_at) in with_part {
            let is_separate = |last| sent_at > last && !are_of_one_burst(bursts, last, crashed_at);
            if last.is_none_or(is_separate) {
                count += 1;
                last = Some(crashed_at);
            }
        }
        counts.push((with_part[0].0, count));
    }
    counts
}

/// Returns whether some other part of `top` comes after `part` in each suspect request that has it.
fn is_covered(part: PartId, top: &[PartId], crashes: &[&Crash]) -> bool {
    let suspects = crashes.iter().flat_map(|crash| &crash.suspects);
    let with_part: Vec<&Suspect> = suspects
        .filter(|suspect| suspect.parts.contains(&part))
        .collect();
    top.iter().any(|other| {
        with_part.iter().all(|suspect| {
            let position = |part| suspect.parts.iter().position(|known| known == part);
            position(other) > position(&part)
        })
    })
}
