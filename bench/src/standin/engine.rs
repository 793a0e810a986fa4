//! A model engine: chat completions with a prefix cache, load reports, cache events, orders and faults.

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

/// Interval at which responses without readers are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the engine.
    pub name: String,
    /// Name of the service, which is also the name of the model.
    pub service: String,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Maximum number of requests that run at the same time.
    pub max_batch: u32,
    /// Rate at which uncached prompt tokens are processed.
    pub prefill_tokens_per_second: u32,
    /// Time to generate one token in an empty batch, in milliseconds.
    pub token_ms: u64,
    /// Lag of load reports.
    pub load_lag: Duration,
    /// Lag of cache events.
    pub event_lag: Duration,
    /// Whether orders with a stale fencing number are refused.
    pub checks_fencing: bool,
    /// The store that models are loaded from; without one, a load takes no time.
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

/// Faults of an engine; each rate is a number of requests in a thousand.
#[derive(Debug)]
pub struct EngineFaults {
    crossed: FaultRate,
    truncated: FaultRate,
    late: FaultRate,
    late_ms: AtomicU64,
}

impl EngineFaults {
    /// Responds with the ID and the content of the previous request.
    pub fn set_crossed(&self, permille: u32) {
        self.crossed.set(permille);
    }

    /// Aborts the connection in the middle of the response; a stream is generated further and can be resumed.
    pub fn set_truncated(&self, permille: u32) {
        self.truncated.set(permille);
    }

    /// Delays the response by the time that [`EngineFaults::set_late_by`] sets.
    pub fn set_late(&self, permille: u32) {
        self.late.set(permille);
    }

    /// Sets the delay of late responses.
    pub fn set_late_by(&self, by: Duration) {
        self.late_ms.store(by.as_millis() as u64, Relaxed);
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
    cleanup_task: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine that joins `group` and records its requests in `truth`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        listen: SocketAddr,
        opts: EngineOptions,
        truth: Arc<Truth>,
        group: Arc<EngineGroup>,
    ) -> io::Result<Engine> {
        let shared = Arc::new(Shared::new(opts, truth, group));
        let handler_shared = shared.clone();
        let handler = Arc::new(move |req| -> BoxFuture<'static, HandlerResult> {
            Box::pin(handler_shared.clone().handle(req))
        });
        let started = Server::start(listen, handler).await;
        let server = started.inspect_err(|_| shared.group.leave(&shared.member))?;
        let cleanup_task = tokio::spawn(remove_idle_responses(shared.clone()));
        Ok(Engine {
            server,
            shared,
            cleanup_task,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the name of the engine.
    pub fn name(&self) -> &str {
        &self.shared.opts.name
    }

    /// Returns the number of running and waiting requests.
    pub fn load(&self) -> u32 {
        self.shared.member.load()
    }

    /// Records that the engine is draining from now on; it serves requests as before.
    pub fn mark_draining(&self) {
        lock(&self.shared.draining_since).get_or_insert_with(Instant::now);
        self.shared.member.set_draining();
    }

    /// Sets whether the engine is paused: it accepts connections but sends nothing.
    pub fn set_paused(&self, paused: bool) {
        self.shared.paused.send_replace(paused);
    }

    /// Returns the loaded models and the role.
    pub fn state(&self) -> EngineState {
        self.shared.orders.state()
    }

    /// Returns its fault settings, which can be changed while it runs.
    pub fn faults(&self) -> &EngineFaults {
        &self.shared.faults
    }

    /// Returns all orders that it received.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.shared.orders.records()
    }

    /// Stops at once, like a crash: all running and waiting requests are lost.
    pub async fn close(self) {
        self.shared.group.leave(&self.shared.member);
        self.cleanup_task.abort();
        self.server.abort().await;
        self.shared.streams.cancel_all();
    }
}

async fn remove_idle_responses(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        shared.streams.remove_idle();
    }
}
