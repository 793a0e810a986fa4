//! A backend server of the users' platform: it echoes the request ID, signs its responses, reports its load, and can be
//! set to misbehave.

mod control;
mod pace;
mod slots;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Incoming;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;
use tokio::net::TcpListener;

use crate::http;
use crate::http::Abort;
use crate::http::CrashHandle;
use crate::http::HandlerResult;
use crate::http::ResponseBody;
use crate::http::Server;
use crate::standin::run_log::RunLog;
use crate::truth::lock;

pub use self::pace::Pace;
use self::slots::Slot;
use self::slots::Slots;

/// Pause after each event of a stream.
const EVENT_GAP: Duration = Duration::from_millis(15);
/// Start time of servers that are started only once, as their entries name it.
const BORN: u64 = 1_700_000_000_000;
/// Number of events of a stream, unless the server writes a text per run.
pub const EVENTS: u64 = 12;
/// Numbers of events of streams at a server that writes a text per run, unless others are set.
pub const VARIED_EVENTS: RangeInclusive<u64> = 3..=30;
/// Number of events in one write of a server that doesn't write each on its own.
const EVENTS_PER_WRITE: u64 = 3;

/// How the server handles requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behavior {
    /// Runs them and responds.
    #[default]
    Healthy,
    /// Rejects them and reports that it did not run them.
    Rejects,
    /// Rejects them like [`Behavior::Rejects`] and asks for no requests for this number of seconds.
    RejectsFor(u64),
    /// Runs them and responds with status 500; streams are not affected.
    Fails,
    /// Runs them and never responds.
    Hangs,
    /// Runs them and aborts the connection; for a stream, after this number of events.
    Breaks(u64),
    /// Stops streams after this number of events and leaves the connection open; other requests are not affected.
    Stalls(u64),
    /// Responds with the ID of another request.
    WrongRequestId,
    /// Responds without the signature.
    OmitsSignature,
    /// Begins streams anew that it is asked to go on with.
    StartsAgain,
    /// Responds with status 500 if it is asked to go on with a stream.
    FailsToResume,
    /// Responds with status 200 and a body of another type if it is asked to go on with a stream.
    ResumesWithOtherType,
    /// Answers without having read the body of the request.
    AnswersEarly,
}

/// How a server writes its responses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Framing {
    /// With a length or in chunks; each event of a stream in two of them, so that readers can't rely on one holding one event.
    #[default]
    HalfEvents,
    /// With a length or in chunks; `EVENTS_PER_WRITE` events in each.
    JoinedEvents,
    /// As [`Framing::JoinedEvents`], but streams have a length too.
    WithLength,
    /// As [`Framing::JoinedEvents`], but without length or chunks, as of HTTP/1.0: a response ends with its connection.
    Unframed,
}

/// Point of a response at which a server pauses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PausePoint {
    /// Before the head.
    Head,
    /// After the head and this number of events of a stream.
    AfterEvents(u64),
    /// Within the event that follows this number of events of a stream.
    WithinEvent(u64),
    /// Within the body of a response that is no stream.
    WithinBody,
}

/// A time for which a server says nothing, after which it goes on as if nothing had been.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// Where it falls silent.
    pub point: PausePoint,
    /// How long it is silent.
    pub time: Duration,
    /// Whether it pauses in each response, not only in the first that gets to this point.
    pub is_repeated: bool,
}

/// When a request crashes the server that runs it.
#[derive(Clone, Copy, Debug)]
pub enum CrashPoint {
    /// This long after the server began to run it.
    After(Duration),
    /// After this number of events of its stream.
    AfterEvents(u64),
    /// Within the body of its response, which is no stream.
    WithinBody,
}

/// A request that crashes the servers that run it, by what stays the same each time it is sent.
#[derive(Clone, Debug)]
pub struct CrashingRequest {
    /// Path and query.
    pub target: String,
    /// The caller's team.
    pub team: String,
    /// The request body.
    pub body: Bytes,
    /// When it crashes the server.
    pub point: CrashPoint,
}

