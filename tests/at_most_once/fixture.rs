//! Test fixture: the claims of two nodes that share a simulated log and a simulated backend server.

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

/// Maximum time to wait for an expected result or condition.
const MAX_WAIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Fingerprint of all calls except those of [`Fixture::call_with_other_fingerprint`].
const FINGERPRINT: [u8; 32] = [1; 32];

/// Fault of the simulated log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFault {
    None,
    /// Appends and reads fail, and nothing is appended.
    Down,
    /// The record is not appended, and the node gets no response.
    LosesAppends,
    /// The record is appended, but the node gets no response.
    LosesAppendResponses,
    /// As `LosesAppendResponses`, and reads fail.
    LosesAppendResponsesAndReadsFail,
    /// Appends succeed, reads fail.
    ReadsFail,
    /// Appends succeed after 300 ms.
    SlowAppends,
    /// Each record is appended twice.
    AppendsTwice,
}

/// Behaviour of the simulated backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendBehaviour {
    Answers,
    /// Runs the call and answers with a body that is too large to be stored.
    AnswersLargeBody,
    /// Runs the call and answers, but the log fails before the outcome can be recorded.
    AnswersAsLogFails,
    /// Refuses the call without running it.
    Refuses,
    /// Receives the call, but neither runs nor answers it.
    HangsBeforeRun,
    /// Runs the call, but does not answer it.
    HangsAfterRun,
    /// Runs the call, but the connection is lost before the answer.
    LosesAnswer,
    /// Runs the call, but the connection is lost in the middle of the answer.
    TruncatesAnswer,
}

/// Result that a caller gets: `answered`, or the outcome and the reason of the refusal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallResult(String);

impl From<&str> for CallResult {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

struct FakeLog {
    fault: Mutex<LogFault>,
    /// Name, first retained offset and retained records of each stream.
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
            LogFault::SlowAppends => tokio::time::sleep(Duration::from_millis(300)).await,
            _ => {}
        }
        let offset = FakeLog::append(self, stream, data);
        if fault == LogFault::AppendsTwice {
            FakeLog::append(self, stream, data);
        }
        match fault {
            LogFault::LosesAppendResponses | LogFault::LosesAppendResponsesAndReadsFail => {
                Err(lost())
            }
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
            LogFault::Down | LogFault::ReadsFail | LogFault::LosesAppendResponsesAndReadsFail
        ) {
            return Err(ReadError::Unavailable("down".to_owned()));
        }
        let streams = self.streams.lock().unwrap();
        let matching_stream = streams.iter().find(|(name, ..)| name == stream);
        let (first, records) =
            matching_stream.map_or((0, &[][..]), |(_, first, all)| (*first, &all[..]));
        let records_from = records.iter().filter(|record| record.offset >= from);
        Ok(ReadResponse {
            first_retained: first,
            next: first + records.len() as u64,
            records: records_from.take(limit as usize).cloned().collect(),
        })
    }
}

