//! Learns how much each server of a service takes well, where servers tell how long work takes on their machine.
//!
//! Load pattern: servers of one service differ in speed, share machines with others that disturb them for half a second at a time,
//! or slow down long before their slots are taken. If all counted as equal, calls to the slow ones would be late while others
//! idle. No gateway of a large fleet sees enough of a server, so the gateways add up what they see. Slow servers still get
//! requests, in proportion to what they take well, and these tell when they recover. See `docs/design/UNEVEN-SERVERS.md`.

use super::pace::PaceKind;
use crate::clock::BootInstant;
use crate::peers::ServerPace;
use crate::peers::ServerSpeed;
use std::time::Duration;

/// Reports from which a server's speed is known.
const MIN_REPORTS: u32 = 2;
/// Answers from which the time of a server's answers is known.
const MIN_ANSWERS: u32 = 5;
/// Multiple of the reference up to which answers count as quick: a short queue is no sign of a slow server.
const ANSWER_TOLERANCE: f64 = 1.5;
/// What a server said before it has said anything: work takes its usual time. One word may fall into a disturbance.
const USUAL_PERCENT: f64 = 100.0;

impl PaceKind {
    /// Returns the slowness from which a server counts as uneven. Calls may go to any server, but requests of an engine that counts as
    /// slower find their prompt parts elsewhere, so it has to be slower than disturbances of 600 ms make it.
    fn uneven_from(self) -> f64 {
        match self {
            Self::Answers => 1.25,
            Self::Events => 1.6,
        }
    }

    /// Returns the slowness below which a server counts as equal again.
    fn equal_below(self) -> f64 {
        match self {
            Self::Answers => 1.12,
            Self::Events => 1.35,
        }
    }
}

/// Maximum slowness, so that each server still gets requests that tell when it recovers.
const MAX_SLOWNESS: f64 = 6.0;
/// Weight of a new mean, at four updates a second: with the two seconds that it covers a change is followed within three seconds,
/// and disturbances of 600 ms are even for all servers.
const SMOOTHING_FACTOR: f64 = 0.15;
/// Time after which a server of which nothing is known any more counts as equal.
const MEMORY: Duration = Duration::from_secs(6);
/// Relative change from which a server's capacity is worth a log line.
const LOGGED_STEP: f64 = 0.25;

/// What all gateways together know of one server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSample<'a> {
    /// Name of the server.
    pub id: &'a str,
    /// Unix time of its start in milliseconds.
    pub start_time_ms: u64,
    /// What it said of its speed in the last two seconds.
    pub speed: Option<ServerSpeed>,
    /// Its answers in that time, for a server whose answers take alike long.
    pub answers: Option<ServerPace>,
}

/// A server whose speed has been learnt.
#[derive(Clone, Debug, PartialEq)]
struct LearntServer {
    id: String,
    start_time_ms: u64,
    /// Moving means of what the server says, in hundredths, and of the time of its answers in milliseconds.
    speed: Option<f64>,
    answer_ms: Option<f64>,
    /// Time that its work takes, as a multiple of the reference.
    slowness: f64,
    is_uneven: bool,
    /// Slowness of the last step that was told.
    told: f64,
    /// When the server last said something of its speed.
    confirmed_at: BootInstant,
}

/// A change of what a server takes.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityStep {
    /// Name of the server.
    pub id: String,
    /// Slowness before; 1 for a server that took its slots.
    pub before: f64,
    /// Slowness now; 1 for a server that takes its slots again.
    pub slowness: f64,
}

/// The learnt speeds of servers.
#[derive(Clone, Debug, Default)]
pub struct CapacityTable {
    /// Sorted by name.
    servers: Vec<LearntServer>,
}

