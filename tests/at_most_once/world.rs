//! Two nodes' claims over one fake log and one fake backend server.

use async_trait::async_trait;
use currantbend::border::AppendError;
use currantbend::border::LogService;
use currantbend::border::ReadError;
use currantbend::border::generated::platform::LogRecord;
use currantbend::border::generated::platform::ReadResponse;
use currantbend::claims::AtMostOnce;
use currantbend::claims::Call;
use currantbend::claims::Claims;
use currantbend::claims::IdempotencyKey;
use currantbend::claims::Run;
use currantbend::claims::Settings;
use currantbend::net::Body;
use currantbend::net::BodyError;
use currantbend::net::full_body;
use currantbend::outcome::NotRun;
use currantbend::outcome::Refusal;
use currantbend::outcome::Unknown;
use currantbend::owner::Answer;
use currantbend::timeline;
use currantbend::timeline::Timeline;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Bytes;
use hyper::body::Frame;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::runtime::Runtime;
use uuid::NoContext;
use uuid::Timestamp;
use uuid::Uuid;

/// Longest wait for anything that must come.
const WITHIN: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(10);
const PRINT: [u8; 32] = [1; 32];

/// How the log fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFault {
    None,
    Down,
    LosesAppends,
    LosesAnswers,
    LosesAnswersUnreadable,
    Unreadable,
    Slow,
    AppendsTwice,
}

/// What the backend server does with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Backend {
    Answers,
    AnswersMuch,
    AnswersAsLogFails,
    Refuses,
    HangsBefore,
    HangsAfter,
    LosesAnswer,
    CutsAnswer,
}

/// What a caller got.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seen(String);

impl From<&str> for Seen {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

struct FakeLog {
    fault: Mutex<LogFault>,
    /// Streams with their first retained offset.
    streams: Mutex<Vec<(String, u64, Vec<LogRecord>)>>,
}

impl FakeLog {
    fn append(&self, stream: &str, data: &str) -> u64 {
        let mut streams = self.streams.lock().unwrap();
        if !streams.iter().any(|(name, ..)| name == stream) {
            streams.push((stream.to_owned(), 0, Vec::new()));
        }
        let (_, first, records) = streams
            .iter_mut()
            .find(|(name, ..)| name == stream)
            .unwrap();
        let offset = *first + records.len() as u64;
        let data = data.to_owned();
        let time_ms = now_ms();
        records.push(LogRecord {
            data,
            offset,
            time_ms,
        });
        offset
    }
}

#[async_trait]
impl LogService for FakeLog {
    async fn append(&self, stream: &str, data: &str) -> Result<u64, AppendError> {
        let fault = *self.fault.lock().unwrap();
        let lost = || AppendError::Unsettled("lost".to_owned());
        match fault {
            LogFault::Down => return Err(AppendError::NotAppended("down".to_owned())),
            LogFault::LosesAppends => return Err(lost()),
            LogFault::Slow => tokio::time::sleep(Duration::from_millis(300)).await,
            _ => {}
        }
        let offset = FakeLog::append(self, stream, data);
        if fault == LogFault::AppendsTwice {
            FakeLog::append(self, stream, data);
        }
        match fault {
            LogFault::LosesAnswers | LogFault::LosesAnswersUnreadable => Err(lost()),
            _ => Ok(offset),
        }
    }

    async fn read(
        &self,
        stream: &str,
        from: u64,
        limit: u32,
        _wait: Duration,
    ) -> Result<ReadResponse, ReadError> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        let fault = *self.fault.lock().unwrap();
        if matches!(
            fault,
            LogFault::Down | LogFault::Unreadable | LogFault::LosesAnswersUnreadable
        ) {
            return Err(ReadError::Unavailable("down".to_owned()));
        }
        let streams = self.streams.lock().unwrap();
        let found = streams.iter().find(|(name, ..)| name == stream);
        let (first, records) = found.map_or((0, &[][..]), |(_, first, all)| (*first, &all[..]));
        let wanted = records.iter().filter(|record| record.offset >= from);
        Ok(ReadResponse {
            first_retained: first,
            next: first + records.len() as u64,
            records: wanted.take(limit as usize).cloned().collect(),
        })
    }
}

struct FakeRun {
    backend: Arc<Mutex<Backend>>,
    log: Arc<FakeLog>,
    runs: Arc<Mutex<u32>>,
    is_reached: Mutex<bool>,
}

