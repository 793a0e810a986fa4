//! Load patterns: the requests that callers send over time, and the crashes and replacements of servers meanwhile.

use crate::engine::EngineSpec;
use crate::job::Job;
use crate::job::JobKind;
use crate::job::Millis;
use crate::plain::PlainSpec;
use currantbend::decide::PromptPart;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time during which requests arrive, in milliseconds.
pub const ARRIVALS_MS: Millis = 24_000.0;
/// Start and end of the disturbance of a pattern, in milliseconds from the start of the simulation.
const DISTURBANCE_MS: (Millis, Millis) = (6_000.0, 12_000.0);
/// Number of teams that send requests.
const TEAM_COUNT: u32 = 10;

/// Kind, number and size of the servers of a pattern.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fleet {
    /// Model engines.
    Engines(usize, EngineSpec),
    /// Plain servers.
    Plain(usize, PlainSpec),
}

impl Fleet {
    /// Returns the number of servers at the start.
    pub fn server_count(&self) -> usize {
        match self {
            Self::Engines(count, _) | Self::Plain(count, _) => *count,
        }
    }

    /// Returns the number of requests that a server runs concurrently.
    pub fn slots_per_server(&self) -> u32 {
        match self {
            Self::Engines(_, spec) => spec.slots as u32,
            Self::Plain(_, spec) => spec.slots as u32,
        }
    }
}

/// A crash or a replacement of a server, given by its index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It crashes, and restarts with an empty cache after this time.
    Crash(usize, Millis),
    /// It drains, and a new server with another name and an empty cache replaces it; the requests that it runs are
    /// completed.
    Replace(usize),
    /// Calls that it starts from now on take this multiple of their usual time; engines stay as they are.
    Slow(usize, f64),
}

/// A load pattern: the requests, the servers and their changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Pattern {
    /// Name on the command line and in tables.
    pub name: &'static str,
    /// Kinds of the requests.
    pub kinds: Vec<JobKind>,
    /// Requests, sorted by arrival.
    pub jobs: Vec<Job>,
    /// Changes of servers, sorted by time.
    pub changes: Vec<(Millis, Change)>,
    /// Servers at the start.
    pub fleet: Fleet,
    /// Number of nodes that place requests. A node knows the requests that it sent itself, and learns those of the
    /// other nodes at the next exchange of loads.
    pub node_count: usize,
    /// Share of callers that retry several times, almost immediately, when they are rejected.
    pub impatient_share: f64,
}

/// The differences of a pattern from an even load.
#[derive(Clone, Copy, Debug)]
struct Shape {
    name: &'static str,
    /// Arrival rate during the disturbance, as a multiple of the even load.
    burst_factor: f64,
    /// Share of the requests of the first kind that have one particular set of shared parts during the disturbance.
    hot_part_share: f64,
    /// Arrival rate of one team during the disturbance, as a multiple of its even load.
    hot_team_factor: f64,
    /// Amplitude of a sine wave of the arrival rate, as a share of the mean.
    wave_amplitude: f64,
    /// Share of the servers that crash at the start of the disturbance.
    crash_share: f64,
    /// Whether the servers are replaced one after another from the start of the disturbance.
    is_release: bool,
    /// Share of callers that retry several times, almost immediately, when they are rejected.
    impatient_share: f64,
    /// Multiple of the usual time that calls at the first server take during the disturbance.
    slowness: f64,
}

const EVEN: Shape = Shape {
    name: "even",
    burst_factor: 1.0,
    hot_part_share: 0.0,
    hot_team_factor: 1.0,
    wave_amplitude: 0.0,
    crash_share: 0.0,
    is_release: false,
    impatient_share: 0.0,
    slowness: 1.0,
};

/// The load patterns of the reference workload, for a fleet that is small for its load.
const SHAPES: [Shape; 9] = [
    EVEN,
    Shape {
        name: "burst",
        burst_factor: 2.2,
        ..EVEN
    },
    Shape {
        name: "hot-part",
        burst_factor: 1.2,
        hot_part_share: 0.9,
        ..EVEN
    },
    Shape {
        name: "hot-team",
        hot_team_factor: 7.5,
        ..EVEN
    },
    Shape {
        name: "wave",
        wave_amplitude: 0.6,
        ..EVEN
    },
    Shape {
        name: "crash",
        crash_share: 1.0 / 6.0,
        ..EVEN
    },
    Shape {
        name: "retry-storm",
        burst_factor: 2.2,
        impatient_share: 0.3,
        ..EVEN
    },
    Shape {
        name: "release",
        is_release: true,
        ..EVEN
    },
    Shape {
        name: "slow-server",
        slowness: 6.0,
        ..EVEN
    },
];