/// How a server is started.
#[derive(Clone, Copy, Debug)]
pub struct Start<'a> {
    /// Instance ID.
    pub id: &'a str,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Unix time in milliseconds that its entry names as that of its start.
    pub born: u64,
    /// Time that it takes to run a request that is no stream.
    pub work_time: Duration,
}

impl Start<'_> {
    /// Returns the entry for the server list of a server that is started so, with this software version, as JSON.
    pub fn entry(
        &self,
        version: &str,
        (service, data_centre): (&str, &str),
        state: &str,
        sequence: u64,
    ) -> Vec<u8> {
        let entry = serde_json::json!({
            "service": service, "address": self.address, "zone": data_centre, "version": version,
            "slots": 8, "state": state, "cold-left-ms": 0, "seq": sequence, "born": self.born,
        });
        entry.to_string().into_bytes()
    }
}

/// A request that the server ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// When the server began to run it.
    pub at: Instant,
    /// The request ID.
    pub request_id: String,
    /// The request headers as the server received them.
    pub headers: HeaderMap,
    /// Path and query.
    pub target: String,
    /// The request body.
    pub body: Bytes,
    /// Instance ID of the server.
    pub server: String,
    /// Version of the server's software.
    pub software_version: String,
    /// What the server wrote.
    pub written: Written,
}

/// What a server wrote in one run, by which a test tells where the bytes that a caller read come from.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Written {
    /// ID of the event after which the server was asked to go on; 0 if it was asked to begin.
    pub asked_after: u64,
    /// ID of the first event that it wrote. It differs from the one that was asked for if the server begins anew.
    pub first_id: u64,
    /// The bytes of each event, recorded before they are sent. A body that is no stream counts as one event.
    pub events: Vec<Bytes>,
    /// ID of the last event of the whole stream, whether or not the server got there; 0 if it wrote no answer.
    pub last_id: u64,
    /// Whether it wrote the whole answer.
    pub is_ended: bool,
}

/// A step of a run, recorded before its bytes are sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// The server knows which events it writes.
    Head {
        /// ID of the first event.
        first_id: u64,
        /// ID of the last event of the whole stream.
        last_id: u64,
    },
    /// It writes the next event, with this text.
    Event(String),
    /// It wrote the whole answer.
    Ended,
}

impl Written {
    /// Adds a step to what the server wrote.
    pub fn add(&mut self, step: Step) {
        match step {
            Step::Head { first_id, last_id } => (self.first_id, self.last_id) = (first_id, last_id),
            Step::Event(text) => self.events.push(text.into()),
            Step::Ended => self.is_ended = true,
        }
    }
}

#[derive(Debug)]
struct Shared {
    id: String,
    born: AtomicU64,
    work_time: Duration,
    software_version: Mutex<String>,
    behavior: Mutex<Behavior>,
    /// Share of requests that are handled by `behavior`; the others are by [`Behavior::Healthy`].
    behavior_share: Mutex<f64>,
    framing: Mutex<Framing>,
    pace: OnceLock<Pace>,
    slots: OnceLock<Slots>,
    has_text_per_run: AtomicBool,
    /// Numbers of events of streams, if it writes a text per run.
    event_counts: Mutex<Vec<u64>>,
    runs: Mutex<Vec<Run>>,
    /// Where the runs are kept beside `runs`, for readers that outlive the process.
    run_log: OnceLock<RunLog>,
    running: AtomicU32,
    rejected: AtomicU32,
    is_leaving: AtomicBool,
    /// Whether its link is cut: new connections are refused, and open ones break with the next bytes.
    is_cut: AtomicBool,
    /// Limit on requests that it names in its responses, as text.
    rate_limit: Mutex<Option<String>>,
    /// Multiple of the usual time that it takes to run a request, or to an event of a stream.
    slowness: AtomicU32,
    /// Time from a request for a stream to its first event.
    first_event_delay: Mutex<Duration>,
    pause: Mutex<Option<Pause>>,
    /// Until when the server writes nothing to any connection.
    silent_until: Mutex<Option<Instant>>,
    /// Parts of prompts that crash the server as it begins to answer a request with one of them.
    crashing_parts: Mutex<Vec<String>>,
    crashing_requests: Mutex<Vec<CrashingRequest>>,
    /// Of the server that runs now; `None` until the first has started.
    crash_handle: Mutex<Option<CrashHandle>>,
    crashed_at: OnceLock<Instant>,
    /// Body of the request that crashed the server.
    crashed_by: OnceLock<Bytes>,
}

