//! A replica as the pages describe it: it runs `slots` requests at once, lets a few more wait, and says of those that it
//! rejects that it has not run them.

use crate::http;
use crate::http::Head;
use crate::record::Record;
use crate::store::Store;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Interval at which replicas report to the store.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Number of intervals of silence after which the platform removes an entry.
pub const SILENT_INTERVALS: u32 = 3;

/// What a replica is.
#[derive(Clone, Debug)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Number of requests that may wait.
    pub queue: u32,
    /// Time that a request takes.
    pub work: Duration,
}

/// In what way a replica is brittle.
#[derive(Clone, Copy, Debug)]
pub struct Brittle {
    /// Rejections in a second that it bears; it says so in its answers.
    pub rejections: usize,
    /// Number of requests that may wait once `since` is `delay` ago.
    pub queue: u32,
    pub since: Instant,
    pub delay: Duration,
    /// Time for which it is away after it fell over.
    pub down: Duration,
}

pub struct Shared {
    pub plan: Plan,
    address: SocketAddr,
    slots: Semaphore,
    running: AtomicU32,
    waiting: AtomicU32,
    sequence: AtomicU64,
    born: AtomicU64,
    pub brittle: Mutex<Option<Brittle>>,
    rejected_at: Mutex<VecDeque<Instant>>,
    /// Times at which it fell over.
    pub falls: Mutex<Vec<Instant>>,
    pub ran: AtomicU64,
    /// Ids of the requests that it began to run.
    pub begun: Mutex<HashSet<String>>,
    pub lost: AtomicU64,
    pub rejected: AtomicU64,
    falls_over: Notify,
    /// Bytes a second at which it reads a request's body; 0 reads at once.
    pub read_rate: AtomicU64,
    record: Record,
    store: Arc<Store>,
}

/// A running replica.
pub struct Replica {
    pub shared: Arc<Shared>,
    _task: Task,
}

struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Counts down when it is dropped.
struct Count<'a>(&'a AtomicU32);

impl<'a> Count<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Relaxed);
        Self(count)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// Records a request that was running when its replica fell over or its connection closed.
struct RunGuard<'a> {
    shared: &'a Shared,
    request_id: &'a str,
    has_ended: bool,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.shared.lost.fetch_add(1, Relaxed);
            self.shared.record.add(&format!(
                "{} broke off {}",
                self.shared.plan.id, self.request_id
            ));
        }
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

impl Replica {
    /// Starts a replica, which registers itself in `store`.
    pub async fn start(
        plan: Plan,
        host: std::net::IpAddr,
        store: &Arc<Store>,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::new(host, 0)).await?;
        let shared = Arc::new(Shared {
            slots: Semaphore::new(plan.slots as usize),
            address: listener.local_addr()?,
            plan,
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            sequence: AtomicU64::new(0),
            born: AtomicU64::new(now_ms()),
            brittle: Mutex::default(),
            rejected_at: Mutex::default(),
            falls: Mutex::default(),
            ran: AtomicU64::new(0),
            begun: Mutex::default(),
            lost: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
            falls_over: Notify::new(),
            read_rate: AtomicU64::new(0),
            record: record.clone(),
            store: Arc::clone(store),
        });
        shared.report();
        let task = tokio::spawn(run(Arc::clone(&shared), listener));
        Ok(Self {
            shared,
            _task: Task(task),
        })
    }
}

impl Shared {
    fn report(&self) {
        let entry = serde_json::json!({
            "service": self.plan.service, "address": self.address, "zone": self.plan.zone, "version": "v1",
            "slots": self.plan.slots, "state": "ready", "cold-left-ms": 0,
            "seq": self.sequence.fetch_add(1, Relaxed) + 1, "born": self.born.load(Relaxed),
        });
        let entry = entry.to_string();
        self.store
            .put("keyed.servers", &self.plan.id, Some(entry.as_bytes()));
    }

    /// Returns how many requests may wait now.
    fn queue(&self) -> u32 {
        let brittle = *lock(&self.brittle);
        let brittle = brittle.filter(|brittle| brittle.since.elapsed() > brittle.delay);
        brittle.map_or(self.plan.queue, |brittle| brittle.queue)
    }

    /// Notes a rejection; a brittle replica that rejects too many falls over.
    fn note_rejection(&self) {
        self.rejected.fetch_add(1, Relaxed);
        let Some(brittle) = *lock(&self.brittle) else {
            return;
        };
        let now = Instant::now();
        let mut rejected = lock(&self.rejected_at);
        rejected.push_back(now);
        while rejected
            .front()
            .is_some_and(|at| now.duration_since(*at) > Duration::from_secs(1))
        {
            rejected.pop_front();
        }
        if brittle.since.elapsed() > brittle.delay && rejected.len() > brittle.rejections {
            rejected.clear();
            lock(&self.falls).push(now);
            self.falls_over.notify_one();
        }
    }

