//! Decides what shows that a server did not crash, or did not crash under a request, although it refuses connections.
//!
//! Load pattern: a link is cut, or a host or data centre loses power. Connections to servers that run on are reset and
//! new ones are refused, as after a crash; many servers fall at once; and requests that are sent on connections from
//! before the cut break off one after another, as if each crashed its server.
//!
//! An incarnation that is seen alive after its reported crash did not crash. A request that was sent to a server which
//! could not be reached any more did not crash it. Where a gateway loses most servers of a data centre, or of all, at the
//! same moment, the common cause is no request.

use super::crash::Crash;
use super::crash::PartId;
use super::crash::Suspect;
use crate::clock::BootInstant;
use std::time::Duration;

/// Number of other servers that must be lost together with one so that no request is to blame.
const MIN_COMMON_LOSS: usize = 4;
/// Time for which a lost server is remembered: connections from before the loss are not used any more by then.
const LOSS_MEMORY: Duration = Duration::from_secs(10);
/// Time for which it is remembered that a server was alive, since reports of its crash may arrive late.
const LIFE_MEMORY: Duration = Duration::from_secs(600);
/// Time after a crash for which its retraction is remembered: other gateways report the crash for that long.
const RETRACTED_MEMORY: Duration = Duration::from_secs(600);
/// Maximum number of parts whose retraction is remembered; the oldest are forgotten first.
const MAX_RETRACTED: usize = 4_096;
/// Maximum time that a report is under way to another gateway, by which its times seem later.
pub(super) const MAX_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of sightings; the oldest are forgotten first.
const MAX_SIGHTINGS: usize = 1_024;

/// One start of a server.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Incarnation {
    /// Name of the server.
    pub server: String,
    /// Unix time of its start, in milliseconds.
    pub start_time_ms: u64,
}

/// What was seen of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sight {
    /// The incarnation ran all the time since this instant; the start of the clock if its start time was seen again.
    Alive {
        /// Start of the time.
        since: BootInstant,
    },
    /// A gateway that lost another server found that this one could not be reached.
    Lost,
}

/// What a gateway saw of a server at a moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sighting {
    /// The server.
    pub incarnation: Incarnation,
    /// When it was seen.
    pub at: BootInstant,
    /// What was seen.
    pub sight: Sight,
}

/// The newest sightings of servers that seem to have crashed, and of those that were lost with them.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    /// Sorted by incarnation.
    sightings: Vec<Sighting>,
    /// Parts that were suspect by mistake, and when their servers seemed to crash; sorted by part.
    retracted: Vec<(PartId, BootInstant)>,
}

impl Sighting {
    fn is_expired(&self, now: BootInstant) -> bool {
        let memory = match self.sight {
            Sight::Alive { .. } => LIFE_MEMORY,
            Sight::Lost => LOSS_MEMORY,
        };
        now.since(self.at) > memory
    }

    /// Returns whether it shows that the incarnation did not crash at `at`.
    fn disproves_crash(&self, at: BootInstant) -> bool {
        matches!(self.sight, Sight::Alive { since } if since <= at && at < self.at)
    }
}

impl CrashEvidence {
    /// Records a sighting. Returns whether it says more than what was known.
    pub fn record(&mut self, sighting: Sighting) -> bool {
        let known = self.known(&sighting.incarnation);
        let is_known = known
            .iter()
            .any(|known| match (known.sight, sighting.sight) {
                (Sight::Alive { since: known_since }, Sight::Alive { since }) => {
                    known_since <= since && sighting.at <= known.at
                }
                // The first gateway that found it lost tells of more requests that can't have crashed it.
                (Sight::Lost, Sight::Lost) => known.at <= sighting.at,
                (Sight::Alive { .. }, Sight::Lost) => sighting.at < known.at,
                (Sight::Lost, Sight::Alive { .. }) => false,
            });
        if is_known {
            return false;
        }
        let is_replaced = |known: &Sighting| match (known.sight, sighting.sight) {
            (Sight::Alive { since: known_since }, Sight::Alive { since }) => {
                since <= known_since && known.at <= sighting.at
            }
            (Sight::Lost, Sight::Lost) => true,
            (Sight::Lost, Sight::Alive { .. }) => known.at < sighting.at,
            (Sight::Alive { .. }, Sight::Lost) => false,
        };
        self.sightings
            .retain(|known| known.incarnation != sighting.incarnation || !is_replaced(known));
        let index = self
            .sightings
            .partition_point(|known| known.incarnation <= sighting.incarnation);
        self.sightings.insert(index, sighting);
        if self.sightings.len() > MAX_SIGHTINGS {
            let oldest = (0..self.sightings.len()).min_by_key(|&index| self.sightings[index].at);
            self.sightings.remove(oldest.unwrap_or(0));
        }
        true
    }