impl CapacityTable {
    /// Learns from what is known of the servers of one service.
    pub fn update(&mut self, kind: PaceKind, service: &[ServerSample<'_>], now: BootInstant) {
        for server in service {
            self.record(server, now);
        }
        let index_of = |id: &str| {
            self.servers
                .binary_search_by(|known| known.id.as_str().cmp(id))
                .ok()
        };
        let indices: Vec<usize> = service
            .iter()
            .filter_map(|server| index_of(server.id))
            .collect();
        let speeds = indices.iter().map(|&index| self.servers[index].speed);
        let Some(speed_reference) = reference(speeds) else {
            return;
        };
        let answers = indices.iter().map(|&index| self.servers[index].answer_ms);
        let answer_reference = reference(answers);
        for index in indices {
            self.servers[index].judge(kind, speed_reference, answer_reference);
        }
    }

    /// Adds a sample to the means of its server.
    fn record(&mut self, server: &ServerSample<'_>, now: BootInstant) {
        let (speed, answer_ms) = (mean_speed(server.speed), mean_answer_ms(server.answers));
        let found = self
            .servers
            .binary_search_by(|known| known.id.as_str().cmp(server.id));
        // Servers that say nothing of their speed are left alone.
        if speed.is_none() && (answer_ms.is_none() || found.is_err()) {
            return;
        }
        let index = match found {
            Ok(index) if self.servers[index].start_time_ms == server.start_time_ms => index,
            found => {
                let index = found.unwrap_or_else(|index| index);
                if found.is_ok() {
                    self.servers.remove(index);
                }
                let new = LearntServer {
                    id: server.id.to_owned(),
                    start_time_ms: server.start_time_ms,
                    speed: Some(USUAL_PERCENT),
                    answer_ms: None,
                    slowness: 1.0,
                    is_uneven: false,
                    told: 1.0,
                    confirmed_at: now,
                };
                self.servers.insert(index, new);
                index
            }
        };
        let known = &mut self.servers[index];
        known.speed = smoothed(known.speed, speed);
        known.answer_ms = smoothed(known.answer_ms, answer_ms);
        if speed.is_some() {
            known.confirmed_at = now;
        }
    }

    /// Returns the servers whose slowness has changed by a quarter since they were last returned, or whose slots count in full
    /// again.
    pub fn take_steps(&mut self) -> Vec<CapacityStep> {
        let steps = self.servers.iter_mut().filter_map(|known| {
            let slowness = if known.is_uneven { known.slowness } else { 1.0 };
            let is_equal_again = !known.is_uneven && known.told > 1.0;
            let is_step = (slowness / known.told - 1.0).abs() >= LOGGED_STEP || is_equal_again;
            is_step.then(|| CapacityStep {
                id: known.id.clone(),
                before: std::mem::replace(&mut known.told, slowness),
                slowness,
            })
        });
        steps.collect()
    }

    /// Forgets the servers of which nothing has been known for some time.
    pub fn expire(&mut self, now: BootInstant) {
        self.servers
            .retain(|known| now.since(known.confirmed_at) < MEMORY);
    }

    /// Returns the servers that take less than their slots, with their slowness, sorted by name.
    pub fn uneven(&self) -> Vec<(String, f64)> {
        let uneven = self.servers.iter().filter(|known| known.is_uneven);
        uneven
            .map(|known| (known.id.clone(), known.slowness))
            .collect()
    }
}

impl LearntServer {
    /// Decides anew how slow the server is.
    fn judge(&mut self, kind: PaceKind, speed_reference: f64, answer_reference: Option<f64>) {
        let by_speed = self.speed.map(|speed| speed / speed_reference);
        let by_answers = self
            .answer_ms
            .zip(answer_reference)
            .map(|(answer_ms, reference)| answer_ms / reference / ANSWER_TOLERANCE);
        let slowness = by_speed.unwrap_or(1.0).max(by_answers.unwrap_or(1.0));
        self.slowness = slowness.clamp(1.0, MAX_SLOWNESS);
        let limit = if self.is_uneven {
            kind.equal_below()
        } else {
            kind.uneven_from()
        };
        self.is_uneven = self.slowness >= limit;
    }
}

/// Returns the moving mean after a new value.
fn smoothed(mean: Option<f64>, value: Option<f64>) -> Option<f64> {
    match (mean, value) {
        (Some(mean), Some(value)) => Some(mean + (value - mean) * SMOOTHING_FACTOR),
        (mean, value) => mean.or(value),
    }
}

/// Returns the larger slowness of each server in two lists sorted by name.
pub fn merge_slowness(a: Vec<(String, f64)>, b: Vec<(String, f64)>) -> Vec<(String, f64)> {
    let mut merged = a;
    for (id, slowness) in b {
        match merged.binary_search_by(|(known, _)| known.cmp(&id)) {
            Ok(index) => merged[index].1 = merged[index].1.max(slowness),
            Err(index) => merged.insert(index, (id, slowness)),
        }
    }
    merged
}

fn mean_speed(speed: Option<ServerSpeed>) -> Option<f64> {
    let speed = speed.filter(|speed| speed.reports >= MIN_REPORTS)?;
    Some(f64::from(speed.percent) / f64::from(speed.reports))
}

fn mean_answer_ms(pace: Option<ServerPace>) -> Option<f64> {
    let pace = pace.filter(|pace| pace.answers >= MIN_ANSWERS)?;
    Some((f64::from(pace.took_ms) / f64::from(pace.answers)).max(1.0))
}

/// Returns the value a quarter of the way from the smallest to the largest, so that most servers may be slow; `None` for less than
/// two.
fn reference(values: impl Iterator<Item = Option<f64>>) -> Option<f64> {
    let mut values: Vec<f64> = values.flatten().collect();
    values.sort_by(f64::total_cmp);
    let reference = values
        .get((values.len().checked_sub(2)? + 1) / 4)
        .copied()?;
    Some(reference.max(f64::EPSILON))
}
