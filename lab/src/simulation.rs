//! Simulates a load pattern with a policy: nodes that decide by outdated load information, servers that process
//! requests, and rejected callers that retry.

use crate::engine::Engine;
use crate::engine::EngineSpec;
use crate::event_queue::Event;
use crate::event_queue::EventQueue;
use crate::job::Job;
use crate::job::JobResult;
use crate::job::Millis;
use crate::pattern::Change;
use crate::pattern::Fleet;
use crate::pattern::Pattern;
use crate::plain::PlainServer;
use crate::policy::Policy;
use crate::policy::QueueDiscipline;
use crate::server::Progress;
use crate::server::QueuedJob;
use crate::server::Server;
use crate::server::WorkStats;
use currantbend::clock::BootInstant;
use currantbend::decide::AdmissionRequest;
use currantbend::decide::CallerRetryDetector;
use currantbend::decide::PaceKind;
use currantbend::decide::PaceTable;
use currantbend::decide::PaceWindow;
use currantbend::decide::PlacementRequest;
use currantbend::decide::ServerView;
use currantbend::decide::ServiceStats;
use currantbend::decide::smoothed_load_per_slot;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

/// Time between two exchanges of loads between nodes, in milliseconds, as in `currantbend::peers`.
const EXCHANGE_INTERVAL_MS: Millis = 250.0;
/// Weight of the newest load in the smoothed load of a server, as in the gateway.
const SMOOTHING_FACTOR: f64 = 0.25;
/// Time for which a server that joined counts as warming up, in milliseconds, as in the gateway.
const WARM_UP_MS: Millis = 12_000.0;
/// Time to set up a copy of cached prompt parts in the reference workload, in milliseconds.
const COPY_SETUP_MS: Millis = 4.0;
/// Tokens whose cache is copied in a millisecond in the reference workload: 163,840 bytes a token at 370 Gbit/s.
const COPY_TOKENS_PER_MS: f64 = 282.0;
/// Time for which a draining server stays on the server list, in milliseconds: the two seconds of the reference
/// workload and a margin.
const DRAIN_MS: Millis = 2_500.0;
/// Delay after which an impatient caller retries, in milliseconds, regardless of the retry-after delay that it
/// received. Only its last retry follows that delay.
const IMPATIENT_RETRY_DELAY_MS: Millis = 10.0;
/// Number of times that an impatient caller retries.
const MAX_IMPATIENT_RETRIES: u32 = 3;
/// Share of the time between the arrival and the deadline of a request after which it is rejected if it still waits
/// at a node.
const MAX_NODE_WAIT_SHARE: f64 = 0.125;

/// The result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationResult {
    /// Result of each request, in the order of the pattern's jobs.
    pub job_results: Vec<JobResult>,
    /// Work of all servers in total.
    pub stats: WorkStats,
    /// Number of prompt tokens whose cache was copied between engines.
    pub copied_tokens: u64,
}

/// A server, and what the nodes know about it.
struct ServerState {
    id: String,
    model: Box<dyn Server>,
    /// Time at which it joined or restarted; `None` if it has run since the start of the simulation.
    joined_at: Option<Millis>,
    /// Whether it is on the server list.
    is_listed: bool,
    is_draining: bool,
    /// Number of requests in flight from each node.
    in_flight: Vec<u32>,
    /// Number of requests in flight from each node at the last exchange of loads.
    exchanged_in_flight: Vec<u32>,
    /// Moving mean of the load at the exchanges.
    smoothed_load: f64,
    /// Its answers to all nodes.
    pace: PaceWindow,
}

fn duration(time: Millis) -> Duration {
    Duration::from_secs_f64(time.max(0.0) / 1_000.0)
}

/// The server chosen for a request.
struct Target {
    server: usize,
    /// Load of the server as a multiple of its slots, as far as the node knows it.
    load_per_slot: f64,
    /// Index of the server to copy cached prompt parts from.
    copy_from: Option<usize>,
}

struct Simulation<'a> {
    pattern: &'a Pattern,
    policy: &'a Policy,
    servers: Vec<ServerState>,
    events: EventQueue,
    /// Requests that wait at each node.
    waiting: Vec<Vec<Job>>,
    /// Each node's detector of caller retries.
    retry_detectors: Vec<CallerRetryDetector>,
    /// Each node's statistics of the service.
    service_stats: Vec<ServiceStats>,
    /// What the nodes know of slow servers since the last exchange.
    paces: PaceTable,
    /// Time at which each request was last sent, and the load per slot that the node knew of the server then.
    sent: Vec<(Millis, f64)>,
    /// Node and server of each request that is in flight.
    locations: Vec<Option<(usize, usize)>>,
    /// Time of the latest event of each stream.
    last_event: Vec<Millis>,
    result: SimulationResult,
    rng: StdRng,
    now: Millis,
}

