//! A model engine: chat completions over a prefix cache, with load reports, cache events, orders and faults.

mod shared;

use crate::http::HandlerResult;
use crate::http::Server;
pub(super) use crate::standin::engine::shared::Shared;
use crate::standin::faults::FaultRate;
pub use crate::standin::group::EngineGroup;
use crate::standin::orders::OrderRecord;
use crate::standin::weights::WeightStore;
use crate::truth::Truth;
use crate::truth::lock;
use crate::wire::backend::EngineState;
use futures_util::future::BoxFuture;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;
use tokio::task::JoinHandle;

/// How often kept answers are looked through.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the engine.
    pub name: String,
    /// The service, which is the model's name.
    pub service: String,
    /// Size of the prefix cache.
    pub cache_tokens: u64,
    /// Most requests that run at a time.
    pub max_batch: u32,
    /// Rate at which uncached prompt tokens are taken in.
    pub prefill_tokens_per_second: u32,
    /// Time of one answer token in an empty batch, in milliseconds.
    pub token_ms: u64,
    /// How far load reports are behind.
    pub load_lag: Duration,
    /// How far cache events are behind.
    pub event_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Where models are loaded from; without one a load takes no time.
    pub weights: Option<Arc<WeightStore>>,
}

impl Default for EngineOptions {
    fn default() -> EngineOptions {
        EngineOptions {
            name: "engine".to_owned(),
            service: "model".to_owned(),
            cache_tokens: 400_000,
            max_batch: 16,
            prefill_tokens_per_second: 20_000,
            token_ms: 5,
            load_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(500),
            checks_fencing: true,
            weights: None,
        }
    }
}

/// Faults of an engine, each for so many of a thousand requests.
#[derive(Debug)]
pub struct EngineFaults {
    crossed: FaultRate,
    truncated: FaultRate,
    late: FaultRate,
    late_ms: AtomicU64,
}

impl EngineFaults {
    /// Answers with another request's id and content.
    pub fn set_crossed(&self, permille: u32) {
        self.crossed.set(permille);
    }

    /// Aborts the connection in the middle of the answer; a streamed answer goes on and may be resumed.
    pub fn set_truncated(&self, permille: u32) {
        self.truncated.set(permille);
    }

    /// Begins the answer late.
    pub fn set_late(&self, permille: u32) {
        self.late.set(permille);
    }

    /// Sets by how much late answers are late.
    pub fn set_late_by(&self, by: Duration) {
        self.late_ms.store(by.as_millis() as u64, Relaxed);
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
    sweeper: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine that joins `group` and writes what it does to `truth`.
    ///
    /// # Errors
    ///
    /// Where the address can't be bound.
    pub async fn start(
        listen: SocketAddr,
        opts: EngineOptions,
        truth: Arc<Truth>,
        group: Arc<EngineGroup>,
    ) -> io::Result<Engine> {
        let shared = Arc::new(Shared::new(opts, truth, group));
        let handling = shared.clone();
        let handler = Arc::new(move |req| -> BoxFuture<'static, HandlerResult> {
            Box::pin(handling.clone().handle(req))
        });
        let started = Server::start(listen, handler).await;
        let server = started.inspect_err(|_| shared.group.part(&shared.member))?;
        let sweeper = tokio::spawn(sweep(shared.clone()));
        Ok(Engine {
            server,
            shared,
            sweeper,
        })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Name of the engine.
    pub fn name(&self) -> &str {
        &self.shared.opts.name
    }

    /// Requests that run and wait.
    pub fn load(&self) -> u32 {
        self.shared.member.load()
    }

    /// Notes that the engine is leaving from now on; it serves as before.
    pub fn mark_draining(&self) {
        lock(&self.shared.draining_since).get_or_insert_with(Instant::now);
        self.shared.member.set_draining();
    }

    /// While paused it takes connections and stays silent.
    pub fn set_paused(&self, paused: bool) {
        self.shared.paused.send_replace(paused);
    }

    /// What it has loaded, and its role.
    pub fn state(&self) -> EngineState {
        self.shared.orders.state()
    }

    /// Its faults, to be set while it runs.
    pub fn faults(&self) -> &EngineFaults {
        &self.shared.faults
    }

    /// All orders that came.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.shared.orders.records()
    }

    /// Stops it at once, as a crash does: everything that runs or waits is lost.
    pub async fn close(self) {
        self.shared.group.part(&self.shared.member);
        self.sweeper.abort();
        self.server.abort().await;
        self.shared.streams.cancel_all();
    }
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        shared.streams.sweep();
    }
}
