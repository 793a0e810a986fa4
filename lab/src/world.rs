//! Plays a pattern by a policy: nodes that know loads late, servers that work, callers that come back.

use crate::agenda::Agenda;
use crate::agenda::Event;
use crate::engine::Engine;
use crate::engine::EngineSpec;
use crate::job::Fate;
use crate::job::Job;
use crate::job::Millis;
use crate::pattern::Change;
use crate::pattern::Fleet;
use crate::pattern::Pattern;
use crate::plain::PlainServer;
use crate::policy::Policy;
use crate::policy::Waiting;
use crate::server::Arrival;
use crate::server::Server;
use crate::server::Sign;
use crate::server::Toll;
use currantbend::decide::AdmissionRequest;
use currantbend::decide::CallerRetryDetector;
use currantbend::decide::PlacementRequest;
use currantbend::decide::ServerView;
use currantbend::decide::ServiceStats;
use currantbend::decide::smoothed_load_per_slot;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

/// Time between two exchanges of loads between nodes, as in `currantbend::peers`.
const EXCHANGE: Millis = 250.0;
/// Weight of the newest load in its moving mean, as in the gateway.
const USUAL_GAIN: f64 = 0.25;
/// Time for which a server counts as young, as in the gateway.
const YOUNG_FOR: Millis = 12_000.0;
/// Time to set up a copy of prompt parts, in milliseconds, from the sheets.
const COPY_SETUP: Millis = 4.0;
/// Tokens that are copied in a millisecond: 163,840 bytes a token at 370 Gbit/s, from the sheets.
const COPY_PER_MS: f64 = 282.0;
/// Time for which a leaving server is on the list: two seconds of the sheets and somewhat more.
const LEAVES_FOR: Millis = 2_500.0;
/// Time after which an impatient caller comes back, whatever it was told.
const IMPATIENT_AFTER: Millis = 10.0;
/// Times that an impatient caller comes back.
const IMPATIENT_RETURNS: u32 = 3;
/// Share of its time that a request may wait at a node before it is turned away.
const HELD_SHARE: f64 = 0.125;

/// What a play gave.
#[derive(Clone, Debug, Default)]
pub struct Play {
    /// What became of each request, in the order of the pattern.
    pub fates: Vec<Fate>,
    /// Work of all servers together.
    pub toll: Toll,
    /// Prompt tokens that were copied between engines.
    pub copied: u64,
}

/// A server in the world, with what nodes know of it.
struct Place {
    id: String,
    server: Box<dyn Server>,
    joined: Option<Millis>,
    is_listed: bool,
    is_leaving: bool,
    /// Requests of each node in flight.
    in_flight: Vec<u32>,
    /// All requests in flight at the last exchange, and those of each node.
    exchanged: Vec<u32>,
    usual: f64,
}

fn duration(time: Millis) -> Duration {
    Duration::from_secs_f64(time.max(0.0) / 1_000.0)
}

/// Where a request is sent.
struct Chosen {
    place: usize,
    /// How full the server is known to be, in multiples of its slots.
    fill: f64,
    copy_from: Option<usize>,
}

struct World<'a> {
    pattern: &'a Pattern,
    policy: &'a Policy,
    places: Vec<Place>,
    agenda: Agenda,
    /// Requests that wait at each node.
    held: Vec<Vec<Job>>,
    /// What each node learnt of callers' times.
    arrivals: Vec<CallerRetryDetector>,
    /// What each node learnt of the service.
    logs: Vec<ServiceStats>,
    /// When each request was sent, and how full its server was known to be.
    sent: Vec<(Millis, f64)>,
    /// Where each request is: its node and server.
    whereabouts: Vec<Option<(usize, usize)>>,
    last_event: Vec<Millis>,
    play: Play,
    rng: StdRng,
    now: Millis,
}

/// Plays `pattern` by `policy`; equal seeds give equal plays.
pub fn play(pattern: &Pattern, policy: &Policy, seed: u64) -> Play {
    let mut world = World {
        pattern,
        policy,
        places: Vec::new(),
        agenda: Agenda::default(),
        held: vec![Vec::new(); pattern.nodes],
        arrivals: vec![CallerRetryDetector::default(); pattern.nodes],
        logs: vec![ServiceStats::default(); pattern.nodes],
        sent: vec![(0.0, 0.0); pattern.jobs.len()],
        whereabouts: vec![None; pattern.jobs.len()],
        last_event: vec![0.0; pattern.jobs.len()],
        play: Play {
            fates: vec![Fate::default(); pattern.jobs.len()],
            ..Play::default()
        },
        rng: StdRng::seed_from_u64(seed),
        now: 0.0,
    };
    world.run();
    for place in &world.places {
        let toll = place.server.toll();
        world.play.toll.read += toll.read;
        world.play.toll.read_shared += toll.read_shared;
        world.play.toll.preempted += toll.preempted;
    }
    world.play
}