#[async_trait]
impl Run for FakeRun {
    async fn run(&self) -> Result<Answer, Refusal> {
        *self.is_reached.lock().unwrap() = true;
        let backend = *self.backend.lock().unwrap();
        match backend {
            Backend::Refuses => return Err(Refusal::not_run(NotRun::NoBackend)),
            Backend::HangsBefore => std::future::pending().await,
            _ => *self.runs.lock().unwrap() += 1,
        }
        match backend {
            Backend::HangsAfter => std::future::pending().await,
            Backend::LosesAnswer => Err(Refusal::unknown(Unknown::ConnectionLost)),
            Backend::CutsAnswer => Ok(answer(cut_body())),
            Backend::AnswersMuch => Ok(answer(full_body(vec![0; 2 * World::MAX_STORED]))),
            Backend::AnswersAsLogFails => {
                *self.log.fault.lock().unwrap() = LogFault::Down;
                Ok(answer(full_body("paid")))
            }
            _ => Ok(answer(full_body("paid"))),
        }
    }
}

fn answer(body: Body) -> Answer {
    Answer {
        status: 200,
        content_type: None,
        load: 0,
        hint: None,
        body,
    }
}

fn cut_body() -> Body {
    let frames: [Result<Frame<Bytes>, BodyError>; 2] = [
        Ok(Frame::data(Bytes::from_static(b"pa"))),
        Err("cut".into()),
    ];
    StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync()
}

/// A node; its tasks end with its runtime, as those of a killed process.
struct Node {
    runtime: Mutex<Option<Runtime>>,
    once: Arc<dyn AtMostOnce>,
    claims: Mutex<Option<Claims>>,
}

/// Everything of one test.
pub struct World {
    log: Arc<FakeLog>,
    backend: Arc<Mutex<Backend>>,
    runs: Arc<Mutex<u32>>,
    nodes: Vec<Node>,
}

impl World {
    pub const WINDOW: Duration = Duration::from_mins(1);
    pub const MAX_STORED: usize = 1024;

    /// Makes a world in which a claim without an outcome is taken for lost after `lost_after`.
    pub fn new(lost_after: Duration) -> Self {
        let log = Arc::new(FakeLog {
            fault: Mutex::new(LogFault::None),
            streams: Mutex::default(),
        });
        let nodes = (0..2).map(|number| start(number, &log, lost_after));
        Self {
            nodes: nodes.collect(),
            log,
            backend: Arc::new(Mutex::new(Backend::Answers)),
            runs: Arc::default(),
        }
    }

    pub fn set_log(&self, fault: LogFault) {
        *self.log.fault.lock().unwrap() = fault;
    }

    pub fn set_backend(&self, backend: Backend) {
        *self.backend.lock().unwrap() = backend;
    }