/// Simulates `pattern` with `policy`. Equal arguments give equal results.
pub fn simulate(pattern: &Pattern, policy: &Policy, seed: u64) -> SimulationResult {
    let mut simulation = Simulation {
        pattern,
        policy,
        servers: Vec::new(),
        events: EventQueue::default(),
        waiting: vec![Vec::new(); pattern.node_count],
        retry_detectors: vec![CallerRetryDetector::default(); pattern.node_count],
        service_stats: vec![ServiceStats::default(); pattern.node_count],
        paces: PaceTable::default(),
        sent: vec![(0.0, 0.0); pattern.jobs.len()],
        locations: vec![None; pattern.jobs.len()],
        last_event: vec![0.0; pattern.jobs.len()],
        result: SimulationResult {
            job_results: vec![JobResult::default(); pattern.jobs.len()],
            ..SimulationResult::default()
        },
        rng: StdRng::seed_from_u64(seed),
        now: 0.0,
    };
    simulation.run();
    for server in &simulation.servers {
        let stats = server.model.stats();
        simulation.result.stats.prefill_tokens += stats.prefill_tokens;
        simulation.result.stats.shared_prefill_tokens += stats.shared_prefill_tokens;
        simulation.result.stats.preempted += stats.preempted;
    }
    simulation.result
}