/// Returns the names of all patterns.
pub fn names() -> impl Iterator<Item = &'static str> {
    SHAPES.iter().map(|shape| shape.name)
}

/// Creates the pattern `name` with chats at engines; `None` if there is no pattern of that name.
pub fn chats(name: &str, seed: u64) -> Option<Pattern> {
    let spec = EngineSpec {
        slots: 16,
        max_waiting: 48,
        memory_tokens: 244_731,
        ..EngineSpec::default()
    };
    let shape = SHAPES.iter().find(|shape| shape.name == name)?;
    Some(create_pattern(shape, Fleet::Engines(9, spec), &CHATS, seed))
}

/// Creates the pattern `name` with calls at plain servers; `None` if there is no pattern of that name.
pub fn calls(name: &str, seed: u64) -> Option<Pattern> {
    let shape = SHAPES.iter().find(|shape| shape.name == name)?;
    let fleet = Fleet::Plain(4, PlainSpec::default());
    Some(create_pattern(shape, fleet, &CALLS, seed))
}

/// Parameters from which the requests of a kind are generated.
#[derive(Clone, Copy, Debug)]
struct KindParameters {
    kind: JobKind,
    requests_per_second: f64,
    /// Number of tokens, and number of distinct parts, of the first and of the second shared part of a prompt.
    shared_parts: [(u32, u64); 2],
    /// Approximate mean number of tokens of the request's own part; 0 for a plain call.
    own_tokens: f64,
    /// Approximate mean number of generated tokens.
    output_tokens: f64,
    /// Approximate mean time for which a plain call runs on a server, in milliseconds.
    service_time: Millis,
}

const CHATS: [KindParameters; 3] = [
    KindParameters {
        kind: JobKind {
            name: "long",
            rank: 1,
            latency_target: 800.0,
            gap_target: 300.0,
            timeout: 15_000.0,
            on_time_credit: 5.4,
            late_credit: 1.6,
        },
        requests_per_second: 22.0,
        shared_parts: [(512, 3), (10_000, 34)],
        own_tokens: 1_300.0,
        output_tokens: 384.0,
        service_time: 0.0,
    },
    KindParameters {
        kind: JobKind {
            name: "question",
            rank: 0,
            latency_target: 400.0,
            gap_target: 300.0,
            timeout: 12_000.0,
            on_time_credit: 1.8,
            late_credit: 0.53,
        },
        requests_per_second: 50.0,
        shared_parts: [(119, 8), (580, 88)],
        own_tokens: 130.0,
        output_tokens: 294.0,
        service_time: 0.0,
    },
    KindParameters {
        kind: JobKind {
            name: "short",
            rank: 2,
            latency_target: 400.0,
            gap_target: 300.0,
            timeout: 3_000.0,
            on_time_credit: 0.56,
            late_credit: 0.17,
        },
        requests_per_second: 34.0,
        shared_parts: [(341, 20), (1_700, 157)],
        own_tokens: 360.0,
        output_tokens: 24.0,
        service_time: 0.0,
    },
];

const CALLS: [KindParameters; 2] = [
    call_parameters("order", 180.0),
    call_parameters("lookup", 70.0),
];

const fn call_parameters(name: &'static str, requests_per_second: f64) -> KindParameters {
    KindParameters {
        kind: JobKind {
            name,
            rank: 2,
            latency_target: 300.0,
            gap_target: f64::INFINITY,
            timeout: 4_000.0,
            on_time_credit: 1.0,
            late_credit: 0.3,
        },
        requests_per_second,
        shared_parts: [(0, 0); 2],
        own_tokens: 0.0,
        output_tokens: 0.0,
        service_time: 60.0,
    }
}

fn create_pattern(shape: &Shape, fleet: Fleet, kinds: &[KindParameters], seed: u64) -> Pattern {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    for (kind, parameters) in kinds.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at += random_interval(
                &mut rng,
                parameters.requests_per_second * rate_factor(shape, at),
            );
            if at >= ARRIVALS_MS {
                break;
            }
            jobs.push(random_job(&mut rng, shape, parameters, kind, at));
        }
    }
    jobs.sort_by(|a, b| a.arrival.total_cmp(&b.arrival));
    for (index, job) in jobs.iter_mut().enumerate() {
        job.index = index;
    }
    Pattern {
        name: shape.name,
        kinds: kinds.iter().map(|parameters| parameters.kind).collect(),
        jobs,
        changes: server_changes(shape, fleet.server_count()),
        fleet,
        node_count: 7,
        impatient_share: shape.impatient_share,
    }
}