    /// Forgets what no report can refer to any more.
    pub fn expire(&mut self, now: BootInstant) {
        self.sightings.retain(|known| !known.is_expired(now));
        self.retracted
            .retain(|known| now.since(known.1) < RETRACTED_MEMORY);
    }

    /// Removes the suspects that can't have crashed the server of `crash`, and remembers that their parts were suspect by
    /// mistake.
    pub fn remove_disproved(&mut self, crash: &mut Crash) {
        let incarnation = crash.incarnation();
        let is_alive = self.disproves_crash(&incarnation, crash.at);
        let is_disproved = |suspect: &mut Suspect| {
            is_alive || self.was_lost(&incarnation, suspect.sent_at.before(MAX_DELAY))
        };
        let removed: Vec<Suspect> = crash.suspects.extract_if(.., is_disproved).collect();
        for part in removed.iter().flat_map(Suspect::ids) {
            self.retract(part, crash.at);
        }
    }

    fn retract(&mut self, part: PartId, at: BootInstant) {
        match self.retracted.binary_search_by_key(&part, |known| known.0) {
            Ok(index) => self.retracted[index].1 = self.retracted[index].1.max(at),
            Err(index) => self.retracted.insert(index, (part, at)),
        }
        if self.retracted.len() > MAX_RETRACTED {
            let oldest = (0..self.retracted.len()).min_by_key(|&index| self.retracted[index].1);
            self.retracted.remove(oldest.unwrap_or(0));
        }
    }

    /// Returns whether a crash that `part` was suspect of has been retracted, so that holds of it need crashes that are known
    /// here.
    pub fn is_retracted(&self, part: PartId) -> bool {
        let found = self.retracted.binary_search_by_key(&part, |known| known.0);
        found.is_ok()
    }

    /// Returns whether `incarnation` is known not to have crashed at `at`.
    pub fn disproves_crash(&self, incarnation: &Incarnation, at: BootInstant) -> bool {
        let known = self.known(incarnation);
        known.iter().any(|known| known.disproves_crash(at))
    }

    /// Returns whether the start time of `incarnation` was seen again after some gateway took it for crashed.
    pub fn was_seen_again(&self, incarnation: &Incarnation) -> bool {
        self.disproves_crash(incarnation, BootInstant::default())
    }

    /// Returns whether `incarnation` could not be reached any more at `at`.
    pub fn was_lost(&self, incarnation: &Incarnation, at: BootInstant) -> bool {
        let known = self.known(incarnation);
        known
            .iter()
            .any(|known| known.sight == Sight::Lost && known.at < at)
    }

    /// Returns the known sightings of `incarnation`.
    fn known(&self, incarnation: &Incarnation) -> &[Sighting] {
        let first = self
            .sightings
            .partition_point(|known| known.incarnation < *incarnation);
        let count =
            self.sightings[first..].partition_point(|known| known.incarnation == *incarnation);
        &self.sightings[first..first + count]
    }
}

/// Returns whether the cause of a loss is no request, when of `tried` other servers `lost` can't be reached at that moment
/// either.
pub fn is_common_loss(lost: usize, tried: usize) -> bool {
    lost >= MIN_COMMON_LOSS && lost * 2 >= tried
}