struct FakeRun {
    backend: Arc<Mutex<BackendBehaviour>>,
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
            BackendBehaviour::Refuses => return Err(Refusal::not_run(NotRun::NoBackend)),
            BackendBehaviour::HangsBeforeRun => std::future::pending().await,
            _ => *self.runs.lock().unwrap() += 1,
        }
        match backend {
            BackendBehaviour::HangsAfterRun => std::future::pending().await,
            BackendBehaviour::LosesAnswer => Err(Refusal::unknown(Unknown::ConnectionLost)),
            BackendBehaviour::TruncatesAnswer => Ok(answer(truncated_body())),
            BackendBehaviour::AnswersLargeBody => {
                Ok(answer(full_body(vec![0; 2 * Fixture::MAX_STORED_BYTES])))
            }
            BackendBehaviour::AnswersAsLogFails => {
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

fn truncated_body() -> Body {
    let frames: [Result<Frame<Bytes>, BodyError>; 2] = [
        Ok(Frame::data(Bytes::from_static(b"pa"))),
        Err("connection lost".into()),
    ];
    StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync()
}

/// A node. Shutting down its runtime ends its tasks at once, as if its process were killed.
struct Node {
    runtime: Mutex<Option<Runtime>>,
    at_most_once: Arc<dyn AtMostOnce>,
    claims: Mutex<Option<Claims>>,
}

/// Two nodes, the log and the backend server of one test.
pub struct Fixture {
    log: Arc<FakeLog>,
    backend: Arc<Mutex<BackendBehaviour>>,
    runs: Arc<Mutex<u32>>,
    nodes: Vec<Node>,
}

impl Fixture {
    /// Age above which a key is rejected.
    pub const WINDOW: Duration = Duration::from_mins(1);
    /// Maximum size of an answer's body that the claims store for retries.
    pub const MAX_STORED_BYTES: usize = 1024;

    /// Starts two nodes that report another node's claim without an outcome as `claimer-lost` after `lost_after`.
    pub fn new(lost_after: Duration) -> Self {
        let log = Arc::new(FakeLog {
            fault: Mutex::new(LogFault::None),
            streams: Mutex::default(),
        });
        let nodes = (0..2).map(|number| start_node(number, &log, lost_after));
        Self {
            nodes: nodes.collect(),
            log,
            backend: Arc::new(Mutex::new(BackendBehaviour::Answers)),
            runs: Arc::default(),
        }
    }

    pub fn set_log_fault(&self, fault: LogFault) {
        *self.log.fault.lock().unwrap() = fault;
    }

    pub fn set_backend(&self, backend: BackendBehaviour) {
        *self.backend.lock().unwrap() = backend;
    }

    /// Appends to each stream a record of a newer version, which the nodes don't support.
    pub fn write_newer_records(&self) {
        for shard in 0..Settings::default().shards {
            let stream = format!("claims-{shard}");
            FakeLog::append(&self.log, &stream, r#"{"v":2,"kind":"lease"}"#);
        }
    }

    /// Discards all records of the log, although their keys have not expired yet. Each stream first gets a record, so
    /// that the first retained offset of every stream is above 0.
    pub fn discard_records(&self) {
        for shard in 0..Settings::default().shards {
            let stream = format!("claims-{shard}");
            FakeLog::append(&self.log, &stream, "gone");
        }
        for (_, first, records) in self.log.streams.lock().unwrap().iter_mut() {
            *first += records.len() as u64;
            records.clear();
        }
    }

    /// Returns how many calls the backend server has run.
    pub fn run_count(&self) -> u32 {
        *self.runs.lock().unwrap()
    }

    pub fn new_key(&self) -> IdempotencyKey {
        Uuid::now_v7().to_string().parse().unwrap()
    }

    pub fn key_with_age(&self, age: Duration) -> IdempotencyKey {
        key_issued_at(SystemTime::now() - age)
    }

    pub fn key_from_future(&self, ahead: Duration) -> IdempotencyKey {
        key_issued_at(SystemTime::now() + ahead)
    }

    /// Calls at a node and returns the caller's result.
    pub fn call(&self, node: usize, key: IdempotencyKey) -> CallResult {
        self.call_with_fingerprint(node, key, FINGERPRINT)
    }

    /// Calls with another fingerprint than [`Fixture::call`], like a caller that reuses a key for a different call.
    pub fn call_with_other_fingerprint(&self, node: usize, key: IdempotencyKey) -> CallResult {
        self.call_with_fingerprint(node, key, [2; 32])
    }

    /// Retries the call until its result is `expected` or `MAX_WAIT` has passed, and returns the last result.
    pub fn retry_until(&self, node: usize, key: IdempotencyKey, expected: &str) -> CallResult {
        let deadline = Instant::now() + MAX_WAIT;
        loop {
            let result = self.call(node, key);
            if result == CallResult::from(expected) || Instant::now() >= deadline {
                return result;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Starts a call and waits until it reaches the backend server, but not for its result.
    pub fn start_call(&self, node: usize, key: IdempotencyKey) {
        let run = self.new_run();
        let node = &self.nodes[node];
        let at_most_once = Arc::clone(&node.at_most_once);
        let call = Call {
            key,
            fingerprint: FINGERPRINT,
        };
        let shared_run: Arc<dyn Run> = Arc::clone(&run) as Arc<dyn Run>;
        let runtime = node.runtime.lock().unwrap();
        runtime
            .as_ref()
            .unwrap()
            .spawn(async move { at_most_once.run_once(call, shared_run).await.map(|_| ()) });
        drop(runtime);
        wait_until(|| *run.is_reached.lock().unwrap());
    }

    /// Calls with each key at both nodes at the same time, and retries each call until it is answered.
    pub fn call_at_all_nodes(&self, keys: &[IdempotencyKey]) {
        std::thread::scope(|scope| {
            for node in 0..self.nodes.len() {
                for key in keys {
                    scope.spawn(move || self.retry_until(node, *key, "answered"));
                }
            }
        });
    }

    /// Waits until the log contains the outcome of an answered call.
    pub fn wait_for_recorded_outcome(&self) {
        wait_until(|| self.log_contains("\"answered\""));
    }

    /// Ends a node's tasks at once, as if its process were killed.
    pub fn kill_node(&self, node: usize) {
        let runtime = self.nodes[node].runtime.lock().unwrap().take();
        runtime.unwrap().shutdown_background();
    }

    fn log_contains(&self, text: &str) -> bool {
        let streams = self.log.streams.lock().unwrap();
        let mut records = streams.iter().flat_map(|(_, _, records)| records);
        records.any(|record| record.data.contains(text))
    }

    fn call_with_fingerprint(
        &self,
        node: usize,
        key: IdempotencyKey,
        fingerprint: [u8; 32],
    ) -> CallResult {
        let node = &self.nodes[node];
        let runtime_handle = {
            let runtime = node.runtime.lock().unwrap();
            runtime.as_ref().unwrap().handle().clone()
        };
        let call = Call { key, fingerprint };
        let answer = node.at_most_once.run_once(call, self.new_run());
        let answer =
            runtime_handle.block_on(async { tokio::time::timeout(MAX_WAIT, answer).await });
        match answer.unwrap() {
            Ok(_) => CallResult::from("answered"),
            Err(refusal) => CallResult(format!("{} {}", refusal.outcome(), refusal.reason())),
        }
    }

    fn new_run(&self) -> Arc<FakeRun> {
        Arc::new(FakeRun {
            backend: Arc::clone(&self.backend),
            log: Arc::clone(&self.log),
            runs: Arc::clone(&self.runs),
            is_reached: Mutex::default(),
        })
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        for node in &self.nodes {
            drop(node.claims.lock().unwrap().take());
            if let Some(runtime) = node.runtime.lock().unwrap().take() {
                runtime.shutdown_background();
            }
        }
    }
}

fn start_node(number: usize, log: &Arc<FakeLog>, lost_after: Duration) -> Node {
    let runtime = Runtime::new().unwrap();
    let name = format!("n{number}");
    let settings = Settings {
        window: Fixture::WINDOW,
        claim_timeout: Duration::from_millis(800),
        commit_interval: Duration::from_millis(5),
        lost_after,
        max_stored_bytes: Fixture::MAX_STORED_BYTES,
        ..Settings::default()
    };
    let timeline_settings = timeline::Settings {
        level: slog::Level::Critical,
        max_drift: timeline::Settings::DEFAULT_MAX_DRIFT,
    };
    let timeline = Arc::new(Timeline::start(&name, &timeline_settings));
    let log = Arc::clone(log);
    let claims = runtime.block_on(async { Claims::start(&name, &settings, log, timeline) });
    Node {
        at_most_once: claims.handle(),
        runtime: Mutex::new(Some(runtime)),
        claims: Mutex::new(Some(claims)),
    }
}

fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + MAX_WAIT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "the condition was not met in time"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Creates a key that a caller would have generated at `time`.
fn key_issued_at(time: SystemTime) -> IdempotencyKey {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap();
    let time = Timestamp::from_unix(NoContext, since_epoch.as_secs(), since_epoch.subsec_nanos());
    Uuid::new_v7(time).to_string().parse().unwrap()
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}