impl Shared {
    fn crash(&self) {
        self.crashed_at.get_or_init(Instant::now);
        self.stop_at_once();
    }

    fn stop_at_once(&self) {
        if let Some(handle) = &*lock(&self.crash_handle) {
            handle.crash();
        }
    }

    /// Waits for the time that something takes which usually takes `time`.
    async fn work_for(&self, time: Duration) {
        tokio::time::sleep(time * self.slowness.load(Relaxed)).await;
    }

    /// Waits out the pause that is set for `point`, and the time for which the whole server is silent.
    async fn pause_at(&self, point: PausePoint) {
        let due = {
            let mut pause = lock(&self.pause);
            match *pause {
                Some(due) if due.point == point => {
                    *pause = pause.filter(|pause| pause.is_repeated);
                    Some(due)
                }
                _ => None,
            }
        };
        if let Some(due) = due {
            tokio::time::sleep(due.time).await;
        }
        self.wait_while_silent().await;
    }

    async fn wait_while_silent(&self) {
        let silent_until = *lock(&self.silent_until);
        if let Some(until) = silent_until {
            tokio::time::sleep_until(until.into()).await;
        }
    }

    fn crash_by(&self, body: &Bytes) {
        self.crashed_by.get_or_init(|| body.clone());
        self.crash();
    }

    /// Returns when a request crashes the server, or `None` if it doesn't.
    fn crash_point(&self, headers: &HeaderMap, target: &str, body: &Bytes) -> Option<CrashPoint> {
        if self.has_crashing_part(headers) {
            return Some(CrashPoint::AfterEvents(0));
        }
        let team = http::header(headers, "currantbend-tenant");
        let requests = lock(&self.crashing_requests);
        let mut requests = requests.iter();
        let found = requests.find(|crashing| {
            crashing.target == target && crashing.team == team && crashing.body == body
        });
        found.map(|crashing| crashing.point)
    }

    /// Returns whether a part of the prompt, the last one excepted, crashes the server.
    fn has_crashing_part(&self, headers: &HeaderMap) -> bool {
        let parts = http::header(headers, "currantbend-prompt-prefix");
        let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
        let mut ids = shared.split(',').filter_map(|part| part.split(':').next());
        let crashing = lock(&self.crashing_parts);
        ids.any(|id| crashing.iter().any(|part| part == id))
    }
}

/// Counts a request as running until it is dropped, and keeps what the server writes for it.
struct RunningGuard {
    shared: Arc<Shared>,
    /// Index in the list of runs.
    number: usize,
    /// What the text of each event ends with, which no other run has; empty if runs write the same.
    mark: String,
    /// ID of the last event of the request's stream.
    last_id: u64,
    /// Held as long as it runs.
    _slot: Option<Slot>,
}

impl RunningGuard {
    fn new(shared: &Arc<Shared>, run: Run, slot: Option<Slot>) -> Self {
        shared.running.fetch_add(1, Relaxed);
        let has_own_text = shared.has_text_per_run.load(Relaxed);
        let paced = shared.pace.get();
        let paced = paced.and_then(|_| Pace::event_count(&run.headers));
        let last_id = if let Some(count) = paced {
            count
        } else if has_own_text {
            event_count(&run, &lock(&shared.event_counts))
        } else {
            EVENTS
        };
        let mut runs = lock(&shared.runs);
        let number = runs.len();
        let mark = if has_own_text {
            let (born, process) = (shared.born.load(Relaxed), std::process::id());
            format!(
                " {} {born} {process} {} {number}",
                shared.id, run.request_id
            )
        } else {
            String::new()
        };
        if let Some(log) = shared.run_log.get() {
            log.begin(number, &run);
        }
        runs.push(run);
        Self {
            shared: Arc::clone(shared),
            number,
            mark,
            last_id,
            _slot: slot,
        }
    }

