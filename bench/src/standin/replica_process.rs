//! A backend server of the users' platform as a process of its own: program `cb-replica`, or a test executable that starts itself
//! again for it. Signals kill, stop, pause and continue it as they do real servers
//! (`docs/incidents/2026-12-06-ends-behind-relays.md`).
//!
//! With workers, the process only holds the listening socket, and its workers, processes that share the socket, accept and answer.
//! While none runs, the system still accepts connections, and whoever connected waits; the next worker answers on them. What
//! a gateway can tell then:
//!
//! - All workers give the same instance ID. Their health path says that some worker runs, not which one, and also on a connection
//!   that was opened before that worker began.
//! - With start times of their own, a report tells the worker that wrote an answer from one that began later. But beside a second
//!   worker, a report of another start doesn't tell that the one that wrote is gone, as any of them may answer it; and the entry
//!   in the server list names the first worker only.
//! - With the start time of the parent in all reports, nothing tells that a worker is gone but the connections that it had.

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use pico_args::Arguments;
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::os::fd::AsFd;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;
use tokio::net::TcpListener;

use super::replica::Framing;
use super::replica::Pace;
use super::replica::Replica;
use super::replica::Start;
use super::replica::VARIED_EVENTS;
use super::run_log::LogOwner;
use super::run_log::RunLog;
use super::stop::Stop;
use super::stop::requested_args;

/// The help of the program.
pub const HELP: &str = "\
Runs one simulated backend server until SIGTERM.

Usage:
  cb-replica [options]

Options:
  --id ID              instance ID (i-1)
  --address IP:PORT    address to listen on (127.0.0.1:0)
  --born MS            start time, Unix time in milliseconds (1700000000000)
  --work-ms N          time to run a request that is no stream (15)
  --slowness N         multiple of the usual time for a request and between events (1)
  --framing NAME       half-events, joined-events, with-length or unframed (half-events)
  --version NAME       software version (v1)
  --events N-M         least and largest number of events of streams, with --text-per-run (3-30)
  --slots N            requests that run at once (any number)
  --queue N            requests that wait beside those, with --slots (0)
  --event-gap-ms N     time from one event of a stream to the next, with --slots (15); there are then as many as the
                       request asks for
  --first-event-ms N   time from the beginning of a run to its first event, with --slots (0)
  --text-per-run       let each run write what no other run writes
  --records DIR        folder for a file of records for each process
  --drain-ms N         time for requests in flight after SIGTERM (2000)
  --workers N          listen and let N worker processes answer
  --respawn-ms N       time after which a worker that ended is replaced (never)
  --shared-born        let all workers name the same start time
";

/// Variable of the environment that holds the arguments, one a line. It is set for processes that end with their parent.
pub const ARGS_VARIABLE: &str = "CB_REPLICA_ARGS";
/// Variable of the environment that makes a process a worker, which has this number and the listening socket as its standard input.
const WORKER_VARIABLE: &str = "CB_REPLICA_WORKER";
/// Time for which a process tries to listen, as the one before it may be about to end.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
const BIND_INTERVAL: Duration = Duration::from_millis(1);
/// Interval at which a parent looks after its workers.
const WORKER_INTERVAL: Duration = Duration::from_millis(5);
/// Time beyond the drain time after which a parent kills workers that don't end.
const WORKER_GRACE: Duration = Duration::from_secs(1);

const FRAMINGS: [(&str, Framing); 4] = [
    ("half-events", Framing::HalfEvents),
    ("joined-events", Framing::JoinedEvents),
    ("with-length", Framing::WithLength),
    ("unframed", Framing::Unframed),
];

/// The worker processes of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Workers {
    /// Number of workers at a time.
    pub count: u32,
    /// Time after which a worker that ended is replaced; `None` for never.
    pub respawn_after: Option<Duration>,
    /// Whether worker number N, counted from 0 over the parent's life, names a start N milliseconds after the parent's. Otherwise
    /// all name the parent's.
    pub has_own_born: bool,
}

/// What a server bears, and the pace of its streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that wait beside those.
    pub queue: u32,
    /// Pace of its streams.
    pub pace: Pace,
}

