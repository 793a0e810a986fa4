//! Crashes of servers and the requests that may have caused them.

use super::crash_evidence::Incarnation;
use crate::clock::BootInstant;

/// Identifies what requests have in common: a part of their prompts, or the whole request that is sent again.
pub type PartId = u64;

/// A request that had no whole answer when its server crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// Hash of the request id.
    pub request: u64,
    /// Parts of its prompt that other requests may share, in order; none if the server had begun to answer.
    pub parts: Vec<PartId>,
    /// The whole request, which its caller may send again; `None` if it was answered whole since, or a gateway of an earlier
    /// version reports the crash.
    pub whole: Option<PartId>,
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
    /// Requests that it had not answered whole.
    pub suspects: Vec<Suspect>,
}

impl Suspect {
    /// Returns what may be to blame, from what most requests share to the request itself.
    pub fn ids(&self) -> impl DoubleEndedIterator<Item = PartId> {
        self.parts.iter().copied().chain(self.whole)
    }

    /// Returns whether its parts or the whole request are one of `ids`.
    pub fn has_any(&self, ids: &[PartId]) -> bool {
        self.ids().any(|id| ids.contains(&id))
    }

    fn has(&self, id: PartId) -> bool {
        self.whole == Some(id) || self.parts.contains(&id)
    }

    /// Clears `id` of the crash; returns whether it was suspect.
    fn clear(&mut self, id: PartId) -> bool {
        if !self.has(id) {
            return false;
        }
        self.parts.retain(|known| *known != id);
        self.whole = self.whole.filter(|known| *known != id);
        true
    }
}

impl Crash {
    pub(super) fn is_of(&self, other: &Self) -> bool {
        self.server == other.server && self.start_time_ms == other.start_time_ms
    }

    /// Returns the incarnation that crashed.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            server: self.server.clone(),
            start_time_ms: self.start_time_ms,
        }
    }

    /// Returns whether `id` may have caused it.
    pub fn has(&self, id: PartId) -> bool {
        self.suspects.iter().any(|suspect| suspect.has(id))
    }

    /// Returns whether one of `ids` may have caused it.
    pub(super) fn has_any(&self, ids: &[PartId]) -> bool {
        self.suspects.iter().any(|suspect| suspect.has_any(ids))
    }

    /// Clears `id` of the crash; returns whether it was suspect.
    pub(super) fn clear(&mut self, id: PartId) -> bool {
        let mut is_cleared = false;
        for suspect in &mut self.suspects {
            is_cleared |= suspect.clear(id);
        }
        is_cleared
    }

    /// Clears all of the crash, whose cause is known.
    pub(super) fn clear_all(&mut self) {
        for suspect in &mut self.suspects {
            suspect.parts.clear();
            suspect.whole = None;
        }
    }
}
