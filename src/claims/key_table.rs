//! State of the keys of one shard, built by applying the records of its stream in order.
//!
//! The holder of a key is the claim with the lowest offset that was not released. This depends only on the order of the
//! stream, so all nodes that read the stream agree on the holder. Only the holder may run the call.

use super::IdempotencyKey;
use super::record::Entry;
use super::record::Record;
use super::stored_outcome::StoredOutcome;
use std::collections::HashMap;
use std::collections::VecDeque;
use uuid::Uuid;

/// Hash of the team, service, method, path and body of a call.
pub type Fingerprint = [u8; 32];

/// Identifies one claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ClaimId {
    /// Incarnation of the process that made the claim: a random id that each process creates at its start.
    pub(super) incarnation: Uuid,
    /// Number of the claim within the process and shard.
    pub(super) number: u64,
}

/// State of a key, as seen by this process for a given call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum KeyStatus {
    /// No claim holds the key, or the holder is a claim that this process has given up.
    Free,
    /// The key was claimed for a call with another fingerprint.
    Reused,
    /// This process holds the key, and the call has not ended.
    Running,
    /// Another process holds the key, and the stream has no outcome of the call yet.
    Held {
        /// Time of the claim by the log's clock, in milliseconds since 1970.
        claimed_at_ms: u64,
    },
    /// The call has ended.
    Done(StoredOutcome),
}

/// Result of a claim of this process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// The claim holds the key.
    Won,
    /// Another claim holds or held the key.
    Lost(KeyStatus),
}

/// A claim of this process with its result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct DecidedClaim {
    /// The key.
    pub(super) key: IdempotencyKey,
    /// Number of the claim.
    pub(super) number: u64,
    /// Result of the claim.
    pub(super) verdict: Verdict,
}

/// State of the claim that holds or held a key.
#[derive(Debug)]
enum ClaimState {
    Held {
        claim: ClaimId,
        claimed_at_ms: u64,
        /// Whether this process has given up the claim; its release may not be in the stream yet.
        releasing: bool,
    },
    Done(StoredOutcome),
}

/// Call and state of a key that was claimed.
#[derive(Debug)]
struct ClaimedKey {
    fingerprint: Fingerprint,
    state: ClaimState,
}

/// The keys of one shard.
#[derive(Debug)]
pub(super) struct KeyTable {
    own_incarnation: Uuid,
    /// Maximum total size of the stored bodies in bytes.
    max_body_bytes: usize,
    /// Total size of the stored bodies in bytes.
    body_bytes: usize,
    // A hash map, because a busy shard has a hundred thousand keys or more.
    keys: HashMap<IdempotencyKey, ClaimedKey>,
    /// Keys in the order in which they were claimed. A released key stays listed, and occurs again if claimed again.
    arrival_order: VecDeque<IdempotencyKey>,
    /// Keys with stored bodies in the order in which their calls ended. Pruned keys may still be listed.
    body_order: VecDeque<IdempotencyKey>,
}

impl KeyTable {
    /// Creates an empty table for the process with the incarnation `own_incarnation`.
    pub(super) fn new(own_incarnation: Uuid, max_body_bytes: usize) -> Self {
        Self {
            own_incarnation,
            max_body_bytes,
            body_bytes: 0,
            keys: HashMap::new(),
            arrival_order: VecDeque::new(),
            body_order: VecDeque::new(),
        }
    }

    /// Returns the number of claimed keys.
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns the state of `key` for a call with the given fingerprint.
    pub(super) fn status(&self, key: IdempotencyKey, fingerprint: &Fingerprint) -> KeyStatus {
        let Some(claimed) = self.keys.get(&key) else {
            return KeyStatus::Free;
        };
        if claimed.fingerprint != *fingerprint {
            return KeyStatus::Reused;
        }
        match &claimed.state {
            ClaimState::Done(stored) => KeyStatus::Done(stored.clone()),
            ClaimState::Held {
                releasing: true, ..
            } => KeyStatus::Free,
            ClaimState::Held { claim, .. } if claim.incarnation == self.own_incarnation => {
                KeyStatus::Running
            }
            ClaimState::Held { claimed_at_ms, .. } => KeyStatus::Held {
                claimed_at_ms: *claimed_at_ms,
            },
        }
    }