/// How a server process is started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaOptions {
    /// Instance ID.
    pub id: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Unix time in milliseconds that it names as that of its start.
    pub born: u64,
    /// Time that it takes to run a request that is no stream.
    pub work_time: Duration,
    /// Multiple of the usual time that it takes to run a request, or to an event of a stream.
    pub slowness: u32,
    /// How it writes its responses.
    pub framing: Framing,
    /// Version of its software.
    pub version: String,
    /// Numbers of events of which streams have one each, if each run writes its own text.
    pub event_counts: RangeInclusive<u64>,
    /// Whether each run writes what no other run writes.
    pub has_text_per_run: bool,
    /// Slots and pace; `None` for any number of requests at once at the usual pace.
    pub capacity: Option<Capacity>,
    /// Folder for the records, a file for each process; `None` for no records.
    pub records: Option<PathBuf>,
    /// Time that requests in flight have after SIGTERM. The connections of those that take longer are closed.
    pub drain_time: Duration,
    /// The processes that accept and answer; `None` if the process itself does.
    pub workers: Option<Workers>,
}

impl Default for ReplicaOptions {
    fn default() -> Self {
        Self {
            id: "i-1".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            born: 1_700_000_000_000,
            work_time: Duration::from_millis(15),
            slowness: 1,
            framing: Framing::default(),
            version: "v1".to_owned(),
            event_counts: VARIED_EVENTS,
            has_text_per_run: false,
            capacity: None,
            records: None,
            drain_time: Duration::from_secs(2),
            workers: None,
        }
    }
}

impl ReplicaOptions {
    /// Reads the options from arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if an argument is unknown or has an invalid value.
    pub fn parse(args: Vec<OsString>) -> Result<Self, pico_args::Error> {
        let mut args = Arguments::from_vec(args);
        let default = Self::default();
        let millis = |text: &str| text.parse().map(Duration::from_millis);
        let respawn_after = args.opt_value_from_fn("--respawn-ms", millis)?;
        let has_own_born = !args.contains("--shared-born");
        let workers = args.opt_value_from_str("--workers")?.map(|count| Workers {
            count,
            respawn_after,
            has_own_born,
        });
        let capacity = parse_capacity(&mut args)?;
        let options = Self {
            id: args.opt_value_from_str("--id")?.unwrap_or(default.id),
            address: args
                .opt_value_from_str("--address")?
                .unwrap_or(default.address),
            born: args.opt_value_from_str("--born")?.unwrap_or(default.born),
            work_time: args
                .opt_value_from_fn("--work-ms", millis)?
                .unwrap_or(default.work_time),
            slowness: args
                .opt_value_from_str("--slowness")?
                .unwrap_or(default.slowness),
            framing: args
                .opt_value_from_fn("--framing", parse_framing)?
                .unwrap_or(default.framing),
            version: args
                .opt_value_from_str("--version")?
                .unwrap_or(default.version),
            event_counts: args
                .opt_value_from_fn("--events", parse_counts)?
                .unwrap_or(default.event_counts),
            has_text_per_run: args.contains("--text-per-run"),
            capacity,
            records: args.opt_value_from_str("--records")?,
            drain_time: args
                .opt_value_from_fn("--drain-ms", millis)?
                .unwrap_or(default.drain_time),
            workers,
        };
        match args.finish().pop() {
            Some(left) => Err(pico_args::Error::ArgumentParsingFailed {
                cause: format!("\"{}\" is not understood", left.to_string_lossy()),
            }),
            None => Ok(options),
        }
    }

    /// Returns the arguments that [`ReplicaOptions::parse`] reads the options from.
    pub fn to_args(&self) -> Vec<String> {
        let framing = FRAMINGS.iter().find(|(_, it)| *it == self.framing);
        let (first, last) = (self.event_counts.start(), self.event_counts.end());
        let mut args = vec![
            format!("--id={}", self.id),
            format!("--address={}", self.address),
            format!("--born={}", self.born),
            format!("--work-ms={}", self.work_time.as_millis()),
            format!("--slowness={}", self.slowness),
            format!("--framing={}", framing.map_or("", |(name, _)| name)),
            format!("--version={}", self.version),
            format!("--events={first}-{last}"),
            format!("--drain-ms={}", self.drain_time.as_millis()),
        ];
        args.extend(self.has_text_per_run.then(|| "--text-per-run".to_owned()));
        args.extend(self.capacity.into_iter().flat_map(Capacity::to_args));
        let records = self.records.as_ref();
        args.extend(records.map(|folder| format!("--records={}", folder.display())));
        if let Some(workers) = &self.workers {
            args.push(format!("--workers={}", workers.count));
            let respawn_after = workers.respawn_after;
            args.extend(respawn_after.map(|time| format!("--respawn-ms={}", time.as_millis())));
            args.extend((!workers.has_own_born).then(|| "--shared-born".to_owned()));
        }
        args
    }

