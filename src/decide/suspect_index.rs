//! Counts the crashes that each prompt part or whole request is suspect of.
//!
//! Load pattern: hundreds of requests run at a server that crashes, and all but a few of them are suspect of this crash
//! alone. Answers to other requests arrive meanwhile, thousands in a second, and concern none of these crashes.

use super::crash::Crash;
use super::crash::PartId;

/// Number of crashes that each part or request is suspect of.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectIndex {
    /// Sorted by part, without zeros.
    counts: Vec<(PartId, usize)>,
}

impl SuspectIndex {
    /// Counts what is suspect of `crashes`.
    pub(super) fn of(crashes: &[Crash]) -> Self {
        let mut ids: Vec<PartId> = crashes.iter().flat_map(suspect_ids).collect();
        ids.sort_unstable();
        let by_id = ids.chunk_by(|a, b| a == b);
        Self {
            counts: by_id.map(|same| (same[0], same.len())).collect(),
        }
    }

    /// Returns the number of crashes that `id` is suspect of.
    pub(super) fn count(&self, id: PartId) -> usize {
        let found = self.counts.binary_search_by_key(&id, |known| known.0);
        found.map_or(0, |index| self.counts[index].1)
    }

    /// Returns whether nothing is suspect.
    pub(super) fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Returns what is suspect of several crashes, sorted.
    pub(super) fn repeated(&self) -> Vec<PartId> {
        let repeated = self.counts.iter().filter(|known| known.1 > 1);
        repeated.map(|known| known.0).collect()
    }

    /// Counts what is suspect of `added`, where `known` are the suspects that were counted of the same crash before.
    pub(super) fn add(&mut self, added: &Crash, known: Option<&Crash>) {
        for id in suspect_ids(added) {
            let count = self.count(id);
            let is_counted = count > 0 && known.is_some_and(|known| known.has(id));
            if !is_counted {
                self.set(id, count + 1);
            }
        }
    }

    /// Sets the number of crashes that `id` is suspect of.
    pub(super) fn set(&mut self, id: PartId, count: usize) {
        match self.counts.binary_search_by_key(&id, |known| known.0) {
            Ok(index) if count == 0 => {
                self.counts.remove(index);
            }
            Ok(index) => self.counts[index].1 = count,
            Err(_) if count == 0 => {}
            Err(index) => self.counts.insert(index, (id, count)),
        }
    }
}

/// Returns what is suspect of `crash`, each part or request once, sorted.
fn suspect_ids(crash: &Crash) -> Vec<PartId> {
    let suspects = crash.suspects.iter();
    let mut ids: Vec<PartId> = suspects.flat_map(|suspect| suspect.ids()).collect();
    ids.sort_unstable();
    ids.dedup();
    ids
}