    /// Applies the next record of the stream and returns the results of this process's claims in it.
    pub(super) fn apply(&mut self, record: Record, time_ms: u64) -> Vec<DecidedClaim> {
        let mut decided = Vec::new();
        for entry in record.entries {
            let claim = ClaimId {
                incarnation: record.incarnation,
                number: entry.claim(),
            };
            match entry {
                Entry::Claim {
                    key, fingerprint, ..
                } => {
                    let verdict = self.claim(key, fingerprint, claim, time_ms);
                    let own = verdict.filter(|_| claim.incarnation == self.own_incarnation);
                    decided.extend(own.map(|verdict| DecidedClaim {
                        key,
                        number: claim.number,
                        verdict,
                    }));
                }
                Entry::Ended { key, stored, .. } => self.end(key, claim, stored),
                Entry::Released { key, .. } => self.release(key, claim),
            }
        }
        decided
    }

    fn claim(
        &mut self,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        claim: ClaimId,
        claimed_at_ms: u64,
    ) -> Option<Verdict> {
        if let Some(claimed) = self.keys.get(&key) {
            // A record may occur in the stream twice. The second occurrence of the holder's claim has no effect, since
            // the first one already decided it.
            let is_holder = matches!(&claimed.state, ClaimState::Held { claim: holder, .. } if *holder == claim);
            return (!is_holder).then(|| Verdict::Lost(self.status(key, &fingerprint)));
        }
        let state = ClaimState::Held {
            claim,
            claimed_at_ms,
            releasing: false,
        };
        self.keys.insert(key, ClaimedKey { fingerprint, state });
        self.arrival_order.push_back(key);
        Some(Verdict::Won)
    }

    /// Records the outcome of the call, if `claim` holds the key. Outcomes from other claims are ignored.
    pub(super) fn end(&mut self, key: IdempotencyKey, claim: ClaimId, stored: StoredOutcome) {
        let Some(claimed) = self.keys.get_mut(&key) else {
            return;
        };
        if !matches!(&claimed.state, ClaimState::Held { claim: holder, .. } if *holder == claim) {
            return;
        }
        if stored.body_len() > 0 {
            self.body_bytes += stored.body_len();
            self.body_order.push_back(key);
        }
        claimed.state = ClaimState::Done(stored);
        self.evict_bodies();
    }

    /// Marks a claim of this process as given up, so that this process may claim the key again. In the stream the claim
    /// holds the key until its release follows.
    pub(super) fn mark_releasing(&mut self, key: IdempotencyKey, number: u64) {
        let own = ClaimId {
            incarnation: self.own_incarnation,
            number,
        };
        if let Some(ClaimedKey {
            state: ClaimState::Held {
                claim, releasing, ..
            },
            ..
        }) = self.keys.get_mut(&key)
        {
            *releasing |= *claim == own;
        }
    }

    fn release(&mut self, key: IdempotencyKey, claim: ClaimId) {
        let is_holder = self.keys.get(&key).is_some_and(
            |claimed| matches!(&claimed.state, ClaimState::Held { claim: holder, .. } if *holder == claim),
        );
        if is_holder {
            self.keys.remove(&key);
        }
    }

    /// Removes keys in the order in which they were claimed, until `is_expired` is false for the next one. Calls with
    /// the removed keys are rejected by the key's age.
    pub(super) fn prune(&mut self, is_expired: impl Fn(IdempotencyKey) -> bool) {
        while let Some(key) = self
            .arrival_order
            .front()
            .copied()
            .filter(|key| is_expired(*key))
        {
            self.arrival_order.pop_front();
            if let Some(claimed) = self.keys.remove(&key)
                && let ClaimState::Done(stored) = claimed.state
            {
                self.body_bytes -= stored.body_len();
            }
        }
    }

    /// Drops the oldest stored bodies until their total size is within the limit.
    fn evict_bodies(&mut self) {
        while self.body_bytes > self.max_body_bytes {
            let Some(key) = self.body_order.pop_front() else {
                return;
            };
            if let Some(ClaimedKey {
                state: ClaimState::Done(stored),
                ..
            }) = self.keys.get_mut(&key)
            {
                self.body_bytes -= stored.body_len();
                stored.evict_body();
            }
        }
    }
}
