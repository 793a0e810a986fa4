//! What one shard's stream says about its keys, as far as it has been read.
//!
//! Who holds a key follows from the stream's order alone, so every node that reads the same stream names the same
//! holder: the first claim by offset that was not released. Nobody but the holder ever runs the call.

use super::IdempotencyKey;
use super::record::Entry;
use super::record::Record;
use super::stored_outcome::StoredOutcome;
use std::collections::HashMap;
use std::collections::VecDeque;
use uuid::Uuid;

/// Digest of team, service, method, path and body of a call.
pub type Fingerprint = [u8; 32];

/// One claim of one process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ClaimId {
    /// The process that claims.
    pub(super) incarnation: Uuid,
    /// Number of the claim within the process.
    pub(super) number: u64,
}

/// What is known of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Known {
    /// Nobody holds it.
    Free,
    /// It was claimed for another call.
    Reused,
    /// Its holder is this process and is still at it.
    Running,
    /// Another process holds it since that time by the log, and has not told an outcome yet.
    Held {
        /// Time of the claim by the log's clock, in milliseconds since 1970.
        since_ms: u64,
    },
    /// Its call has ended.
    Done(StoredOutcome),
}

/// What became of one of this process's own claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// It holds the key.
    Won,
    /// Another claim holds or held the key.
    Lost(Known),
}

/// One of this process's own claims, decided.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Decided {
    /// The key.
    pub(super) key: IdempotencyKey,
    /// Number of the claim.
    pub(super) number: u64,
    /// What became of it.
    pub(super) verdict: Verdict,
}

#[derive(Debug)]
enum State {
    Held {
        claim: ClaimId,
        since_ms: u64,
        /// Whether this process has given it up and its release is under way.
        releasing: bool,
    },
    Done(StoredOutcome),
}

#[derive(Debug)]
struct Held {
    fingerprint: Fingerprint,
    state: State,
}

/// The keys of one shard.
#[derive(Debug)]
pub(super) struct Window {
    own: Uuid,
    /// Most bytes of answers that are kept.
    max_body_bytes: usize,
    body_bytes: usize,
    // A hash map, since a busy shard holds a hundred thousand keys and more.
    keys: HashMap<IdempotencyKey, Held>,
    /// Keys by arrival.
    order: VecDeque<IdempotencyKey>,
    /// Keys with kept bodies by arrival.
    bodies: VecDeque<IdempotencyKey>,
}

impl Window {
    /// Makes an empty window for the process `own`.
    pub(super) fn new(own: Uuid, max_body_bytes: usize) -> Self {
        Self {
            own,
            max_body_bytes,
            body_bytes: 0,
            keys: HashMap::new(),
            order: VecDeque::new(),
            bodies: VecDeque::new(),
        }
    }

    /// Counts the keys.
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells what is known of `key` for a call with the fingerprint `fingerprint`.
    pub(super) fn known(&self, key: IdempotencyKey, fingerprint: &Fingerprint) -> Known {
        let Some(held) = self.keys.get(&key) else {
            return Known::Free;
        };
        if held.fingerprint != *fingerprint {
            return Known::Reused;
        }
        match &held.state {
            State::Done(stored) => Known::Done(stored.clone()),
            State::Held {
                releasing: true, ..
            } => Known::Free,
            State::Held { claim, .. } if claim.incarnation == self.own => Known::Running,
            State::Held { since_ms, .. } => Known::Held {
                since_ms: *since_ms,
            },
        }
    }

    /// Takes in the stream's next record, and tells what became of this process's own claims in it.
    pub(super) fn apply(&mut self, record: Record, time_ms: u64) -> Vec<Decided> {
        let mut verdicts = Vec::new();
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
                    let own = verdict.filter(|_| claim.incarnation == self.own);
                    verdicts.extend(own.map(|verdict| Decided {
                        key,
                        number: claim.number,
                        verdict,
                    }));
                }
                Entry::Ended { key, stored, .. } => self.end(key, claim, stored),
                Entry::Released { key, .. } => self.release(key, claim),
            }
        }
        verdicts
    }

    fn claim(
        &mut self,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        claim: ClaimId,
        since_ms: u64,
    ) -> Option<Verdict> {
        if let Some(held) = self.keys.get(&key) {
            // A record may stand in the stream twice; the second one decides nothing, since the first has done so.
            let is_holder =
                matches!(&held.state, State::Held { claim: holder, .. } if *holder == claim);
            return (!is_holder).then(|| Verdict::Lost(self.known(key, &fingerprint)));
        }
        let state = State::Held {
            claim,
            since_ms,
            releasing: false,
        };
        self.keys.insert(key, Held { fingerprint, state });
        self.order.push_back(key);
        Some(Verdict::Won)
    }

    /// Notes how the call of the holder's claim ended; anybody else's word counts for nothing.
    pub(super) fn end(&mut self, key: IdempotencyKey, claim: ClaimId, stored: StoredOutcome) {
        let Some(held) = self.keys.get_mut(&key) else {
            return;
        };
        if !matches!(&held.state, State::Held { claim: holder, .. } if *holder == claim) {
            return;
        }
        if stored.body_len() > 0 {
            self.body_bytes += stored.body_len();
            self.bodies.push_back(key);
        }
        held.state = State::Done(stored);
        self.bound_bodies();
    }

    /// Notes that this process gives up its claim; the key is free when the stream says so.
    pub(super) fn give_up(&mut self, key: IdempotencyKey, number: u64) {
        let own = ClaimId {
            incarnation: self.own,
            number,
        };
        if let Some(Held {
            state: State::Held {
                claim, releasing, ..
            },
            ..
        }) = self.keys.get_mut(&key)
        {
            *releasing |= *claim == own;
        }
    }

    fn release(&mut self, key: IdempotencyKey, claim: ClaimId) {
        let holds = self.keys.get(&key).is_some_and(
            |held| matches!(&held.state, State::Held { claim: holder, .. } if *holder == claim),
        );
        if holds {
            self.keys.remove(&key);
        }
    }

    /// Forgets the keys that `is_old`; calls under them are refused by their age.
    pub(super) fn prune(&mut self, is_old: impl Fn(IdempotencyKey) -> bool) {
        while let Some(key) = self.order.front().copied().filter(|key| is_old(*key)) {
            self.order.pop_front();
            if let Some(held) = self.keys.remove(&key)
                && let State::Done(stored) = held.state
            {
                self.body_bytes -= stored.body_len();
            }
        }
    }

    fn bound_bodies(&mut self) {
        while self.body_bytes > self.max_body_bytes {
            let Some(key) = self.bodies.pop_front() else {
                return;
            };
            if let Some(Held {
                state: State::Done(stored),
                ..
            }) = self.keys.get_mut(&key)
            {
                self.body_bytes -= stored.body_len();
                stored.evict_body();
            }
        }
    }
}
