//! The platform's log service: streams in memory, with a rate limit, retention and faults.

use futures_util::future::BoxFuture;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::sync::watch;

use crate::http;
use crate::http::Abort;
use crate::http::HandlerResult;
use crate::http::ResponseBody;
use crate::http::Server;
use crate::standin::faults::ExtraDelay;
use crate::standin::faults::FaultRate;
use crate::truth::lock;
use crate::wire::platform::AppendRequest;
use crate::wire::platform::AppendResponse;
use crate::wire::platform::LogRecord;
use crate::wire::platform::ReadResponse;

/// Records of one read where the reader sets no limit.
const DEFAULT_LIMIT: u64 = 1000;

/// Options of the log service.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// Appends that are taken in each second over all streams.
    pub appends_per_second: u32,
    /// How long a record stays readable.
    pub retention: Duration,
}

impl Default for LogOptions {
    fn default() -> LogOptions {
        LogOptions {
            appends_per_second: 300,
            retention: Duration::from_secs(24 * 3600),
        }
    }
}

/// Faults of the log service.
#[derive(Debug, Default)]
pub struct LogFaults {
    down: AtomicBool,
    delay: ExtraDelay,
    lost_responses: FaultRate,
}

impl LogFaults {
    /// Answers 503 to everything while set.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Relaxed);
    }

    /// Delays each answer.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.set(delay);
    }

    /// Loses the answers of so many of a thousand appends, after the record is in.
    pub fn set_lost_responses(&self, permille: u32) {
        self.lost_responses.set(permille);
    }
}

/// The running log service.
#[derive(Debug)]
pub struct LogService {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    opts: LogOptions,
    faults: LogFaults,
    /// Sorted by name.
    streams: Mutex<Vec<(String, Stream)>>,
    bucket: Mutex<Bucket>,
    /// Appends so far; wakes waiting readers.
    appends: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: VecDeque<(Instant, LogRecord)>,
}

/// A token bucket that holds at most one second's appends.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled: Instant,
}

impl LogService {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Where the address can't be bound.
    pub async fn start(listen: SocketAddr, opts: LogOptions) -> io::Result<LogService> {
        let shared = Arc::new(Shared {
            bucket: Mutex::new(Bucket {
                tokens: f64::from(opts.appends_per_second),
                filled: Instant::now(),
            }),
            opts,
            faults: LogFaults::default(),
            streams: Mutex::new(Vec::new()),
            appends: watch::channel(0).0,
        });
        let handling = shared.clone();
        let handler = Arc::new(move |req| -> BoxFuture<'static, HandlerResult> {
            Box::pin(handling.clone().handle(req))
        });
        let server = Server::start(listen, handler).await?;
        Ok(LogService { server, shared })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its faults, to be set while it runs.
    pub fn faults(&self) -> &LogFaults {
        &self.shared.faults
    }

    /// Appends a record past the rate limit and the faults; gives its offset.
    pub fn append(&self, stream: &str, data: &str) -> u64 {
        self.shared.append(stream, data.to_owned())
    }

    /// The retained records of a stream with their offsets.
    pub fn records(&self, stream: &str) -> Vec<(u64, String)> {
        let read = self.shared.read(stream, 0, u64::MAX);
        let records = read.records.into_iter();
        records.map(|record| (record.offset, record.data)).collect()
    }

    /// Number of records appended so far, over all streams.
    pub fn appends(&self) -> u64 {
        *self.shared.appends.borrow()
    }

    /// Stops it at once.
    pub async fn close(self) {
        self.server.abort().await;
    }
}

impl Shared {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerResult {
        self.faults.delay.wait().await;
        if self.faults.down.load(Relaxed) {
            return Ok(http::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let path = req.uri().path().to_owned();
        let stream = path
            .strip_prefix("/streams/")
            .and_then(|rest| rest.strip_suffix("/records"));
        match (req.method(), stream) {
            (&Method::POST, Some(stream)) => self.serve_append(stream, req.into_body()).await,
            (&Method::GET, Some(stream)) => Ok(self.serve_read(stream, req.uri().query()).await),
            _ => Ok(http::empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn serve_append(&self, stream: &str, body: Incoming) -> HandlerResult {
        let Ok(req) = http::read_json::<AppendRequest>(body).await else {
            return Ok(http::empty(StatusCode::BAD_REQUEST));
        };
        if !self.take_token() {
            return Ok(http::empty(StatusCode::TOO_MANY_REQUESTS));
        }
        let offset = self.append(stream, req.data);
        if self.faults.lost_responses.next_is_hit() {
            return Err(Abort);
        }
        Ok(http::json(StatusCode::OK, &AppendResponse { offset }))
    }

    async fn serve_read(&self, stream: &str, query: Option<&str>) -> Response<ResponseBody> {
        let from = http::query_number(query, "from").unwrap_or(0);
        let limit = http::query_number(query, "limit").unwrap_or(DEFAULT_LIMIT);
        let wait = http::query_number(query, "wait_ms").unwrap_or(0);
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait);
        let mut appends = self.appends.subscribe();
        loop {
            appends.borrow_and_update();
            let read = self.read(stream, from, limit);
            if !read.records.is_empty() || tokio::time::Instant::now() >= deadline {
                return http::json(StatusCode::OK, &read);
            }
            let _ = tokio::time::timeout_at(deadline, appends.changed()).await;
        }
    }

    fn take_token(&self) -> bool {
        let rate = f64::from(self.opts.appends_per_second);
        let mut bucket = lock(&self.bucket);
        let now = Instant::now();
        let gained = now.duration_since(bucket.filled).as_secs_f64() * rate;
        bucket.filled = now;
        bucket.tokens = (bucket.tokens + gained).min(rate);
        let enough = bucket.tokens >= 1.0;
        if enough {
            bucket.tokens -= 1.0;
        }
        enough
    }

    fn append(&self, name: &str, data: String) -> u64 {
        let mut streams = lock(&self.streams);
        let stream = stream_of(&mut streams, name);
        let offset = stream.next();
        let record = LogRecord {
            data,
            offset,
            time_ms: now_ms(),
        };
        stream.records.push_back((Instant::now(), record));
        stream.prune(self.opts.retention);
        self.appends.send_modify(|n| *n += 1);
        offset
    }

    fn read(&self, name: &str, from: u64, limit: u64) -> ReadResponse {
        let mut streams = lock(&self.streams);
        let stream = stream_of(&mut streams, name);
        stream.prune(self.opts.retention);
        let skipped = from.saturating_sub(stream.first);
        let records = stream
            .records
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
            .take(usize::try_from(limit).unwrap_or(usize::MAX))
            .map(|(_, record)| record.clone());
        ReadResponse {
            first_retained: stream.first,
            next: stream.next(),
            records: records.collect(),
        }
    }
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn prune(&mut self, retention: Duration) {
        while self
            .records
            .front()
            .is_some_and(|(at, _)| at.elapsed() > retention)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

fn stream_of<'a>(streams: &'a mut Vec<(String, Stream)>, name: &str) -> &'a mut Stream {
    let found = streams.binary_search_by(|(other, _)| other.as_str().cmp(name));
    let i = found.unwrap_or_else(|i| {
        streams.insert(i, (name.to_owned(), Stream::default()));
        i
    });
    &mut streams[i].1
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