    /// Returns the start of the server at `address`, which names the start time `born`.
    pub(super) fn start(&self, address: SocketAddr, born: u64) -> Start<'_> {
        Start {
            id: &self.id,
            address,
            born,
            work_time: self.work_time,
        }
    }

    /// Returns the file of records of this process, or `None` if none is kept.
    fn create_log(&self, owner: LogOwner) -> io::Result<Option<RunLog>> {
        let Some(folder) = &self.records else {
            return Ok(None);
        };
        std::fs::create_dir_all(folder)?;
        let path = folder.join(format!("{}.jsonl", owner.process));
        RunLog::create(&path, owner).map(Some)
    }
}

impl Capacity {
    fn to_args(self) -> [String; 4] {
        let Pace {
            first_event,
            event_gap,
        } = self.pace;
        [
            format!("--slots={}", self.slots),
            format!("--queue={}", self.queue),
            format!("--event-gap-ms={}", event_gap.as_millis()),
            format!("--first-event-ms={}", first_event.as_millis()),
        ]
    }
}

fn parse_capacity(args: &mut Arguments) -> Result<Option<Capacity>, pico_args::Error> {
    let millis = |text: &str| text.parse().map(Duration::from_millis);
    let queue = args.opt_value_from_str("--queue")?.unwrap_or(0);
    let event_gap = args.opt_value_from_fn("--event-gap-ms", millis)?;
    let first_event = args.opt_value_from_fn("--first-event-ms", millis)?;
    let pace = Pace {
        first_event: first_event.unwrap_or(Duration::ZERO),
        event_gap: event_gap.unwrap_or(Duration::from_millis(15)),
    };
    let slots = args.opt_value_from_str("--slots")?;
    Ok(slots.map(|slots| Capacity { slots, queue, pace }))
}

fn parse_framing(text: &str) -> Result<Framing, String> {
    let found = FRAMINGS.iter().find(|(name, _)| *name == text);
    let found = found.map(|(_, framing)| *framing);
    found.ok_or_else(|| format!("there is no framing \"{text}\""))
}

fn parse_counts(text: &str) -> Result<RangeInclusive<u64>, String> {
    let counts = text.split_once('-').and_then(|(first, last)| {
        let (first, last): (u64, u64) = (first.parse().ok()?, last.parse().ok()?);
        (first <= last).then_some(first..=last)
    });
    counts.ok_or_else(|| format!("\"{text}\" is no range of numbers of events"))
}

/// Returns the options that the environment has for this process; `None` if it isn't asked to be a server.
pub fn requested() -> Option<Result<ReplicaOptions, pico_args::Error>> {
    requested_args(ARGS_VARIABLE).map(ReplicaOptions::parse)
}

/// Runs a server in this process until SIGTERM, or until its parent is gone if that started it by the environment.
///
/// # Errors
///
/// Returns an error if the address can't be bound, the records can't be written or a worker can't be started.
pub async fn run(options: ReplicaOptions) -> io::Result<()> {
    let stop = Stop::new(ARGS_VARIABLE)?;
    let worker = std::env::var(WORKER_VARIABLE).ok();
    if let Some(number) = worker.and_then(|number| number.parse().ok()) {
        let socket = io::stdin().as_fd().try_clone_to_owned()?;
        return serve(socket.into(), &options, Some(number), stop).await;
    }
    let listener = bind(options.address).await?;
    match options.workers {
        Some(workers) => hold(listener, &options, workers, stop).await,
        None => serve(listener, &options, None, stop).await,
    }
}

async fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let end = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(address).await {
            Err(err) if err.kind() == io::ErrorKind::AddrInUse && Instant::now() < end => {
                tokio::time::sleep(BIND_INTERVAL).await;
            }
            result => return result?.into_std(),
        }
    }
}