impl World<'_> {
    fn run(&mut self) {
        for _ in 0..self.pattern.fleet.servers() {
            self.join(None);
        }
        for job in &self.pattern.jobs {
            self.agenda.add(job.arrival, Event::Arrive(job.clone()));
        }
        for (at, change) in &self.pattern.changes {
            self.agenda.add(*at, Event::Change(*change));
        }
        self.agenda.add(EXCHANGE, Event::Exchange);
        let end = self.pattern.jobs.iter().map(|job| job.deadline);
        let end = end.fold(0.0, f64::max);
        let mut signs = Vec::new();
        loop {
            let next_server = self.next_server();
            let next_event = self.agenda.next_at();
            let is_server_first = match (next_server, next_event) {
                (Some((at, _)), Some(event)) => at <= event,
                (Some(_), None) => true,
                (None, _) => false,
            };
            if is_server_first && let Some((at, place)) = next_server {
                self.now = self.now.max(at);
                self.places[place].server.step(&mut signs);
                for sign in signs.drain(..) {
                    self.take_sign(sign);
                }
            } else if let Some((at, event)) = self.agenda.take_next() {
                self.now = at;
                if self.now > end {
                    return;
                }
                self.happen(event);
            } else {
                return;
            }
        }
    }

    fn next_server(&self) -> Option<(Millis, usize)> {
        let steps = self.places.iter().enumerate();
        steps
            .filter_map(|(at, place)| Some((place.server.next_step()?, at)))
            .min_by(|a, b| a.0.total_cmp(&b.0))
    }

    fn join(&mut self, joined: Option<Millis>) {
        let server: Box<dyn Server> = match self.pattern.fleet {
            Fleet::Engines(_, spec) => {
                let by_urgency = self.policy.waiting != Waiting::AtServer;
                Box::new(Engine::new(EngineSpec { by_urgency, ..spec }))
            }
            Fleet::Plain(_, spec) => Box::new(PlainServer::new(spec)),
        };
        self.places.push(Place {
            id: format!("s-{}", self.places.len()),
            server,
            joined,
            is_listed: true,
            is_leaving: false,
            in_flight: vec![0; self.pattern.nodes],
            exchanged: vec![0; self.pattern.nodes],
            usual: 0.0,
        });
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => {
                let node = self.rng.random_range(0..self.pattern.nodes);
                self.place(node, job, true);
            }
            Event::Exchange => {
                for place in &mut self.places {
                    place.exchanged.clone_from(&place.in_flight);
                    let load: u32 = place.exchanged.iter().sum();
                    place.usual += (f64::from(load) - place.usual) * USUAL_GAIN;
                }
                for node in 0..self.pattern.nodes {
                    self.place_held(node);
                }
                self.agenda.add(self.now + EXCHANGE, Event::Exchange);
            }
            Event::Change(Change::Crash(server, away)) => {
                self.places[server].is_listed = false;
                for number in self.places[server].server.crash() {
                    self.leave(number);
                    self.play.fates[number].is_lost = true;
                }
                self.agenda.add(self.now + away, Event::Back(server));
            }
            Event::Change(Change::Replace(server)) => {
                self.places[server].is_leaving = true;
                self.join(Some(self.now));
                self.agenda.add(self.now + LEAVES_FOR, Event::Gone(server));
            }
            Event::Gone(server) => self.places[server].is_listed = false,
            Event::Back(server) => {
                self.places[server].is_listed = true;
                self.places[server].joined = Some(self.now);
            }
        }
    }

    /// Takes a request off the books of its node and server; gives the node.
    fn leave(&mut self, number: usize) -> Option<usize> {
        let (node, server) = self.whereabouts[number].take()?;
        let in_flight = &mut self.places[server].in_flight[node];
        *in_flight = in_flight.saturating_sub(1);
        Some(node)
    }

    fn take_sign(&mut self, sign: Sign) {
        match sign {
            Sign::First(number, at) => {
                let fate = &mut self.play.fates[number];
                // A run that left the memory begins again; its caller has the first events already.
                if fate.first.is_none() {
                    fate.first = Some(at);
                    self.last_event[number] = at;
                }
            }
            Sign::Event(number, at) => {
                let fate = &mut self.play.fates[number];
                fate.longest_gap = fate.longest_gap.max(at - self.last_event[number]);
                self.last_event[number] = at;
            }
            Sign::End(number, at) => {
                self.play.fates[number].end = Some(at);
                if let Some(node) = self.leave(number) {
                    let (sent, fill) = self.sent[number];
                    self.logs[node].record_response_time(duration(at - sent), fill);
                    self.place_held(node);
                }
            }
        }
    }

    fn place_held(&mut self, node: usize) {
        let mut held = std::mem::take(&mut self.held[node]);
        held.sort_by_key(|job| (job.urgency, job.number));
        for job in held {
            self.place(node, job, false);
        }
    }

    /// Places a request that came to `node`, or that has waited there.
    fn place(&mut self, node: usize, job: Job, is_new: bool) {
        // Each attempt of a caller has an id of its own.
        let attempt = (job.number as u64) << 8 | u64::from(self.play.fates[job.number].refusals);
        let salt = (attempt + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        if is_new && !self.is_admitted(node, &job, salt) {
            self.refuse(job, salt);
            return;
        }
        let Some(chosen) = self.choose(node, &job, salt) else {
            self.refuse(job, salt);
            return;
        };
        if self.policy.waiting == Waiting::AtNode && chosen.fill >= 1.0 {
            let limit = job.arrival + (job.deadline - job.arrival) * HELD_SHARE;
            if self.now > limit {
                self.refuse(job, salt);
            } else {
                self.held[node].push(job);
            }
            return;
        }
        self.send(node, job, &chosen, salt);
    }

    fn is_admitted(&mut self, node: usize, job: &Job, salt: u64) -> bool {
        let kind = &self.pattern.kinds[job.kind];
        let left = duration(job.deadline - self.now);
        let is_return = self.arrivals[node].detect_retry(kind.name, left);
        let Some(admission) = &self.policy.admission else {
            return true;
        };
        let call = AdmissionRequest {
            random_fraction: f64::from(salt as u32) / f64::from(u32::MAX),
            rank: job.urgency,
            is_caller_retry: is_return,
            latency_target: duration(kind.aim),
            is_stream: !job.parts.is_empty(),
        };
        let fill = smoothed_load_per_slot(&self.views(node)).unwrap_or(0.0);
        let return_share = self.arrivals[node].retry_share(kind.name);
        let log = &mut self.logs[node];
        log.record_request(&call);
        admission.accepts(&log.service_load(fill, return_share), &call)
    }

    fn choose(&self, node: usize, job: &Job, salt: u64) -> Option<Chosen> {
        let listed = self.listed();
        let views = self.views(node);
        let work = PlacementRequest {
            parts: &job.parts,
            salt,
        };
        let choice = self.policy.placement.choose(&work, &views)?;
        Some(Chosen {
            place: listed[choice.index],
            fill: views[choice.index].load_per_slot(),
            copy_from: choice.copy_from.map(|from| listed[from]),
        })
    }

    fn send(&mut self, node: usize, job: Job, chosen: &Chosen, salt: u64) {
        let held = self.places[chosen.place].server.held(&job);
        let source = chosen.copy_from.map(|from| &self.places[from].server);
        let copied = source.map_or(0, |source| source.held(&job).saturating_sub(held));
        let mut arrival = Arrival {
            job,
            ready: self.now,
            copied: 0,
        };
        if copied > 0 {
            self.play.copied += u64::from(copied);
            arrival.ready += COPY_SETUP + f64::from(copied) / COPY_PER_MS;
            arrival.copied = held + copied;
        }
        let number = arrival.job.number;
        let place = &mut self.places[chosen.place];
        match place.server.offer(self.now, arrival) {
            Ok(()) => {
                place.in_flight[node] += 1;
                self.whereabouts[number] = Some((node, chosen.place));
                self.sent[number] = (self.now, chosen.fill);
            }
            Err(job) => self.refuse(job, salt),
        }
    }

    fn refuse(&mut self, mut job: Job, salt: u64) {
        self.play.fates[job.number].refusals += 1;
        let left = (job.deadline - self.now).max(0.0);
        let is_impatient = !job.is_return && self.rng.random_bool(self.pattern.impatient);
        if is_impatient {
            job.returns_left = IMPATIENT_RETURNS;
        }
        if job.returns_left == 0 || left == 0.0 {
            return;
        }
        job.returns_left -= 1;
        job.is_return = true;
        let after = if is_impatient || job.returns_left > 0 {
            IMPATIENT_AFTER
        } else {
            let left = duration(left);
            self.policy.returns.delay(salt, left).as_secs_f64() * 1_000.0
        };
        self.agenda.add(self.now + after, Event::Arrive(job));
    }

    /// Places of the servers on the list, those that are leaving among them.
    fn listed(&self) -> Vec<usize> {
        (0..self.places.len())
            .filter(|&at| self.places[at].is_listed)
            .collect()
    }

    fn views(&self, node: usize) -> Vec<ServerView<'_>> {
        let listed = self.listed();
        listed.iter().map(|&at| self.view(node, at)).collect()
    }

    fn view(&self, node: usize, at: usize) -> ServerView<'_> {
        let place = &self.places[at];
        let others: u32 = place.exchanged.iter().sum::<u32>() - place.exchanged[node];
        let own = place.in_flight[node];
        ServerView {
            id: &place.id,
            is_near: at % 3 == node % 3,
            slots: self.pattern.fleet.slots(),
            load: others + own,
            smoothed_load: place.usual.max(f64::from(own)),
            is_suspended: false,
            is_tried: false,
            is_warming_up: place
                .joined
                .is_some_and(|joined| self.now - joined < YOUNG_FOR),
            is_draining: place.is_leaving,
        }
    }
}