impl Simulation<'_> {
    fn run(&mut self) {
        for _ in 0..self.pattern.fleet.server_count() {
            self.add_server(None);
        }
        for job in &self.pattern.jobs {
            self.events
                .schedule(job.arrival, Event::Arrive(job.clone()));
        }
        for (at, change) in &self.pattern.changes {
            self.events.schedule(*at, Event::Change(*change));
        }
        self.events
            .schedule(EXCHANGE_INTERVAL_MS, Event::ExchangeLoads);
        let deadlines = self.pattern.jobs.iter().map(|job| job.deadline);
        let end = deadlines.fold(0.0, f64::max);
        let mut progress = Vec::new();
        loop {
            let next_step = self.next_step();
            let next_event = self.events.next_time();
            let is_step_first = match (next_step, next_event) {
                (Some((at, _)), Some(event)) => at <= event,
                (Some(_), None) => true,
                (None, _) => false,
            };
            if is_step_first && let Some((at, server)) = next_step {
                self.now = self.now.max(at);
                self.servers[server].model.step(&mut progress);
                for progress in progress.drain(..) {
                    self.record_progress(progress);
                }
            } else if let Some((at, event)) = self.events.pop() {
                self.now = at;
                if self.now > end {
                    return;
                }
                self.handle_event(event);
            } else {
                return;
            }
        }
    }

    /// Returns the time of the servers' next step, and the index of the server that does it.
    fn next_step(&self) -> Option<(Millis, usize)> {
        let steps = self.servers.iter().enumerate();
        steps
            .filter_map(|(index, server)| Some((server.model.next_step()?, index)))
            .min_by(|a, b| a.0.total_cmp(&b.0))
    }

    fn add_server(&mut self, joined_at: Option<Millis>) {
        let model: Box<dyn Server> = match self.pattern.fleet {
            Fleet::Engines(_, spec) => {
                let is_rank_ordered =
                    self.policy.queue_discipline != QueueDiscipline::ServerByArrival;
                Box::new(Engine::new(EngineSpec {
                    is_rank_ordered,
                    ..spec
                }))
            }
            Fleet::Plain(_, spec) => Box::new(PlainServer::new(spec)),
        };
        self.servers.push(ServerState {
            id: format!("s-{}", self.servers.len()),
            model,
            joined_at,
            is_listed: true,
            is_draining: false,
            in_flight: vec![0; self.pattern.node_count],
            exchanged_in_flight: vec![0; self.pattern.node_count],
            smoothed_load: 0.0,
            pace: PaceWindow::default(),
        });
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => {
                let node = self.rng.random_range(0..self.pattern.node_count);
                self.place_job(node, job, true);
            }
            Event::ExchangeLoads => {
                for server in &mut self.servers {
                    server.exchanged_in_flight.clone_from(&server.in_flight);
                    let load: u32 = server.exchanged_in_flight.iter().sum();
                    server.smoothed_load +=
                        (f64::from(load) - server.smoothed_load) * SMOOTHING_FACTOR;
                }
                self.update_paces();
                for node in 0..self.pattern.node_count {
                    self.place_waiting(node);
                }
                self.events
                    .schedule(self.now + EXCHANGE_INTERVAL_MS, Event::ExchangeLoads);
            }
            Event::Change(Change::Crash(server, restart_delay)) => {
                self.servers[server].is_listed = false;
                for index in self.servers[server].model.crash() {
                    self.remove_in_flight(index);
                    self.result.job_results[index].is_lost = true;
                }
                self.events
                    .schedule(self.now + restart_delay, Event::Restart(server));
            }
            Event::Change(Change::Slow(server, slowness)) => {
                self.servers[server].model.set_slowness(slowness);
            }
            Event::Change(Change::Replace(server)) => {
                self.servers[server].is_draining = true;
                self.add_server(Some(self.now));
                self.events
                    .schedule(self.now + DRAIN_MS, Event::Remove(server));
            }
            Event::Remove(server) => self.servers[server].is_listed = false,
            Event::Restart(server) => {
                self.servers[server].is_listed = true;
                self.servers[server].joined_at = Some(self.now);
            }
        }
    }

    /// Removes a request from those in flight, and returns the node that sent it; `None` if it was not in flight.
    fn remove_in_flight(&mut self, job_index: usize) -> Option<usize> {
        let (node, server) = self.locations[job_index].take()?;
        let in_flight = &mut self.servers[server].in_flight[node];
        *in_flight = in_flight.saturating_sub(1);
        Some(node)
    }

    fn record_progress(&mut self, progress: Progress) {
        match progress {
            Progress::First(index, at) => {
                let result = &mut self.result.job_results[index];
                // A preempted request runs again from the beginning, but its caller already received the first event.
                if result.first.is_none() {
                    result.first = Some(at);
                    self.last_event[index] = at;
                }
            }
            Progress::Event(index, at) => {
                let result = &mut self.result.job_results[index];
                result.longest_gap = result.longest_gap.max(at - self.last_event[index]);
                self.last_event[index] = at;
            }
            Progress::End(index, at) => {
                self.result.job_results[index].end = Some(at);
                if let Some((_, server)) = self.locations[index] {
                    let took = duration(at - self.sent[index].0);
                    let now = self.instant();
                    self.servers[server].pace.record(took, now);
                }
                if let Some(node) = self.remove_in_flight(index) {
                    let (sent_at, load_per_slot) = self.sent[index];
                    self.service_stats[node]
                        .record_response_time(duration(at - sent_at), load_per_slot);
                    self.place_waiting(node);
                }
            }
        }
    }

    /// Returns the present time on the clock of the decisions.
    fn instant(&self) -> BootInstant {
        BootInstant::from_boot(duration(self.now))
    }

    /// Decides from the answers to all nodes which servers are slow, if the policy does.
    fn update_paces(&mut self) {
        let is_plain = matches!(self.pattern.fleet, Fleet::Plain(..));
        if !self.policy.uses_paces || !is_plain {
            return;
        }
        let now = self.instant();
        let listed = self.servers.iter_mut().filter(|server| server.is_listed);
        let service: Vec<_> = listed
            .map(|server| (server.id.as_str(), server.pace.sum(now)))
            .collect();
        self.paces.update(PaceKind::Answers, &service, now);
        self.paces.expire(now);
    }

    /// Tries again to place the requests that wait at `node`, the most urgent ones first.
    fn place_waiting(&mut self, node: usize) {
        let mut waiting = std::mem::take(&mut self.waiting[node]);
        waiting.sort_by_key(|job| (job.rank, job.index));
        for job in waiting {
            self.place_job(node, job, false);
        }
    }

    /// Sends a request to a server, rejects it, or lets it wait at `node`. `is_new` says whether the request has just
    /// arrived there, and so is subject to admission control, or has waited there.
    fn place_job(&mut self, node: usize, job: Job, is_new: bool) {
        // Each attempt of a caller is a request with its own id, so each has its own salt.
        let attempt =
            (job.index as u64) << 8 | u64::from(self.result.job_results[job.index].rejections);
        let salt = (attempt + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        if is_new && !self.is_admitted(node, &job, salt) {
            self.reject(job, salt);
            return;
        }
        let Some(target) = self.choose(node, &job, salt) else {
            self.reject(job, salt);
            return;
        };
        if self.policy.queue_discipline == QueueDiscipline::NodeByRank
            && target.load_per_slot >= 1.0
        {
            let wait_until = job.arrival + (job.deadline - job.arrival) * MAX_NODE_WAIT_SHARE;
            if self.now > wait_until {
                self.reject(job, salt);
            } else {
                self.waiting[node].push(job);
            }
            return;
        }
        self.send(node, job, &target, salt);
    }

    /// Returns whether admission control accepts a new request at `node`. Also records the request in the node's
    /// detector of caller retries and, if the policy has admission control, in its statistics.
    fn is_admitted(&mut self, node: usize, job: &Job, salt: u64) -> bool {
        let kind = &self.pattern.kinds[job.kind];
        let time_left = duration(job.deadline - self.now);
        let is_retry = self.retry_detectors[node].detect_retry(kind.name, time_left);
        let Some(admission) = &self.policy.admission else {
            return true;
        };
        let request = AdmissionRequest {
            random_fraction: f64::from(salt as u32) / f64::from(u32::MAX),
            rank: job.rank,
            is_caller_retry: is_retry,
            latency_target: duration(kind.latency_target),
            is_stream: !job.parts.is_empty(),
            team: None,
            heavy_teams: &[],
        };
        let load_per_slot = smoothed_load_per_slot(&self.views(node)).unwrap_or(0.0);
        let retry_share = self.retry_detectors[node].retry_share(kind.name);
        let stats = &mut self.service_stats[node];
        stats.record_request(&request);
        admission.accepts(&stats.service_load(load_per_slot, retry_share), &request)
    }

    /// Returns the server that the policy chooses by the loads that `node` knows; `None` if it chooses none.
    fn choose(&self, node: usize, job: &Job, salt: u64) -> Option<Target> {
        let listed = self.listed_servers();
        let views = self.views(node);
        let request = PlacementRequest {
            parts: &job.parts,
            salt,
        };
        let choice = self.policy.placement.choose(&request, &views)?;
        Some(Target {
            server: listed[choice.index],
            load_per_slot: views[choice.index].load_per_slot(),
            copy_from: choice.copy_from.map(|from| listed[from]),
        })
    }

    /// Adds the request to the queue of the chosen server, or rejects it if the server does. A copy of cached prompt
    /// parts delays its start, but saves the processing of the copied tokens.
    fn send(&mut self, node: usize, job: Job, target: &Target, salt: u64) {
        let cached_tokens = self.servers[target.server].model.cached_tokens(&job);
        let source = target.copy_from.map(|from| &self.servers[from].model);
        let copied_tokens = source.map_or(0, |source| {
            source.cached_tokens(&job).saturating_sub(cached_tokens)
        });
        let mut queued = QueuedJob {
            job,
            ready_at: self.now,
            copied_tokens: 0,
        };
        if copied_tokens > 0 {
            self.result.copied_tokens += u64::from(copied_tokens);
            queued.ready_at += COPY_SETUP_MS + f64::from(copied_tokens) / COPY_TOKENS_PER_MS;
            queued.copied_tokens = cached_tokens + copied_tokens;
        }
        let index = queued.job.index;
        let server = &mut self.servers[target.server];
        match server.model.enqueue(self.now, queued) {
            Ok(()) => {
                server.in_flight[node] += 1;
                self.locations[index] = Some((node, target.server));
                self.sent[index] = (self.now, target.load_per_slot);
            }
            Err(job) => self.reject(job, salt),
        }
    }

    /// Rejects a request, and schedules the caller's retry if there is one.
    fn reject(&mut self, mut job: Job, salt: u64) {
        self.result.job_results[job.index].rejections += 1;
        let time_left = (job.deadline - self.now).max(0.0);
        let is_impatient = !job.is_retry && self.rng.random_bool(self.pattern.impatient_share);
        if is_impatient {
            job.retries_left = MAX_IMPATIENT_RETRIES;
        }
        if job.retries_left == 0 || time_left == 0.0 {
            return;
        }
        job.retries_left -= 1;
        job.is_retry = true;
        let delay = if is_impatient || job.retries_left > 0 {
            IMPATIENT_RETRY_DELAY_MS
        } else {
            let time_left = duration(time_left);
            self.policy.retry_after.delay(salt, time_left).as_secs_f64() * 1_000.0
        };
        self.events.schedule(self.now + delay, Event::Arrive(job));
    }

    /// Returns the indices of the servers on the server list, draining ones included.
    fn listed_servers(&self) -> Vec<usize> {
        (0..self.servers.len())
            .filter(|&index| self.servers[index].is_listed)
            .collect()
    }

    /// Returns the state of the listed servers as `node` knows it.
    fn views(&self, node: usize) -> Vec<ServerView<'_>> {
        let listed = self.listed_servers();
        listed.iter().map(|&index| self.view(node, index)).collect()
    }

    fn view(&self, node: usize, index: usize) -> ServerView<'_> {
        let server = &self.servers[index];
        let others: u32 =
            server.exchanged_in_flight.iter().sum::<u32>() - server.exchanged_in_flight[node];
        let own = server.in_flight[node];
        ServerView {
            id: &server.id,
            // Nodes and servers are distributed over three data centres.
            is_near: index % 3 == node % 3,
            slots: self.pattern.fleet.slots_per_server(),
            load: others + own,
            smoothed_load: server.smoothed_load.max(f64::from(own)),
            is_suspended: false,
            is_tried: false,
            is_warming_up: server
                .joined_at
                .is_some_and(|joined_at| self.now - joined_at < WARM_UP_MS),
            is_draining: server.is_draining,
            is_cold: false,
            is_withheld: false,
            slowness: self
                .paces
                .slow()
                .iter()
                .find(|slow| slow.id == server.id)
                .map_or(1.0, |slow| slow.slowness),
        }
    }
}