/// Accepts and answers.
async fn serve(
    listener: std::net::TcpListener,
    options: &ReplicaOptions,
    worker: Option<u32>,
    mut stop: Stop,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let has_own_born = options.workers.is_some_and(|workers| workers.has_own_born);
    let later = worker.filter(|_| has_own_born).map_or(0, u64::from);
    let born = options.born + later;
    let log = options.create_log(LogOwner {
        process: std::process::id(),
        address,
        worker,
        born,
    })?;
    let listener = TcpListener::from_std(listener)?;
    let replica = Replica::start_on(listener, options.start(address, born))?;
    replica.set_slowness(options.slowness);
    replica.set_framing(options.framing);
    replica.set_software_version(&options.version);
    replica.set_event_counts(options.event_counts.clone());
    if options.has_text_per_run {
        replica.set_text_per_run();
    }
    if let Some(capacity) = &options.capacity {
        replica.set_slots(capacity.slots, capacity.queue);
        replica.set_pace(capacity.pace);
    }
    if let Some(log) = log {
        replica.set_run_log(log);
    }
    stop.wait().await;
    replica.set_leaving();
    // What isn't finished by then ends with the process.
    let _ = tokio::time::timeout(options.drain_time, replica.close_gracefully()).await;
    Ok(())
}

/// A worker process, and when its parent noticed that it had ended.
struct Worker {
    child: Child,
    ended: Option<Instant>,
}

impl Worker {
    /// Starts the program that runs now again, as the worker with this number.
    fn start(
        number: u32,
        options: &ReplicaOptions,
        listener: &std::net::TcpListener,
    ) -> io::Result<Self> {
        let socket = OwnedFd::from(listener.try_clone()?);
        let mut command = Command::new(std::env::current_exe()?);
        command.args(std::env::args_os().skip(1));
        command.env(ARGS_VARIABLE, options.to_args().join("\n"));
        command.env(WORKER_VARIABLE, number.to_string());
        let child = command.stdin(Stdio::from(socket)).spawn()?;
        Ok(Self { child, ended: None })
    }

    /// Returns when it ended, or `None` if it runs.
    fn ended(&mut self) -> io::Result<Option<Instant>> {
        if self.ended.is_none() && self.child.try_wait()?.is_some() {
            self.ended = Some(Instant::now());
        }
        Ok(self.ended)
    }
}

/// Holds the listening socket, on which workers accept, and replaces those that end.
async fn hold(
    listener: std::net::TcpListener,
    options: &ReplicaOptions,
    workers: Workers,
    mut stop: Stop,
) -> io::Result<()> {
    let owner = LogOwner {
        process: std::process::id(),
        address: listener.local_addr()?,
        worker: None,
        born: options.born,
    };
    // It has no runs to keep, but its address to tell.
    options.create_log(owner)?;
    let mut running = Vec::new();
    for number in 0..workers.count {
        running.push(Worker::start(number, options, &listener)?);
    }
    let mut number = workers.count;
    while !stop.is_due_within(WORKER_INTERVAL).await {
        for worker in &mut running {
            let is_due = match (worker.ended()?, workers.respawn_after) {
                (Some(ended), Some(time)) => ended.elapsed() >= time,
                _ => false,
            };
            if is_due {
                *worker = Worker::start(number, options, &listener)?;
                number += 1;
            }
        }
    }
    drop(listener);
    stop_workers(running, options.drain_time + WORKER_GRACE).await
}

/// Stops the workers as SIGTERM stops their parent, and kills those that still run after `time`.
async fn stop_workers(mut workers: Vec<Worker>, time: Duration) -> io::Result<()> {
    for worker in &mut workers {
        if worker.ended()?.is_none() {
            let id = i32::try_from(worker.child.id()).map_err(io::Error::other)?;
            kill(Pid::from_raw(id), Signal::SIGTERM)?;
        }
    }
    let end = Instant::now() + time;
    for worker in &mut workers {
        while worker.ended()?.is_none() {
            if Instant::now() >= end {
                worker.child.kill()?;
            }
            tokio::time::sleep(WORKER_INTERVAL).await;
        }
    }
    Ok(())
}
