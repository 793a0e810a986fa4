//! What gateways tell each other about crashes and held parts.

use crate::clock::BootInstant;
use crate::decide::Crash;
use crate::decide::Hold;
use crate::decide::Incarnation;
use crate::decide::PartId;
use crate::decide::Sight;
use crate::decide::Sighting;
use crate::decide::Suspect;
use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// Something that a gateway has learned about crashes of servers. Times are ages when the record is sent, since the
/// clocks of gateways differ.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum CrashRecord {
    /// A server crashed.
    Crash {
        /// Name of the server.
        server: String,
        /// Unix time at which its incarnation started, in milliseconds.
        start_time_ms: u64,
        /// Time since the crash.
        age_ms: u64,
        /// Requests that it had not answered whole.
        suspects: Vec<SuspectRecord>,
    },
    /// A part that was suspect or held does not crash servers.
    Sound {
        /// The part.
        part: PartId,
        /// Time since an answer to a request with it began.
        age_ms: u64,
    },
    /// An operator lets a part through.
    Release {
        /// The part.
        part: PartId,
        /// Time since then.
        age_ms: u64,
    },
    /// A part is held back.
    Hold {
        /// The part.
        part: PartId,
        /// Time since a server last crashed under it.
        age_ms: u64,
        /// Number of requests that were let through to find out whether it still crashes servers.
        trials: u32,
        /// Time since the last of them.
        trial_age_ms: Option<u64>,
    },
}

/// A request whose server crashed before it began to answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SuspectRecord {
    /// Hash of the request id.
    pub request: u64,
    /// Parts of its prompt that other requests may share, in order; none if the server had begun to answer.
    pub parts: Vec<PartId>,
    /// The whole request; gateways of earlier versions don't tell it.
    #[serde(default)]
    pub whole: Option<PartId>,
    /// Time from the sending of the request until the crash.
    pub sent_before_ms: u64,
}

/// What a gateway saw of a server that seems to have crashed or was lost together with one.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SightingRecord {
    /// Name of the server.
    pub server: String,
    /// Unix time at which its incarnation started, in milliseconds.
    pub start_time_ms: u64,
    /// Time since it was seen.
    pub age_ms: u64,
    /// For a server that was alive, the time for which it is known to have been so; `None` for one that was lost.
    pub alive_for_ms: Option<u64>,
}

/// Records for another gateway. Sightings are apart from the others, since gateways of earlier versions don't know them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Records {
    /// Crashes, answers and held parts.
    pub crashes: Vec<CrashRecord>,
    /// What was seen of servers.
    pub sightings: Vec<SightingRecord>,
}

/// The content of a [`CrashRecord`] or [`SightingRecord`] with times of this gateway's clock.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CrashEvent {
    Crash(Crash),
    Sound(PartId, BootInstant),
    Release(PartId, BootInstant),
    Hold(Hold),
    Seen(Sighting),
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl CrashEvent {
    /// Returns when it happened.
    pub(super) fn at(&self) -> BootInstant {
        match self {
            Self::Crash(crash) => crash.at,
            Self::Sound(_, at) | Self::Release(_, at) => *at,
            Self::Hold(hold) => hold.since,
            Self::Seen(sighting) => sighting.at,
        }
    }

    /// Adds it to `records` of a message that is sent at `now`.
    pub(super) fn add_to(&self, records: &mut Records, now: BootInstant) {
        let age_ms = millis(now.since(self.at()));
        let record = match self {
            Self::Seen(sighting) => {
                let alive_for_ms = match sighting.sight {
                    // The start of the clock lies at another time on each host.
                    Sight::Alive { since } if since == BootInstant::default() => Some(u64::MAX),
                    Sight::Alive { since } => Some(millis(sighting.at.since(since))),
                    Sight::Lost => None,
                };
                records.sightings.push(SightingRecord {
                    server: sighting.incarnation.server.clone(),
                    start_time_ms: sighting.incarnation.start_time_ms,
                    age_ms,
                    alive_for_ms,
                });
                return;
            }
            Self::Crash(crash) => CrashRecord::Crash {
                server: crash.server.clone(),
                start_time_ms: crash.start_time_ms,
                age_ms,
                suspects: crash
                    .suspects
                    .iter()
                    .map(|suspect| SuspectRecord {
                        request: suspect.request,
                        parts: suspect.parts.clone(),
                        whole: suspect.whole,
                        sent_before_ms: millis(crash.at.since(suspect.sent_at)),
                    })
                    .collect(),
            },
            Self::Sound(part, _) => CrashRecord::Sound {
                part: *part,
                age_ms,
            },
            Self::Release(part, _) => CrashRecord::Release {
                part: *part,
                age_ms,
            },
            Self::Hold(hold) => CrashRecord::Hold {
                part: hold.part,
                age_ms,
                trials: hold.trials,
                trial_age_ms: hold.last_trial_at.map(|at| millis(now.since(at))),
            },
        };
        records.crashes.push(record);
    }

    /// Converts a sighting that was received at `now`.
    pub(super) fn from_sighting(record: SightingRecord, now: BootInstant) -> Self {
        let at = now.before(Duration::from_millis(record.age_ms));
        let sight = record
            .alive_for_ms
            .map_or(Sight::Lost, |time| Sight::Alive {
                since: at.before(Duration::from_millis(time)),
            });
        Self::Seen(Sighting {
            incarnation: Incarnation {
                server: record.server,
                start_time_ms: record.start_time_ms,
            },
            at,
            sight,
        })
    }

    /// Converts a record that was received at `now`.
    pub(super) fn from_record(record: CrashRecord, now: BootInstant) -> Self {
        let at = |age_ms| now.before(Duration::from_millis(age_ms));
        match record {
            CrashRecord::Crash {
                server,
                start_time_ms,
                age_ms,
                suspects,
            } => Self::Crash(Crash {
                server,
                start_time_ms,
                at: at(age_ms),
                suspects: suspects
                    .into_iter()
                    .map(|suspect| Suspect {
                        request: suspect.request,
                        parts: suspect.parts,
                        whole: suspect.whole,
                        sent_at: at(age_ms).before(Duration::from_millis(suspect.sent_before_ms)),
                    })
                    .collect(),
            }),
            CrashRecord::Sound { part, age_ms } => Self::Sound(part, at(age_ms)),
            CrashRecord::Release { part, age_ms } => Self::Release(part, at(age_ms)),
            CrashRecord::Hold {
                part,
                age_ms,
                trials,
                trial_age_ms,
            } => Self::Hold(Hold {
                part,
                since: at(age_ms),
                trials,
                last_trial_at: trial_age_ms.map(at),
            }),
        }
    }
}
