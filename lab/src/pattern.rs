//! Load patterns: who asks for what and when, and what happens to servers meanwhile.

use crate::engine::EngineSpec;
use crate::job::Job;
use crate::job::JobKind;
use crate::job::Millis;
use crate::plain::PlainSpec;
use currantbend::decide::PromptPart;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Length of a play, in milliseconds.
pub const LENGTH: Millis = 24_000.0;
/// Span in which a pattern's trouble lasts, in milliseconds from the start.
const TROUBLE: (Millis, Millis) = (6_000.0, 12_000.0);
/// Teams of a fleet.
const TEAMS: u32 = 10;

/// Servers of a pattern.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fleet {
    /// Engines.
    Engines(usize, EngineSpec),
    /// Plain servers.
    Plain(usize, PlainSpec),
}

impl Fleet {
    /// Number of servers at the start.
    pub fn servers(&self) -> usize {
        match self {
            Self::Engines(count, _) | Self::Plain(count, _) => *count,
        }
    }

    /// Requests that a server runs at once.
    pub fn slots(&self) -> u32 {
        match self {
            Self::Engines(_, spec) => spec.slots as u32,
            Self::Plain(_, spec) => spec.slots as u32,
        }
    }
}

/// Something that happens to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It crashes and comes back empty after this time.
    Crash(usize, Millis),
    /// It is replaced by an empty one under another name; what runs there ends well.
    Replace(usize),
}

/// A load pattern with everything that it needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Pattern {
    /// Name on the command line and in tables.
    pub name: &'static str,
    /// Kinds of requests.
    pub kinds: Vec<JobKind>,
    /// Requests in the order of their arrival.
    pub jobs: Vec<Job>,
    /// Changes in the order of time.
    pub changes: Vec<(Millis, Change)>,
    /// Servers.
    pub fleet: Fleet,
    /// Nodes that place requests, each by what it knows.
    pub nodes: usize,
    /// Share of callers that come back at once when they are refused, and often.
    pub impatient: f64,
}

/// How a pattern differs from an even load.
#[derive(Clone, Copy, Debug)]
struct Shape {
    name: &'static str,
    /// Requests a second over an even load, within the trouble.
    burst: f64,
    /// Share of the requests of the first kind that ask for one part, within the trouble.
    hot_part: f64,
    /// Multiple of its usual that one team sends, within the trouble.
    hot_team: f64,
    /// Swing of the load as a share of its mean.
    swing: f64,
    /// Share of servers that crash at the start of the trouble.
    crash: f64,
    /// Whether servers are replaced one after the other from the start of the trouble.
    is_release: bool,
    impatient: f64,
}

const EVEN: Shape = Shape {
    name: "even",
    burst: 1.0,
    hot_part: 0.0,
    hot_team: 1.0,
    swing: 0.0,
    crash: 0.0,
    is_release: false,
    impatient: 0.0,
};

/// The load patterns, those of the sheets at a fleet that is small for its load.
const SHAPES: [Shape; 8] = [
    EVEN,
    Shape {
        name: "burst",
        burst: 2.2,
        ..EVEN
    },
    Shape {
        name: "hot-part",
        burst: 1.2,
        hot_part: 0.9,
        ..EVEN
    },
    Shape {
        name: "hot-team",
        hot_team: 7.5,
        ..EVEN
    },
    Shape {
        name: "wave",
        swing: 0.6,
        ..EVEN
    },
    Shape {
        name: "crash",
        crash: 1.0 / 6.0,
        ..EVEN
    },
    Shape {
        name: "retry-storm",
        burst: 2.2,
        impatient: 0.3,
        ..EVEN
    },
    Shape {
        name: "release",
        is_release: true,
        ..EVEN
    },
];

/// Names of all patterns.
pub fn names() -> impl Iterator<Item = &'static str> {
    SHAPES.iter().map(|shape| shape.name)
}

/// Makes the pattern `name` for chats at engines.
pub fn chats(name: &str, seed: u64) -> Option<Pattern> {
    let spec = EngineSpec {
        slots: 16,
        max_waiting: 48,
        memory_tokens: 244_731,
        ..EngineSpec::default()
    };
    let shape = SHAPES.iter().find(|shape| shape.name == name)?;
    Some(make(shape, Fleet::Engines(9, spec), &CHATS, seed))
}

/// Makes the pattern `name` for calls at plain servers.
pub fn calls(name: &str, seed: u64) -> Option<Pattern> {
    let shape = SHAPES.iter().find(|shape| shape.name == name)?;
    let fleet = Fleet::Plain(4, PlainSpec::default());
    Some(make(shape, fleet, &CALLS, seed))
}

/// What a kind's requests are made of.
#[derive(Clone, Copy, Debug)]
struct Recipe {
    kind: JobKind,
    per_second: f64,
    /// Tokens of the shared parts, with the number of different ones.
    shared: [(u32, u64); 2],
    /// Mean tokens of the request's own part.
    own: f64,
    /// Mean tokens that are generated.
    output: f64,
    /// Mean time of a plain call, in milliseconds.
    work: Millis,
}

