//! Decides which servers of a service work several times slower than the others.
//!
//! Load pattern: one server of a service turns slow. It answers everything and reports itself healthy, and its load looks
//! fine for long, since few requests a second reach it through its slots. Requests keep landing there and are late. No
//! gateway of a large fleet sees enough of its answers to tell, so the gateways add up what they see. A slow server is no
//! failed one: what it runs is left there, it gets new requests in proportion to its pace, and these tell when it recovers.

use crate::clock::BootInstant;
use crate::peers::ServerPace;
use crate::peers::ServerSpeed;
use std::time::Duration;

/// Time over which answers are added up.
const WINDOW: Duration = Duration::from_secs(2);
/// Number of parts of the window, which moves on by one of them.
const BUCKETS: usize = 4;
/// Answers from which the pace of a server is known.
const MIN_ANSWERS: u32 = 5;
/// The same for a slow server, which gets few requests.
const MIN_ANSWERS_OF_SLOW: u32 = 2;
/// What is timed at the servers of a service, which says how much those differ that are sound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceKind {
    /// Whole answers. Those of a server with a queue as long as its slots take twice as long.
    Answers,
    /// Events of streams. While an engine reads a long prompt, the events of all its streams wait.
    Events,
}

impl PaceKind {
    /// Returns the multiple of the reference from which a server counts as slow.
    fn slow_from(self) -> f64 {
        match self {
            Self::Answers => 3.0,
            Self::Events => 4.0,
        }
    }

    /// Returns the multiple of the reference below which a slow server counts as recovered.
    fn recovered_below(self) -> f64 {
        match self {
            Self::Answers => 2.0,
            Self::Events => 3.0,
        }
    }
}

/// Maximum slowness, so that a slow server still gets some requests.
const MAX_SLOWNESS: f64 = 8.0;
/// Time after which a server of which nothing is known any more does not count as slow.
const MEMORY: Duration = Duration::from_secs(6);

/// Answers of one server to one gateway in the last two seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceWindow {
    /// Number of the newest part of the window, counted from the start of the clock.
    newest: u128,
    /// Answers and their times, by the number of the part.
    buckets: [(u32, Duration); BUCKETS],
}

impl PaceWindow {
    /// Records an answer, or an event of a stream, that took `took`.
    pub fn record(&mut self, took: Duration, now: BootInstant) {
        self.move_on(now);
        let index = (self.newest % BUCKETS as u128) as usize;
        let (answers, total) = &mut self.buckets[index];
        *answers += 1;
        *total += took;
    }

    /// Returns the answers of the window; `None` if there are none.
    pub fn sum(&mut self, now: BootInstant) -> Option<ServerPace> {
        self.move_on(now);
        let answers: u32 = self.buckets.iter().map(|(answers, _)| answers).sum();
        let total: Duration = self.buckets.iter().map(|(_, total)| *total).sum();
        (answers > 0).then(|| ServerPace {
            answers,
            took_ms: u32::try_from(total.as_millis()).unwrap_or(u32::MAX),
        })
    }

    fn move_on(&mut self, now: BootInstant) {
        let part = WINDOW.as_millis() / BUCKETS as u128;
        let newest = now.since(BootInstant::default()).as_millis() / part;
        let passed = newest.saturating_sub(self.newest).min(BUCKETS as u128);
        for number in 0..passed {
            let index = ((newest - number) % BUCKETS as u128) as usize;
            self.buckets[index] = (0, Duration::ZERO);
        }
        self.newest = self.newest.max(newest);
    }
}

/// What a server said of its speed to one gateway in the last two seconds, in hundredths of the usual time of work.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedWindow(PaceWindow);

impl SpeedWindow {
    /// Records that work takes `percent` of its usual time.
    pub fn record(&mut self, percent: u32, now: BootInstant) {
        self.0.record(Duration::from_millis(percent.into()), now);
    }

    /// Returns what was said in the window; `None` if nothing was.
    pub fn sum(&mut self, now: BootInstant) -> Option<ServerSpeed> {
        self.0.sum(now).map(|sum| ServerSpeed {
            reports: sum.answers,
            percent: sum.took_ms,
        })
    }
}

/// A server that counts as slow.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowServer {
    /// Name of the server.
    pub id: String,
    /// Time that it takes, as a multiple of what the others of its service take.
    pub slowness: f64,
    /// When its answers last showed that.
    confirmed_at: BootInstant,
}

/// The servers that count as slow, decided from the answers to all gateways.
#[derive(Clone, Debug, Default)]
pub struct PaceTable {
    /// Sorted by name.
    slow: Vec<SlowServer>,
}

impl PaceTable {
    /// Returns the servers that count as slow, sorted by name.
    pub fn slow(&self) -> &[SlowServer] {
        &self.slow
    }

    /// Decides anew for the servers of one service, given their names and the answers or events of the last two seconds.
    ///
    /// The reference is the server a quarter of the way from the fastest to the slowest, so that most may be slow; if all
    /// are alike, none is.
    pub fn update(
        &mut self,
        kind: PaceKind,
        service: &[(&str, Option<ServerPace>)],
        now: BootInstant,
    ) {
        let mut means: Vec<f64> = service
            .iter()
            .filter_map(|(_, pace)| pace.filter(|pace| pace.answers >= MIN_ANSWERS))
            .map(mean_ms)
            .collect();
        means.sort_by(f64::total_cmp);
        if means.len() < 2 {
            return;
        }
        let reference = means[(means.len() - 1) / 4].max(1.0);
        for (id, pace) in service {
            let index = self.slow.binary_search_by(|slow| slow.id.as_str().cmp(id));
            let (min_answers, limit) = match index {
                Ok(_) => (MIN_ANSWERS_OF_SLOW, kind.recovered_below()),
                Err(_) => (MIN_ANSWERS, kind.slow_from()),
            };
            let Some(pace) = pace.filter(|pace| pace.answers >= min_answers) else {
                continue;
            };
            let ratio = mean_ms(pace) / reference;
            let is_slow = ratio >= limit;
            match index {
                Ok(index) if is_slow => {
                    self.slow[index].slowness = ratio.min(MAX_SLOWNESS);
                    self.slow[index].confirmed_at = now;
                }
                Ok(index) => {
                    self.slow.remove(index);
                }
                Err(index) if is_slow => {
                    let slow = SlowServer {
                        id: (*id).to_owned(),
                        slowness: ratio.min(MAX_SLOWNESS),
                        confirmed_at: now,
                    };
                    self.slow.insert(index, slow);
                }
                Err(_) => {}
            }
        }
    }

    /// Forgets the servers of which nothing has been known for some time.
    pub fn expire(&mut self, now: BootInstant) {
        self.slow
            .retain(|slow| now.since(slow.confirmed_at) < MEMORY);
    }
}

fn mean_ms(pace: ServerPace) -> f64 {
    f64::from(pace.took_ms) / f64::from(pace.answers.max(1))
}