    /// Returns the text of an event in the two parts in which [`Framing::HalfEvents`] writes it.
    fn event_text(&self, number: u64, version: &str) -> (String, String) {
        let start = format!("id: {number}\ndata: to");
        let rest = format!("ken {number} {version}{}\n\n", self.mark);
        (start, rest)
    }

    /// Returns the length of a stream of the events that follow event number `after`.
    fn stream_bytes(&self, after: u64, version: &str) -> usize {
        let texts = (after + 1..=self.last_id).map(|number| self.event_text(number, version));
        texts.map(|(start, rest)| start.len() + rest.len()).sum()
    }

    /// Records a step of the run.
    fn record(&self, step: Step) {
        if let Some(log) = self.shared.run_log.get() {
            log.add(self.number, &step);
        }
        lock(&self.shared.runs)[self.number].written.add(step);
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Relaxed);
    }
}

/// Returns the number of events of the stream that `run` begins or goes on with: the same for all attempts of its caller,
/// which name the first, and one of `counts`.
fn event_count(run: &Run, counts: &[u64]) -> u64 {
    let resumed = http::header(&run.headers, "resumes");
    let first_attempt = if resumed.is_empty() {
        &run.request_id
    } else {
        resumed
    };
    let mut hasher = DefaultHasher::new();
    first_attempt.hash(&mut hasher);
    counts[(hasher.finish() % counts.len() as u64) as usize]
}

/// A running backend server.
#[derive(Debug)]
pub struct Replica {
    server: Mutex<Server>,
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Replica {
    /// Starts a server with the instance ID `id` that takes `work_time` to run a request; streams have their own pace.
    ///
    /// # Errors
    ///
    /// Returns an error if no address can be bound.
    pub async fn start(id: &str, work_time: Duration) -> io::Result<Self> {
        Self::start_with(Start {
            id,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            born: BORN,
            work_time,
        })
        .await
    }

    /// Starts a server as `start` says.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start_with(start: Start<'_>) -> io::Result<Self> {
        let listener = TcpListener::bind(start.address).await?;
        Self::start_on(listener, start)
    }