    /// Puts a record into each stream that this version does not understand.
    pub fn write_newer_records(&self) {
        for shard in 0..Settings::default().shards {
            let stream = format!("claims-{shard}");
            FakeLog::append(&self.log, &stream, r#"{"v":2,"kind":"lease"}"#);
        }
    }

    /// Lets the log forget records that are younger than the window.
    pub fn forget_records(&self) {
        for shard in 0..Settings::default().shards {
            let stream = format!("claims-{shard}");
            FakeLog::append(&self.log, &stream, "gone");
        }
        for (_, first, records) in self.log.streams.lock().unwrap().iter_mut() {
            *first += records.len() as u64;
            records.clear();
        }
    }

    pub fn runs(&self) -> u32 {
        *self.runs.lock().unwrap()
    }

    pub fn key(&self) -> IdempotencyKey {
        Uuid::now_v7().to_string().parse().unwrap()
    }

    pub fn key_before(&self, by: Duration) -> IdempotencyKey {
        key_at(SystemTime::now() - by)
    }

    pub fn key_after(&self, by: Duration) -> IdempotencyKey {
        key_at(SystemTime::now() + by)
    }

    /// Calls at a node and waits for what the caller gets.
    pub fn call(&self, node: usize, key: IdempotencyKey) -> Seen {
        self.call_as(node, key, PRINT)
    }

    /// Calls with the key of another call.
    pub fn call_other(&self, node: usize, key: IdempotencyKey) -> Seen {
        self.call_as(node, key, [2; 32])
    }

    /// Calls again until the caller gets what is expected, or for as long as it must have come by then.
    pub fn repeat(&self, node: usize, key: IdempotencyKey, expected: &str) -> Seen {
        let until = Instant::now() + WITHIN;
        loop {
            let seen = self.call(node, key);
            if seen == Seen::from(expected) || Instant::now() >= until {
                return seen;
            }
            std::thread::sleep(PAUSE);
        }
    }

    /// Begins a call, and waits until it has come to the backend server.
    pub fn begin(&self, node: usize, key: IdempotencyKey) {
        let run = self.run();
        let node = &self.nodes[node];
        let once = Arc::clone(&node.once);
        let call = Call {
            key,
            fingerprint: PRINT,
        };
        let handle: Arc<dyn Run> = Arc::clone(&run) as Arc<dyn Run>;
        let runtime = node.runtime.lock().unwrap();
        runtime
            .as_ref()
            .unwrap()
            .spawn(async move { once.run_once(call, handle).await.map(|_| ()) });
        drop(runtime);
        wait_until(|| *run.is_reached.lock().unwrap());
    }

    /// Calls with each key at both nodes at the same time.
    pub fn call_everywhere(&self, keys: &[IdempotencyKey]) {
        std::thread::scope(|scope| {
            for node in 0..self.nodes.len() {
                for key in keys {
                    scope.spawn(move || self.repeat(node, *key, "answered"));
                }
            }
        });
    }

    /// Waits until outcomes are in the log.
    pub fn wait_settled(&self) {
        wait_until(|| self.log_holds("\"answered\""));
    }

    /// Ends a node's tasks at once.
    pub fn kill(&self, node: usize) {
        let runtime = self.nodes[node].runtime.lock().unwrap().take();
        runtime.unwrap().shutdown_background();
    }

    fn log_holds(&self, text: &str) -> bool {
        let streams = self.log.streams.lock().unwrap();
        let mut records = streams.iter().flat_map(|(_, _, records)| records);
        records.any(|record| record.data.contains(text))
    }

    fn call_as(&self, node: usize, key: IdempotencyKey, fingerprint: [u8; 32]) -> Seen {
        let node = &self.nodes[node];
        let handle = {
            let runtime = node.runtime.lock().unwrap();
            runtime.as_ref().unwrap().handle().clone()
        };
        let call = Call { key, fingerprint };
        let answer = node.once.run_once(call, self.run());
        let answer = handle.block_on(async { tokio::time::timeout(WITHIN, answer).await });
        match answer.unwrap() {
            Ok(_) => Seen::from("answered"),
            Err(refusal) => Seen(format!("{} {}", refusal.outcome(), refusal.reason())),
        }
    }

    fn run(&self) -> Arc<FakeRun> {
        Arc::new(FakeRun {
            backend: Arc::clone(&self.backend),
            log: Arc::clone(&self.log),
            runs: Arc::clone(&self.runs),
            is_reached: Mutex::default(),
        })
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for node in &self.nodes {
            drop(node.claims.lock().unwrap().take());
            if let Some(runtime) = node.runtime.lock().unwrap().take() {
                runtime.shutdown_background();
            }
        }
    }
}

fn start(number: usize, log: &Arc<FakeLog>, lost_after: Duration) -> Node {
    let runtime = Runtime::new().unwrap();
    let name = format!("n{number}");
    let settings = Settings {
        window: World::WINDOW,
        claim_timeout: Duration::from_millis(800),
        commit_interval: Duration::from_millis(5),
        lost_after,
        max_stored_bytes: World::MAX_STORED,
        ..Settings::default()
    };
    let quiet = timeline::Settings {
        level: slog::Level::Critical,
        max_drift: timeline::Settings::DEFAULT_MAX_DRIFT,
    };
    let timeline = Arc::new(Timeline::start(&name, &quiet));
    let log = Arc::clone(log);
    let claims = runtime.block_on(async { Claims::start(&name, &settings, log, timeline) });
    Node {
        once: claims.handle(),
        runtime: Mutex::new(Some(runtime)),
        claims: Mutex::new(Some(claims)),
    }
}

fn wait_until(is_so: impl Fn() -> bool) {
    let until = Instant::now() + WITHIN;
    while !is_so() {
        assert!(Instant::now() < until, "it did not come in time");
        std::thread::sleep(PAUSE);
    }
}

fn key_at(time: SystemTime) -> IdempotencyKey {
    let since = time.duration_since(UNIX_EPOCH).unwrap();
    let time = Timestamp::from_unix(NoContext, since.as_secs(), since.subsec_nanos());
    Uuid::new_v7(time).to_string().parse().unwrap()
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}
