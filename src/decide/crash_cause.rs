//! Finds what explains the crashes of servers: parts of prompts, or whole requests.

use super::crash::Crash;
use super::crash::PartId;
use super::crash::Suspect;
use super::crash_burst::Burst;
use super::crash_burst::are_of_one_burst;
use crate::clock::BootInstant;

/// Number of crashes after which something is held back.
const MIN_CRASHES: usize = 2;

/// Something that may have caused crashes.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: PartId,
    is_whole: bool,
    /// Number of crashes that it may be to blame for.
    crashes: usize,
}

/// Returns what together explains the crashes that need an explanation, first what explains most.
///
/// Of what explains equally many, a whole request is to blame before a part of its prompt, and a later part before an earlier
/// one, since fewer requests share it: the others go on, and their answers or further crashes tell whether it was a part.
pub(super) fn blamed_parts(crashes: &[Crash], bursts: &[Burst]) -> Vec<PartId> {
    let mut unexplained: Vec<&Crash> = crashes.iter().collect();
    let mut blamed = Vec::new();
    loop {
        let candidates = candidates(&unexplained, bursts);
        let max = candidates.iter().map(|candidate| candidate.crashes).max();
        let max = max.unwrap_or(0);
        if max < MIN_CRASHES {
            return blamed;
        }
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
        unexplained.retain(|crash| !crash.has_any(&likely));
        blamed.extend(likely);
    }
}

/// Returns what may have caused crashes. The crash of a server counts once for it, as does a burst of crashes.
///
/// A crash counts for a part only if the part was sent after the crash before it, since servers that crash at the same time have
/// a common cause, and at each of them requests share the part. Copies of one request are rarely at several servers, so
/// that all of their crashes count for a whole request.
fn candidates(crashes: &[&Crash], bursts: &[Burst]) -> Vec<Candidate> {
    let mut sends: Vec<(PartId, BootInstant, BootInstant, bool)> = Vec::new();
    for crash in crashes {
        let suspects = crash.suspects.iter();
        let mut ids: Vec<(PartId, bool)> = suspects
            .flat_map(|suspect| {
                let parts = suspect.parts.iter().map(|part| (*part, false));
                parts.chain(suspect.whole.map(|whole| (whole, true)))
            })
            .collect();
        ids.sort_unstable();
        ids.dedup();
        for (id, is_whole) in ids {
            let last_sent = crash.last_sent_with(id);
            sends.extend(last_sent.map(|sent_at| (id, crash.at, sent_at, is_whole)));
        }
    }
    sends.sort_unstable();
    let by_id = sends.chunk_by(|a, b| a.0 == b.0);
    by_id
        .map(|sends| {
            let (id, .., is_whole) = sends[0];
            let mut crashes = 0;
            let mut last: Option<BootInstant> = None;
            for &(_, crashed_at, sent_at, _) in sends {
                let is_separate = |last| {
                    (is_whole || sent_at > last) && !are_of_one_burst(bursts, last, crashed_at)
                };
                if last.is_none_or(is_separate) {
                    crashes += 1;
                    last = Some(crashed_at);
                }
            }
            Candidate {
                id,
                is_whole,
                crashes,
            }
        })
        .collect()
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