    fn headers(&self, request_id: &str) -> String {
        let brittle = lock(&self.brittle).map_or_else(String::new, |brittle| {
            format!("server-brittle: {}\r\n", brittle.rejections)
        });
        format!(
            "currantbend-request-id: {request_id}\r\ncurrantbend-server-load: {},{},{}\r\nkeep-alive: timeout=10\r\n{brittle}",
            self.running.load(Relaxed),
            self.waiting.load(Relaxed),
            self.plan.slots
        )
    }
}

async fn run(shared: Arc<Shared>, mut listener: TcpListener) {
    loop {
        let mut connections = JoinSet::new();
        let mut heartbeat = tokio::time::interval(HEARTBEAT);
        let mut reported_at = tokio::time::Instant::now();
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    let _ = stream.set_nodelay(true);
                    connections.spawn(serve(Arc::clone(&shared), BufReader::new(stream)));
                },
                at = heartbeat.tick() => {
                    shared.report();
                    reported_at = at;
                }
                Some(_) = connections.join_next() => {}
                () = shared.falls_over.notified() => break,
            }
        }
        let down = lock(&shared.brittle).map_or(Duration::from_secs(3), |brittle| brittle.down);
        shared.record.add(&format!("{} falls over", shared.plan.id));
        drop(listener);
        connections.shutdown().await;
        let until = tokio::time::Instant::now() + down;
        let lapses_at = reported_at + HEARTBEAT * SILENT_INTERVALS;
        if lapses_at < until {
            tokio::time::sleep_until(lapses_at).await;
            shared.store.put("keyed.servers", &shared.plan.id, None);
        }
        tokio::time::sleep_until(until).await;
        listener = loop {
            match TcpListener::bind(shared.address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        };
        shared.born.store(now_ms(), Relaxed);
        shared.sequence.store(0, Relaxed);
        shared.record.add(&format!("{} is back", shared.plan.id));
    }
}

async fn serve(shared: Arc<Shared>, mut stream: BufReader<TcpStream>) {
    while let Ok(Ok(Some(head))) = timeout(http::IDLE_TIMEOUT, http::read_head(&mut stream)).await {
        if answer(&shared, &mut stream, &head).await.is_err() {
            return;
        }
    }
}

async fn answer(
    shared: &Shared,
    stream: &mut BufReader<TcpStream>,
    head: &Head,
) -> std::io::Result<()> {
    let request_body = match shared.read_rate.load(Relaxed) {
        0 => http::read_body(stream, head, false).await?,
        rate => http::read_body_slowly(stream, head, rate).await?,
    };
    let id = &shared.plan.id;
    let request_id = head.get("currantbend-request-id").unwrap_or_default();
    let expected = head.get("currantbend-expect-instance");
    if expected.is_some_and(|expected| expected != id) {
        let text = format!(
            "HTTP/1.1 421 Misdirected Request\r\n{}currantbend-not-run: 1\r\ncontent-length: 0\r\n\r\n",
            shared.headers(request_id)
        );
        return http::write(stream, text.as_bytes()).await;
    }
    let is_full =
        shared.slots.available_permits() == 0 && shared.waiting.load(Relaxed) >= shared.queue();
    if is_full {
        shared.record.add(&format!("{id} rejects {request_id}"));
        let text = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{}currantbend-not-run: 1\r\ncontent-length: 0\r\n\r\n",
            shared.headers(request_id)
        );
        let written = http::write(stream, text.as_bytes()).await;
        shared.note_rejection();
        return written;
    }
    let permit = {
        let _waiting = Count::new(&shared.waiting);
        shared
            .slots
            .acquire()
            .await
            .map_err(std::io::Error::other)?
    };
    let body = {
        let _running = Count::new(&shared.running);
        shared.record.add(&format!("{id} runs {request_id}"));
        lock(&shared.begun).insert(request_id.to_owned());
        let mut guard = RunGuard {
            shared,
            request_id,
            has_ended: false,
        };
        tokio::time::sleep(shared.plan.work).await;
        guard.has_ended = true;
        shared.ran.fetch_add(1, Relaxed);
        format!("{id} ran {request_id}, {} bytes", request_body.len())
    };
    drop(permit);
    let text = format!(
        "HTTP/1.1 200 OK\r\n{}currantbend-response-seal: seal.{request_id}\r\ncontent-length: {}\r\n\r\n{body}",
        shared.headers(request_id),
        body.len()
    );
    http::write(stream, text.as_bytes()).await
}