    /// Starts a server as `start` says that accepts connections on `listener`, which other processes may share.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no address.
    pub fn start_on(listener: TcpListener, start: Start<'_>) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            id: start.id.to_owned(),
            born: AtomicU64::new(start.born),
            work_time: start.work_time,
            software_version: Mutex::new("v1".to_owned()),
            behavior: Mutex::default(),
            behavior_share: Mutex::new(1.0),
            framing: Mutex::default(),
            pace: OnceLock::new(),
            slots: OnceLock::new(),
            has_text_per_run: AtomicBool::new(false),
            event_counts: Mutex::new(VARIED_EVENTS.collect()),
            runs: Mutex::default(),
            run_log: OnceLock::new(),
            running: AtomicU32::new(0),
            rejected: AtomicU32::new(0),
            is_leaving: AtomicBool::new(false),
            is_cut: AtomicBool::new(false),
            rate_limit: Mutex::default(),
            slowness: AtomicU32::new(1),
            first_event_delay: Mutex::default(),
            pause: Mutex::default(),
            silent_until: Mutex::default(),
            crashing_parts: Mutex::default(),
            crashing_requests: Mutex::default(),
            crash_handle: Mutex::default(),
            crashed_at: OnceLock::new(),
            crashed_by: OnceLock::new(),
        });
        let server = Server::start_on(listener, handler(&shared))?;
        *lock(&shared.crash_handle) = Some(server.crash_handle());
        Ok(Self {
            address: server.address(),
            server: Mutex::new(server),
            shared,
        })
    }

    /// Ends it like a process that is killed: it stops listening, then its connections are closed.
    pub fn kill(&self) {
        self.shared.stop_at_once();
    }

    /// Starts it again at its address after [`Replica::kill`], as another incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.restart_by_clock(self.shared.born.load(Relaxed) + 1)
            .await
    }

    /// Starts it again like [`Replica::restart`], at the Unix time `born` in milliseconds by its clock.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn restart_by_clock(&self, born: u64) -> io::Result<()> {
        self.shared.born.store(born, Relaxed);
        let server = Server::start(self.address, handler(&self.shared)).await?;
        *lock(&self.shared.crash_handle) = Some(server.crash_handle());
        *lock(&self.server) = server;
        Ok(())
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its instance ID.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Sets how it handles requests from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        *lock(&self.shared.behavior) = behavior;
    }

    /// Sets how it writes responses from now on.
    pub fn set_framing(&self, framing: Framing) {
        *lock(&self.shared.framing) = framing;
    }

    /// Makes each run write what no other run writes, with streams of different lengths. By default all runs of a software
    /// version write the same.
    pub fn set_text_per_run(&self) {
        self.shared.has_text_per_run.store(true, Relaxed);
    }

    /// Sets the numbers of events, at least one, of which streams have one each, if each run writes its own text.
    pub fn set_event_counts(&self, counts: impl IntoIterator<Item = u64>) {
        *lock(&self.shared.event_counts) = counts.into_iter().collect();
    }

    /// Sets the pace of its streams; only the first that is set is used.
    pub fn set_pace(&self, pace: Pace) {
        *lock(&self.shared.first_event_delay) = pace.first_event;
        self.shared.pace.get_or_init(|| pace);
    }

    /// Sets how many requests it runs at once, and how many wait beside those; only the first that are set are used. By default it
    /// runs any number.
    pub fn set_slots(&self, slots: u32, queue: u32) {
        self.shared.slots.get_or_init(|| Slots::new(slots, queue));
    }

    /// Keeps its runs in `log` too, from now on and before their bytes are sent. Only the first log that is set is used.
    pub fn set_run_log(&self, log: RunLog) {
        self.shared.run_log.get_or_init(|| log);
    }

    /// Sets the version of its software, which its entry and the events of its streams name.
    pub fn set_software_version(&self, version: &str) {
        version.clone_into(&mut lock(&self.shared.software_version));
    }

    /// Makes the server take this multiple of the usual time for requests and for each event of a stream.
    pub fn set_slowness(&self, slowness: u32) {
        self.shared.slowness.store(slowness, Relaxed);
    }

    /// Makes it say in its responses that it leaves, while its entry stays as it is.
    pub fn set_leaving(&self) {
        self.shared.is_leaving.store(true, Relaxed);
    }

    /// Sets the limit on requests a second that it names in its responses, as the text of the header.
    pub fn set_rate_limit(&self, limit: Option<&str>) {
        *lock(&self.shared.rate_limit) = limit.map(str::to_owned);
    }

    /// Sets the time from a request for a stream to its first event.
    pub fn set_first_event_delay(&self, delay: Duration) {
        *lock(&self.shared.first_event_delay) = delay;
    }

    /// Sets the pause that it makes from now on, or none.
    pub fn set_pause(&self, pause: Option<Pause>) {
        *lock(&self.shared.pause) = pause;
    }

    /// Lets it fall silent on all connections for `time`, after which it goes on.
    pub fn fall_silent(&self, time: Duration) {
        *lock(&self.shared.silent_until) = Some(Instant::now() + time);
    }

    /// Sets the parts of prompts that crash it as it begins to answer a request with one of them.
    pub fn set_crashing_parts(&self, parts: &[&str]) {
        *lock(&self.shared.crashing_parts) = parts.iter().map(|part| (*part).to_owned()).collect();
    }

    /// Sets the requests that crash it.
    pub fn set_crashing_requests(&self, requests: &[CrashingRequest]) {
        *lock(&self.shared.crashing_requests) = requests.to_vec();
    }

    /// Crashes it: it stops listening and aborts all connections.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Cuts its link: new connections are refused, and open ones break with the next bytes. It runs on.
    pub fn cut(&self) {
        self.shared.is_cut.store(true, Relaxed);
        lock(&self.server).set_refusing(true);
    }

    /// Mends its link.
    pub fn reconnect(&self) {
        self.shared.is_cut.store(false, Relaxed);
        lock(&self.server).set_refusing(false);
    }

    /// Returns when it crashed, or `None` if it hasn't.
    pub fn crashed_at(&self) -> Option<Instant> {
        self.shared.crashed_at.get().copied()
    }

    /// Returns the body of the request that crashed it, or `None` if none did.
    pub fn crashed_by(&self) -> Option<Bytes> {
        self.shared.crashed_by.get().cloned()
    }

    /// Returns the number of requests that it rejected.
    pub fn rejected(&self) -> u32 {
        self.shared.rejected.load(Relaxed)
    }

    /// Returns the requests that it ran, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Returns the number of requests that it runs now.
    pub fn running(&self) -> u32 {
        self.shared.running.load(Relaxed)
    }

    /// Returns its entry for the server list, as JSON.
    pub fn entry(&self, service: &str, data_centre: &str, state: &str, sequence: u64) -> Vec<u8> {
        let version = lock(&self.shared.software_version).clone();
        let start = Start {
            id: &self.shared.id,
            address: self.address,
            born: self.shared.born.load(Relaxed),
            work_time: self.shared.work_time,
        };
        start.entry(&version, (service, data_centre), state, sequence)
    }

    /// Stops listening and waits until the requests that it runs are finished.
    pub async fn close_gracefully(self) {
        let server = self.server.into_inner();
        let server = server.unwrap_or_else(PoisonError::into_inner);
        server.close_gracefully().await;
    }

    /// Stops at once, like a crash.
    pub async fn abort(self) {
        let server = self.server.into_inner();
        server.unwrap_or_else(PoisonError::into_inner).abort().await;
    }
}