/// Returns a random time to the next request, in milliseconds. The times are distributed exponentially, as between
/// requests that arrive independently of each other.
fn random_interval(rng: &mut StdRng, requests_per_second: f64) -> Millis {
    let fraction: f64 = rng.random_range(f64::EPSILON..1.0);
    -fraction.ln() * 1_000.0 / requests_per_second.max(0.01)
}

fn is_disturbed(at: Millis) -> bool {
    (DISTURBANCE_MS.0..DISTURBANCE_MS.1).contains(&at)
}

/// Returns the arrival rate at the time `at`, as a multiple of the even load.
fn rate_factor(shape: &Shape, at: Millis) -> f64 {
    /// Period of the wave of the reference workload, in milliseconds.
    const WAVE_PERIOD_MS: Millis = 11_000.0;
    let wave_factor =
        1.0 + shape.wave_amplitude * (at / WAVE_PERIOD_MS * std::f64::consts::TAU).sin();
    let team_factor = 1.0 + (shape.hot_team_factor - 1.0) / f64::from(TEAM_COUNT);
    if is_disturbed(at) {
        wave_factor * shape.burst_factor * team_factor
    } else {
        wave_factor
    }
}

/// Returns a random number from half of `mean` to twice `mean`; large numbers are rare.
fn random_around(rng: &mut StdRng, mean: f64) -> f64 {
    let fraction: f64 = rng.random_range(0.05..1.0);
    mean * (0.5 - 0.5 * fraction.ln())
}

fn random_job(
    rng: &mut StdRng,
    shape: &Shape,
    parameters: &KindParameters,
    kind: usize,
    at: Millis,
) -> Job {
    let is_hot = kind == 0 && is_disturbed(at) && rng.random_bool(shape.hot_part_share);
    let mut parts = Vec::new();
    if parameters.own_tokens > 0.0 {
        // The same last shared part always follows the same parts, since the id of a part stands for the whole prompt
        // up to it.
        let max_count = parameters
            .shared_parts
            .iter()
            .map(|(_, count)| *count)
            .max();
        let variant = rng.random_range(0..max_count.unwrap_or(1).max(1));
        let variant = if is_hot { 0 } else { variant };
        for (position, (tokens, count)) in parameters.shared_parts.iter().enumerate() {
            let part = variant % count;
            let id = (kind as u64) << 32 | (position as u64) << 24 | part;
            parts.push(PromptPart {
                id,
                tokens: *tokens,
            });
        }
        let own_tokens = random_around(rng, parameters.own_tokens) as u32;
        parts.push(PromptPart {
            id: rng.random(),
            tokens: own_tokens.max(1),
        });
    }
    let team_weight = if is_disturbed(at) {
        shape.hot_team_factor
    } else {
        1.0
    };
    let hot_team_share = team_weight / (f64::from(TEAM_COUNT - 1) + team_weight);
    let team = if rng.random_bool(hot_team_share) {
        0
    } else {
        rng.random_range(1..TEAM_COUNT)
    };
    Job {
        index: 0,
        kind,
        team,
        arrival: at,
        // The timeouts of callers of the reference workload differ by up to 15 %.
        deadline: at + parameters.kind.timeout * rng.random_range(0.85..1.0),
        rank: parameters.kind.rank,
        parts,
        output_tokens: (random_around(rng, parameters.output_tokens) as u32)
            .max(u32::from(parameters.own_tokens > 0.0)),
        service_time: random_around(rng, parameters.service_time),
        retries_left: 1,
        is_retry: false,
    }
}

fn server_changes(shape: &Shape, server_count: usize) -> Vec<(Millis, Change)> {
    /// Time after which a crashed server of the reference workload restarts, in milliseconds.
    const RESTART_MS: Millis = 4_500.0;
    /// Time between two replacements, in milliseconds.
    const REPLACEMENT_INTERVAL_MS: Millis = 1_000.0;
    let crash_count = (server_count as f64 * shape.crash_share).ceil() as usize;
    let mut changes: Vec<(Millis, Change)> = (0..crash_count)
        .map(|server| (DISTURBANCE_MS.0, Change::Crash(server, RESTART_MS)))
        .collect();
    if shape.slowness > 1.0 {
        let (start, end) = DISTURBANCE_MS;
        changes.push((start, Change::Slow(0, shape.slowness)));
        changes.push((end, Change::Slow(0, 1.0)));
    }
    if shape.is_release {
        changes.extend((0..server_count).map(|server| {
            let at = DISTURBANCE_MS.0 + REPLACEMENT_INTERVAL_MS * server as f64;
            (at, Change::Replace(server))
        }));
    }
    changes
}
