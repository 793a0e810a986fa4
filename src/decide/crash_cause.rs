//! Finds what explains the crashes of servers: parts of prompts, or whole requests.

use super::crash::Crash;
use super::crash::PartId;
use super::crash::Suspect;
use super::crash_burst::Burst;
use super::crash_burst::are_of_one_burst;
use crate::clock::BootInstant;

/// Number of crashes after which something is held back, if each of them has few suspects.
const MIN_CRASHES: usize = 2;
/// The same number if one of the crashes has more. Requests that broke off at a busy server are sent again at once, so that
/// several of them may be at the next server that crashes.
const MIN_CROWDED_CRASHES: usize = 3;
/// Maximum number of suspects of a crash that count as few.
const MAX_FEW_SUSPECTS: usize = 16;

/// Something that may have caused crashes.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: PartId,
    is_whole: bool,
    /// Number of crashes that it may be to blame for.
    crashes: usize,
    /// Whether one of them has many suspects.
    is_crowded: bool,
}

/// The last suspect request of a crash that has something in question.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SuspectSend {
    id: PartId,
    crashed_at: BootInstant,
    /// Position of the crash.
    crash: usize,
    sent_at: BootInstant,
    is_whole: bool,
    is_crowded: bool,
}

impl Candidate {
    /// Returns whether its crashes are enough to hold it back.
    fn is_proven(&self) -> bool {
        let min = if self.is_crowded {
            MIN_CROWDED_CRASHES
        } else {
            MIN_CRASHES
        };
        self.crashes >= min
    }
}

/// Returns what together explains the crashes that need an explanation, first what explains most. `repeated` is what is suspect
/// of several of them, sorted.
///
/// Of what explains equally many, a whole request is to blame before a part of its prompt, and a later part before an earlier
/// one, since fewer requests share it: the others go on, and their answers or further crashes tell whether it was a part.
pub(super) fn blamed_parts(
    crashes: &[Crash],
    bursts: &[Burst],
    repeated: &[PartId],
) -> Vec<PartId> {
    let mut unexplained: Vec<&Crash> = crashes.iter().collect();
    let mut blamed = Vec::new();
    if repeated.is_empty() {
        return blamed;
    }
    loop {
        let mut candidates = candidates(&unexplained, bursts, repeated, &blamed);
        candidates.retain(Candidate::is_proven);
        let max = candidates.iter().map(|candidate| candidate.crashes).max();
        let Some(max) = max else {
            return blamed;
        };
        let top = candidates
            .iter()
            .filter(|candidate| candidate.crashes == max);
        let (whole, parts): (Vec<Candidate>, Vec<Candidate>) =
            top.partition(|candidate| candidate.is_whole);
        let ids = |candidates: &[Candidate]| -> Vec<PartId> {
            candidates.iter().map(|candidate| candidate.id).collect()
        };
        let likely = if whole.is_empty() {
            let top = ids(&parts);
            let mut likely = top.clone();
            likely.retain(|part| !is_covered(*part, &top, &unexplained));
            likely
        } else {
            ids(&whole)
        };
        unexplained.retain(|crash| is_crowded(crash) || !crash.has_any(&likely));
        blamed.extend(likely);
    }
}

/// Returns whether so many requests are suspect of `crash` that one of them explains nothing about the others.
fn is_crowded(crash: &Crash) -> bool {
    // Those that have been cleared count too: any of them may have been sent again to the next server that crashes.
    crash.suspects.len() > MAX_FEW_SUSPECTS
}

/// Returns which of `repeated` may have caused crashes. The crash of a server counts once for it, as does a burst of crashes.
///
/// A crash that has many suspects does not count for what its requests share with one of `blamed`.
///
/// A crash counts for a part only if the part was sent after the crash before it, since servers that crash at the same time have
/// a common cause, and at each of them requests share the part. Copies of one request are rarely at several servers, so
/// that all of their crashes count for a whole request.
fn candidates(
    crashes: &[&Crash],
    bursts: &[Burst],
    repeated: &[PartId],
    blamed: &[PartId],
) -> Vec<Candidate> {
    let mut sends: Vec<SuspectSend> = Vec::new();
    let mut last_sent: Vec<Option<(BootInstant, bool)>> = Vec::new();
    for (number, crash) in crashes.iter().enumerate() {
        last_sent.clear();
        last_sent.resize(repeated.len(), None);
        for suspect in &crash.suspects {
            let parts = suspect.parts.iter().map(|part| (*part, false));
            let ids = parts.chain(suspect.whole.map(|whole| (whole, true)));
            for (id, is_whole) in ids {
                if let Ok(index) = repeated.binary_search(&id) {
                    let send = Some((suspect.sent_at, is_whole));
                    last_sent[index] = last_sent[index].max(send);
                }
            }
        }
        let explained = explained_by(blamed, crash);
        let sent = repeated.iter().zip(&last_sent);
        let sent = sent.filter(|(id, _)| !explained.contains(id));
        sends.extend(sent.filter_map(|(&id, last_sent)| {
            let (sent_at, is_whole) = (*last_sent)?;
            Some(SuspectSend {
                id,
                crashed_at: crash.at,
                crash: number,
                sent_at,
                is_whole,
                is_crowded: is_crowded(crash),
            })
        }));
    }
    sends.sort_unstable();
    let by_id = sends.chunk_by(|a, b| a.id == b.id);
    by_id.map(|sends| candidate(sends, bursts)).collect()
}

/// Returns what is in the requests of `crash` that have one of `blamed`.
fn explained_by(blamed: &[PartId], crash: &Crash) -> Vec<PartId> {
    if blamed.is_empty() {
        return Vec::new();
    }
    let suspects = crash.suspects.iter();
    let with_blamed = suspects.filter(|suspect| suspect.has_any(blamed));
    with_blamed.flat_map(Suspect::ids).collect()
}

/// Returns what caused crashes if `sends`, the last of each crash that have it, in order of the crashes, show it.
fn candidate(sends: &[SuspectSend], bursts: &[Burst]) -> Candidate {
    let is_whole = sends.iter().any(|send| send.is_whole);
    let mut crashes = 0;
    let mut last: Option<BootInstant> = None;
    for send in sends {
        let SuspectSend {
            crashed_at,
            sent_at,
            ..
        } = *send;
        let is_separate =
            |last| (is_whole || sent_at > last) && !are_of_one_burst(bursts, last, crashed_at);
        if last.is_none_or(is_separate) {
            crashes += 1;
            last = Some(crashed_at);
        }
    }
    Candidate {
        id: sends[0].id,
        is_whole,
        crashes,
        is_crowded: sends.iter().any(|send| send.is_crowded),
    }
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