fn handler(shared: &Arc<Shared>) -> http::Handler {
    let shared = Arc::clone(shared);
    Arc::new(move |req| -> BoxFuture<'static, HandlerResult> {
        let shared = Arc::clone(&shared);
        Box::pin(async move { handle(shared, req).await })
    })
}

fn build_response(
    shared: &Shared,
    status: StatusCode,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    http::set_header(&mut res, "currantbend-instance-id", &shared.id);
    http::set_header(&mut res, "keep-alive", "timeout=10");
    let (waiting, slots) = match shared.slots.get() {
        Some(slots) => (slots.waiting(), slots.count()),
        None => (0, 8),
    };
    let load = format!("{},{waiting},{slots}", shared.running.load(Relaxed));
    http::set_header(&mut res, "currantbend-server-load", &load);
    if let Some(limit) = &*lock(&shared.rate_limit) {
        http::set_header(&mut res, "server-limit", limit);
    }
    if shared.is_leaving.load(Relaxed) {
        http::set_header(&mut res, "server-leaving", "1");
        if shared.slots.get().is_some() {
            http::set_header(&mut res, "connection", "close");
        }
    }
    res
}

fn not_run_response(
    shared: &Shared,
    status: StatusCode,
    request_id: &str,
) -> Response<ResponseBody> {
    let mut res = build_response(shared, status, http::full("not run"));
    http::set_header(&mut res, "currantbend-request-id", request_id);
    http::set_header(&mut res, "currantbend-not-run", "1");
    res
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> HandlerResult {
    let headers = req.headers().clone();
    let target = req.uri().to_string();
    let expected = http::header(&headers, "currantbend-expect-instance").to_owned();
    let request_id = http::header(&headers, "currantbend-request-id").to_owned();
    if target == "/api/report" {
        let report = serde_json::json!({"born": shared.born.load(Relaxed)});
        let body = http::full(report.to_string());
        return Ok(build_response(&shared, StatusCode::OK, body));
    }
    if let Some(query) = target.strip_prefix(control::PATH) {
        return Ok(shared.control(query));
    }
    let behavior = shared.behavior_for(&request_id);
    if target == "/health" && !matches!(behavior, Behavior::Rejects | Behavior::RejectsFor(_)) {
        if shared.is_cut.load(Relaxed) {
            return Err(Abort);
        }
        shared.wait_while_silent().await;
        return Ok(build_response(&shared, StatusCode::OK, http::full("")));
    }
    let framing = *lock(&shared.framing);
    let body = match behavior {
        Behavior::AnswersEarly => Bytes::new(),
        _ => http::read_body(req.into_body()).await.map_err(|_| Abort)?,
    };
    if shared.is_cut.load(Relaxed) {
        return Err(Abort);
    }
    if !expected.is_empty() && expected != shared.id {
        return Ok(not_run_response(
            &shared,
            StatusCode::MISDIRECTED_REQUEST,
            &request_id,
        ));
    }
    if let Behavior::Rejects | Behavior::RejectsFor(_) = behavior {
        shared.rejected.fetch_add(1, Relaxed);
        shared.wait_while_silent().await;
        let mut res = not_run_response(&shared, StatusCode::SERVICE_UNAVAILABLE, &request_id);
        if let Behavior::RejectsFor(seconds) = behavior {
            http::set_header(&mut res, "retry-after", &seconds.to_string());
        }
        return Ok(res);
    }
    let slot = match shared.slots.get() {
        None => None,
        Some(slots) => match slots.take(&headers).await {
            Some(slot) => Some(slot),
            None => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Ok(not_run_response(&shared, status, &request_id));
            }
        },
    };
    let crash_point = shared.crash_point(&headers, &target, &body);
    let after = http::header(&headers, "last-event-id").parse().unwrap_or(0);
    let run = Run {
        at: Instant::now(),
        request_id: request_id.clone(),
        headers: headers.clone(),
        target,
        body: body.clone(),
        server: shared.id.clone(),
        software_version: lock(&shared.software_version).clone(),
        written: Written {
            asked_after: after,
            ..Written::default()
        },
    };
    let running = RunningGuard::new(&shared, run, slot);
    shared.wait_while_silent().await;
    if let Some(CrashPoint::After(time)) = crash_point {
        tokio::time::sleep(time).await;
        shared.crash_by(&body);
        // The response must not begin before the connection ends.
        std::future::pending::<()>().await;
    }
    if behavior == Behavior::Hangs {
        std::future::pending::<()>().await;
    }
    let is_stream = headers.contains_key("currantbend-token-counts");
    let mut res = if is_stream && after > 0 && behavior == Behavior::FailsToResume {
        let body = http::full("overloaded\n\n");
        build_response(&shared, StatusCode::INTERNAL_SERVER_ERROR, body)
    } else if is_stream && after > 0 && behavior == Behavior::ResumesWithOtherType {
        let body = http::full("{\"error\": \"overloaded\"}\n\n");
        let mut res = build_response(&shared, StatusCode::OK, body);
        http::set_header(&mut res, "content-type", "application/json");
        res
    } else if is_stream {
        shared.pause_at(PausePoint::Head).await;
        let after = if behavior == Behavior::StartsAgain {
            0
        } else {
            after
        };
        let crash = match crash_point {
            Some(CrashPoint::AfterEvents(count)) => Some((count, body)),
            _ => None,
        };
        let version = lock(&shared.software_version).clone();
        let length = running.stream_bytes(after, &version);
        let body = events(running, (behavior, framing), (after, version), crash);
        let mut res = build_response(&shared, StatusCode::OK, body);
        if framing == Framing::WithLength {
            http::set_header(&mut res, "content-length", &length.to_string());
        }
        res
    } else {
        shared.work_for(shared.work_time).await;
        shared.pause_at(PausePoint::Head).await;
        match behavior {
            Behavior::Breaks(_) => return Err(Abort),
            Behavior::Fails => build_response(
                &shared,
                StatusCode::INTERNAL_SERVER_ERROR,
                http::full("failed"),
            ),
            _ => {
                let text = if running.mark.is_empty() {
                    format!("run by {}", shared.id)
                } else {
                    format!("run by{}", running.mark)
                };
                let length = text.len().to_string();
                let crash = matches!(crash_point, Some(CrashPoint::WithinBody)).then_some(body);
                let body = plain_body(running, framing, text, crash);
                let mut res = build_response(&shared, StatusCode::OK, body);
                if framing != Framing::Unframed {
                    http::set_header(&mut res, "content-length", &length);
                }
                res
            }
        }
    };
    if framing == Framing::Unframed {
        *res.version_mut() = Version::HTTP_10;
    }
    let echoed = if behavior == Behavior::WrongRequestId {
        "another"
    } else {
        &request_id
    };
    http::set_header(&mut res, "currantbend-request-id", echoed);
    if behavior != Behavior::OmitsSignature {
        http::set_header(
            &mut res,
            "currantbend-response-seal",
            &format!("{}.1", shared.id),
        );
    }
    Ok(res)
}

