//! Decides which prompt parts and which whole requests crash servers, so that they are held back ("queries of death").
//!
//! Load pattern: requests that share one part of their prompts crash each server that begins to answer them, at any
//! gateway; or one request, which its caller sends again and again, crashes each server that runs it. Sound requests run
//! beside them and share their other parts, and servers crash for other reasons too: a data centre loses power, a release
//! goes wrong.
//!
//! The parts of a request are suspect if its server crashed before it had begun to answer; any answer that begins later
//! clears them. The whole request is suspect if its server crashed before the answer was whole, and a whole answer clears
//! it. What explains most crashes is to blame (`crash_cause.rs`). A crash that turns out to be none is retracted with the
//! holds that rest on it (`crash_evidence.rs`). `docs/CRASHING-PARTS.md` follows a crash through the fleet.

use super::crash::Crash;
use super::crash::PartId;
use super::crash::Suspect;
use super::crash_burst::Burst;
use super::crash_burst::are_of_one_burst;
use super::crash_burst::find_bursts;
use super::crash_cause::blamed_parts;
use super::crash_evidence::CrashEvidence;
use super::crash_evidence::Incarnation;
use super::crash_evidence::MAX_DELAY;
use super::crash_evidence::Sighting;
use super::suspect_index::SuspectIndex;
use crate::clock::BootInstant;
use std::time::Duration;

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
/// Maximum number of suspect requests of one crash that the server had not begun to answer, and of its other suspects: one
/// for each slot of a large server.
const MAX_SUSPECTS: usize = 256;
/// Maximum number of suspects of all crashes together; the oldest crashes are forgotten first.
const MAX_ALL_SUSPECTS: usize = 8_192;
/// Maximum number of held parts; the ones that crashed a server longest ago are let through first.
const MAX_HOLDS: usize = 256;
/// Maximum number of parts whose last answer is remembered.
const MAX_SOUND: usize = 4_096;
/// Time for which an answer is remembered, since reports of crashes before it may still arrive.
const SOUND_MEMORY: Duration = Duration::from_secs(30);

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
    /// What is suspect of them.
    index: SuspectIndex,
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
        }
        let known_suspects = known.map_or(&[][..], |index| &self.crashes[index].suspects);
        limit_suspects(&mut crash.suspects, known_suspects);
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
        let known = known.map(|index| self.crashes.remove(index));
        self.index.add(&crash, known.as_ref());
        if let Some(known) = known {
            crash.suspects.splice(0..0, known.suspects);
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        self.forget_oldest_crashes();
        CrashNews {
            crash: Some(news),
            sound,
        }
    }

    fn forget_oldest_crashes(&mut self) {
        let mut suspects: usize = self.crashes.iter().map(|crash| crash.suspects.len()).sum();
        let mut count = 0;
        while self.crashes.len() - count > MAX_CRASHES || suspects > MAX_ALL_SUSPECTS {
            suspects -= self.crashes[count].suspects.len();
            count += 1;
        }
        if count > 0 {
            self.crashes.drain(..count);
            self.index = SuspectIndex::of(&self.crashes);
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
        self.index = SuspectIndex::of(&self.crashes);
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
        let with_part = self.crashes_with(part);
        with_part.map(Crash::incarnation).collect()
    }

    /// Returns the crashes that `part` is suspect of.
    fn crashes_with(&self, part: PartId) -> impl DoubleEndedIterator<Item = &Crash> {
        let crashes = if self.index.count(part) > 0 {
            &self.crashes[..]
        } else {
            &[]
        };
        crashes.iter().filter(move |crash| crash.has(part))
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
        let is_released = self.holds.len() < before;
        // The other crashes don't have it.
        let mut unseen = self.index.count(part);
        let mut left = 0;
        let mut is_cleared = false;
        for crash in self.crashes.iter_mut().rev() {
            if unseen == 0 {
                break;
            }
            if !crash.has(part) {
                continue;
            }
            unseen -= 1;
            if crash.at >= at {
                left += 1;
                continue;
            }
            is_cleared = true;
            if is_mended {
                crash.clear_all();
            } else {
                crash.clear(part);
            }
        }
        if is_cleared && is_mended {
            self.index = SuspectIndex::of(&self.crashes);
        } else if is_cleared {
            self.index.set(part, left);
        }
        is_released || is_cleared
    }

    /// Returns whether `part` is suspect of a crash or held, so that an answer to a request with it is news.
    pub fn concerns(&self, part: PartId) -> bool {
        self.search(part).is_ok() || self.index.count(part) > 0
    }

    /// Returns whether anything is suspect or held.
    pub fn is_active(&self) -> bool {
        !self.holds.is_empty() || !self.index.is_empty()
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
        if self.is_unproven(&hold, &self.blamed()) {
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
        let crashes = self.crashes.len();
        self.crashes.retain(|crash| now.since(crash.at) < MAX_AGE);
        if self.crashes.len() < crashes {
            self.index = SuspectIndex::of(&self.crashes);
        }
        self.sound.retain(|known| now.since(known.1) < SOUND_MEMORY);
        self.holds
            .retain(|hold| now.since(hold.last_change()) < MAX_AGE);
        self.evidence.expire(now);
        let blamed = self.blamed();
        let mut holds = std::mem::take(&mut self.holds);
        holds.retain(|hold| !self.is_unproven(hold, &blamed));
        // A part that has had a trial, or that is held from before a restart, is let through by an answer only.
        let is_explained = |hold: &Hold| {
            let mut with_part = self.crashes_with(hold.part).peekable();
            hold.trials == 0
                && with_part.peek().is_some()
                && with_part.all(|crash| crash.has_any(&blamed))
        };
        holds.retain(|hold| blamed.contains(&hold.part) || !is_explained(hold));
        self.holds = holds;
        let mut new = Vec::new();
        for part in blamed {
            let last = self.crashes_with(part).next_back();
            let since = last.map_or(now, |crash| crash.at);
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
        let mut with_part = self.crashes_with(hold.part).peekable();
        let is_proven =
            blamed.contains(&hold.part) || (hold.trials > 0 && with_part.peek().is_some());
        let bursts = self.bursts();
        let mut in_burst = with_part.map(|crash| are_of_one_burst(&bursts, crash.at, crash.at));
        !is_proven && (self.evidence.is_retracted(hold.part) || in_burst.any(|is_in| is_in))
    }

    fn blamed(&self) -> Vec<PartId> {
        blamed_parts(&self.crashes, &self.bursts(), &self.index.repeated())
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
            suspect.ids().next().is_some() && reported.any(|one| one.request == suspect.request)
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
}

/// Removes the suspects beyond the maximum numbers of both kinds, of which `known` use up a part.
fn limit_suspects(suspects: &mut Vec<Suspect>, known: &[Suspect]) {
    let is_unbegun = |suspect: &Suspect| !suspect.parts.is_empty();
    let unbegun = known.iter().filter(|known| is_unbegun(known)).count();
    let mut room = MAX_SUSPECTS.saturating_sub(unbegun);
    let mut whole_room = MAX_SUSPECTS.saturating_sub(known.len() - unbegun);
    suspects.retain(|suspect| {
        let room = if is_unbegun(suspect) {
            &mut room
        } else {
            &mut whole_room
        };
        let has_room = *room > 0;
        *room = room.saturating_sub(1);
        has_room
    });
}