const CHATS: [Recipe; 3] = [
    Recipe {
        kind: JobKind {
            name: "long",
            rank: 1,
            latency_target: 800.0,
            gap_target: 300.0,
            timeout: 15_000.0,
            on_time_credit: 5.4,
            late_credit: 1.6,
        },
        per_second: 22.0,
        shared: [(512, 3), (10_000, 34)],
        own: 1_300.0,
        output: 384.0,
        work: 0.0,
    },
    Recipe {
        kind: JobKind {
            name: "question",
            rank: 0,
            latency_target: 400.0,
            gap_target: 300.0,
            timeout: 12_000.0,
            on_time_credit: 1.8,
            late_credit: 0.53,
        },
        per_second: 50.0,
        shared: [(119, 8), (580, 88)],
        own: 130.0,
        output: 294.0,
        work: 0.0,
    },
    Recipe {
        kind: JobKind {
            name: "short",
            rank: 2,
            latency_target: 400.0,
            gap_target: 300.0,
            timeout: 3_000.0,
            on_time_credit: 0.56,
            late_credit: 0.17,
        },
        per_second: 34.0,
        shared: [(341, 20), (1_700, 157)],
        own: 360.0,
        output: 24.0,
        work: 0.0,
    },
];

const CALLS: [Recipe; 2] = [call("order", 180.0), call("lookup", 70.0)];

const fn call(name: &'static str, per_second: f64) -> Recipe {
    Recipe {
        kind: JobKind {
            name,
            rank: 2,
            latency_target: 300.0,
            gap_target: f64::INFINITY,
            timeout: 4_000.0,
            on_time_credit: 1.0,
            late_credit: 0.3,
        },
        per_second,
        shared: [(0, 0); 2],
        own: 0.0,
        output: 0.0,
        work: 60.0,
    }
}

fn make(shape: &Shape, fleet: Fleet, recipes: &[Recipe], seed: u64) -> Pattern {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    for (kind, recipe) in recipes.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at += wait(&mut rng, recipe.per_second * rate(shape, at));
            if at >= LENGTH {
                break;
            }
            jobs.push(job(&mut rng, shape, recipe, kind, at));
        }
    }
    jobs.sort_by(|a, b| a.arrival.total_cmp(&b.arrival));
    for (number, job) in jobs.iter_mut().enumerate() {
        job.index = number;
    }
    Pattern {
        name: shape.name,
        kinds: recipes.iter().map(|recipe| recipe.kind).collect(),
        jobs,
        changes: changes(shape, fleet.servers()),
        fleet,
        nodes: 7,
        impatient: shape.impatient,
    }
}

/// Draws the time to the next of requests that come independently, in milliseconds.
fn wait(rng: &mut StdRng, per_second: f64) -> Millis {
    let chance: f64 = rng.random_range(f64::EPSILON..1.0);
    -chance.ln() * 1_000.0 / per_second.max(0.01)
}

fn is_trouble(at: Millis) -> bool {
    (TROUBLE.0..TROUBLE.1).contains(&at)
}

fn rate(shape: &Shape, at: Millis) -> f64 {
    /// Period of a wave, in milliseconds, as on the sheets.
    const PERIOD: Millis = 11_000.0;
    let wave = 1.0 + shape.swing * (at / PERIOD * std::f64::consts::TAU).sin();
    let team = 1.0 + (shape.hot_team - 1.0) / f64::from(TEAMS);
    if is_trouble(at) {
        wave * shape.burst * team
    } else {
        wave
    }
}

/// Draws a number around `mean`, with few large ones.
fn around(rng: &mut StdRng, mean: f64) -> f64 {
    let chance: f64 = rng.random_range(0.05..1.0);
    mean * (0.5 - 0.5 * chance.ln())
}

fn job(rng: &mut StdRng, shape: &Shape, recipe: &Recipe, kind: usize, at: Millis) -> Job {
    let is_hot = kind == 0 && is_trouble(at) && rng.random_bool(shape.hot_part);
    let mut parts = Vec::new();
    if recipe.own > 0.0 {
        // The last shared part decides which ones come before it.
        let last = recipe.shared.iter().map(|(_, things)| *things).max();
        let drawn = rng.random_range(0..last.unwrap_or(1).max(1));
        let drawn = if is_hot { 0 } else { drawn };
        for (place, (tokens, things)) in recipe.shared.iter().enumerate() {
            let thing = drawn % things;
            let id = (kind as u64) << 32 | (place as u64) << 24 | thing;
            parts.push(PromptPart {
                id,
                tokens: *tokens,
            });
        }
        let own = around(rng, recipe.own) as u32;
        parts.push(PromptPart {
            id: rng.random(),
            tokens: own.max(1),
        });
    }
    let team_weight = if is_trouble(at) { shape.hot_team } else { 1.0 };
    let hot_share = team_weight / (f64::from(TEAMS - 1) + team_weight);
    let team = if rng.random_bool(hot_share) {
        0
    } else {
        rng.random_range(1..TEAMS)
    };
    Job {
        index: 0,
        kind,
        team,
        arrival: at,
        // Callers' times differ as on the sheets' deployments.
        deadline: at + recipe.kind.timeout * rng.random_range(0.85..1.0),
        rank: recipe.kind.rank,
        parts,
        output_tokens: (around(rng, recipe.output) as u32).max(u32::from(recipe.own > 0.0)),
        service_time: around(rng, recipe.work),
        retries_left: 1,
        is_retry: false,
    }
}

fn changes(shape: &Shape, servers: usize) -> Vec<(Millis, Change)> {
    /// Time for which a crashed server is away, in milliseconds, as on the sheets.
    const AWAY: Millis = 4_500.0;
    /// Time between two replacements, in milliseconds.
    const GAP: Millis = 1_000.0;
    let crashed = (servers as f64 * shape.crash).ceil() as usize;
    let mut changes: Vec<(Millis, Change)> = (0..crashed)
        .map(|server| (TROUBLE.0, Change::Crash(server, AWAY)))
        .collect();
    if shape.is_release {
        changes.extend((0..servers).map(|server| {
            let at = TROUBLE.0 + GAP * server as f64;
            (at, Change::Replace(server))
        }));
    }
    changes
}