/// Sends the body of a response that is no stream in two chunks, or crashes between them under the request with the body
/// in `crash`.
fn plain_body(
    running: RunningGuard,
    framing: Framing,
    text: String,
    crash: Option<Bytes>,
) -> ResponseBody {
    let (tx, body) = http::channel(1);
    running.record(Step::Head {
        first_id: 1,
        last_id: 1,
    });
    running.record(Step::Event(text.clone()));
    let mut text = Bytes::from(text);
    tokio::spawn(async move {
        let rest = text.split_off(text.len() / 2);
        // A reader that disconnected needs neither of them.
        let _ = tx.send(Ok(text)).await;
        if let Some(request_body) = crash {
            // By then the first chunk has left.
            tokio::time::sleep(EVENT_GAP).await;
            running.shared.crash_by(&request_body);
            tx.closed().await;
            return;
        }
        tokio::select! {
            () = running.shared.pause_at(PausePoint::WithinBody) => {}
            () = tx.closed() => return,
        }
        if framing == Framing::Unframed {
            // The server may be killed meanwhile.
            running.shared.work_for(EVENT_GAP).await;
        }
        if tx.send(Ok(rest)).await.is_ok() {
            running.record(Step::Ended);
        }
    });
    body
}

/// Streams the events that follow event number `after`; each names the software version `version` of the server, which
/// crashes after the number of them in `crash` under the request with that body.
fn events(
    running: RunningGuard,
    (behavior, framing): (Behavior, Framing),
    (after, version): (u64, String),
    crash: Option<(u64, Bytes)>,
) -> ResponseBody {
    let (tx, body) = http::channel(1);
    let last_id = running.last_id;
    running.record(Step::Head {
        first_id: after + 1,
        last_id,
    });
    tokio::spawn(async move {
        let shared = &running.shared;
        let delay = *lock(&shared.first_event_delay);
        tokio::time::sleep(delay).await;
        let mut joined = String::new();
        for number in after + 1..=last_id {
            let sent = number - after - 1;
            if shared.is_cut.load(Relaxed) {
                let _ = tx.send(Err(Abort)).await;
                return;
            }
            if let Some((count, request_body)) = &crash
                && *count == sent
            {
                shared.crash_by(request_body);
                // The body must not end before the connection does.
                tx.closed().await;
                return;
            }
            match behavior {
                Behavior::Breaks(max_events) if sent >= max_events => {
                    // A reader that disconnected needs no abort.
                    let _ = tx.send(Err(Abort)).await;
                    return;
                }
                Behavior::Stalls(max_events) if sent >= max_events => {
                    tx.closed().await;
                    return;
                }
                _ => {}
            }
            let (start, rest) = running.event_text(number, &version);
            running.record(Step::Event(format!("{start}{rest}")));
            let chunks = if framing == Framing::HalfEvents {
                vec![
                    (PausePoint::AfterEvents(sent), start),
                    (PausePoint::WithinEvent(sent), rest),
                ]
            } else {
                joined.push_str(&start);
                joined.push_str(&rest);
                if number == last_id || (sent + 1).is_multiple_of(EVENTS_PER_WRITE) {
                    let text = std::mem::take(&mut joined);
                    vec![(PausePoint::AfterEvents(sent), text)]
                } else {
                    Vec::new()
                }
            };
            for (point, chunk) in chunks {
                tokio::select! {
                    () = shared.pause_at(point) => {}
                    () = tx.closed() => return,
                }
                if tx.send(Ok(Bytes::from(chunk))).await.is_err() {
                    return;
                }
            }
            let gap = shared.pace.get().map_or(EVENT_GAP, |pace| pace.event_gap);
            shared.work_for(gap).await;
        }
        running.record(Step::Ended);
    });
    body
}
