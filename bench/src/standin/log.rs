//! The platform's log service: in-memory streams with a rate limit, a retention time and faults.

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

/// Maximum number of records of one read if the reader sets no limit.
const DEFAULT_READ_LIMIT: u64 = 1000;

/// Options of the log service.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// Appends accepted per second, over all streams.
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
    /// Sets whether all requests are refused with status 503.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Relaxed);
    }

    /// Delays the handling of each request, and so its response.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.set(delay);
    }

    /// Aborts the connection instead of responding to this number of appends in a thousand, after the record is
    /// written.
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
    /// Number of appends so far; a change wakes the waiting readers.
    appends: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Stream {
    first_offset: u64,
    records: VecDeque<(Instant, LogRecord)>,
}

/// A token bucket that holds at most the appends of one second.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

impl LogService {
    /// Starts the service on the address `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(listen: SocketAddr, opts: LogOptions) -> io::Result<LogService> {
        let shared = Arc::new(Shared {
            bucket: Mutex::new(Bucket {
                tokens: f64::from(opts.appends_per_second),
                refilled_at: Instant::now(),
            }),
            opts,
            faults: LogFaults::default(),
            streams: Mutex::new(Vec::new()),
            appends: watch::channel(0).0,
        });
        let handler_shared = shared.clone();
        let handler = Arc::new(move |req| -> BoxFuture<'static, HandlerResult> {
            Box::pin(handler_shared.clone().handle(req))
        });
        let server = Server::start(listen, handler).await?;
        Ok(LogService { server, shared })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns its fault settings, which can be changed while it runs.
    pub fn faults(&self) -> &LogFaults {
        &self.shared.faults
    }

    /// Appends a record, exempt from the rate limit and the faults; returns its offset.
    pub fn append(&self, stream: &str, data: &str) -> u64 {
        self.shared.append(stream, data.to_owned())
    }

    /// Returns the retained records of a stream with their offsets.
    pub fn records(&self, stream: &str) -> Vec<(u64, String)> {
        let read = self.shared.read(stream, 0, u64::MAX);
        let records = read.records.into_iter();
        records.map(|record| (record.offset, record.data)).collect()
    }

    /// Returns the number of records appended so far, over all streams.
    pub fn appends(&self) -> u64 {
        *self.shared.appends.borrow()
    }

    /// Stops at once and aborts all connections.
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
        if !self.try_take_token() {
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
        let limit = http::query_number(query, "limit").unwrap_or(DEFAULT_READ_LIMIT);
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

    fn try_take_token(&self) -> bool {
        let rate = f64::from(self.opts.appends_per_second);
        let mut bucket = lock(&self.bucket);
        let now = Instant::now();
        let added_tokens = now.duration_since(bucket.refilled_at).as_secs_f64() * rate;
        bucket.refilled_at = now;
        bucket.tokens = (bucket.tokens + added_tokens).min(rate);
        let has_token = bucket.tokens >= 1.0;
        if has_token {
            bucket.tokens -= 1.0;
        }
        has_token
    }

    fn append(&self, name: &str, data: String) -> u64 {
        let mut streams = lock(&self.streams);
        let stream = get_or_create_stream(&mut streams, name);
        let offset = stream.next_offset();
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
        let stream = get_or_create_stream(&mut streams, name);
        stream.prune(self.opts.retention);
        let skipped = from.saturating_sub(stream.first_offset);
        let records = stream
            .records
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
            .take(usize::try_from(limit).unwrap_or(usize::MAX))
            .map(|(_, record)| record.clone());
        ReadResponse {
            first_retained: stream.first_offset,
            next: stream.next_offset(),
            records: records.collect(),
        }
    }
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn prune(&mut self, retention: Duration) {
        while self
            .records
            .front()
            .is_some_and(|(at, _)| at.elapsed() > retention)
        {
            self.records.pop_front();
            self.first_offset += 1;
        }
    }
}

fn get_or_create_stream<'a>(streams: &'a mut Vec<(String, Stream)>, name: &str) -> &'a mut Stream {
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
