//! What really happened at the backend servers, written by the stand-ins and read by the report.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

/// Records of all backend servers of a run.
#[derive(Debug, Default)]
pub struct Truth {
    starts: Mutex<Vec<EngineStart>>,
    ends: Mutex<Vec<EngineEnd>>,
    runs: Mutex<Vec<ServiceRun>>,
}

/// One request that an engine took up.
#[derive(Clone, Debug)]
pub struct EngineStart {
    /// When the engine took it up.
    pub at: Instant,
    /// Name of the engine.
    pub engine: String,
    /// The request's `x-request-id`.
    pub request_id: String,
    /// The request's `x-chat-id`.
    pub chat: String,
    /// The engine's running and waiting requests, with this one.
    pub engine_load: u32,
    /// True mean load over the live engines of the service, with this request.
    pub mean_load: f64,
    /// Number of live engines of the service.
    pub live_engines: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens that were in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
    /// How long the engine had been leaving, where it was.
    pub draining_for: Option<Duration>,
    /// Whether it is a batch request.
    pub batch: bool,
    /// Hash of the request body.
    pub body_hash: u64,
}

/// The end of one request at an engine.
#[derive(Clone, Debug)]
pub struct EngineEnd {
    /// When it ended.
    pub at: Instant,
    /// Name of the engine.
    pub engine: String,
    /// The request's `x-request-id`.
    pub request_id: String,
    /// Whether the whole answer was made; otherwise it was cancelled.
    pub completed: bool,
}

/// One run of a call at a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRun {
    /// When it ran.
    pub at: Instant,
    /// Name of the service.
    pub service: String,
    /// Name of the server.
    pub server: String,
    /// The request's `x-request-id`.
    pub request_id: String,
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// The call's `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// The call's body.
    pub body: String,
    /// How long the server had been leaving, where it was.
    pub draining_for: Option<Duration>,
}

impl Truth {
    /// Starts with no records.
    pub fn new() -> Arc<Truth> {
        Arc::new(Truth::default())
    }

    /// All requests that engines took up, in their order.
    pub fn engine_starts(&self) -> Vec<EngineStart> {
        lock(&self.starts).clone()
    }

    /// All ends of requests at engines, in their order.
    pub fn engine_ends(&self) -> Vec<EngineEnd> {
        lock(&self.ends).clone()
    }

    /// All runs at plain services, in their order.
    pub fn service_runs(&self) -> Vec<ServiceRun> {
        lock(&self.runs).clone()
    }

    /// Adds a request that an engine took up.
    pub fn add_start(&self, start: EngineStart) {
        lock(&self.starts).push(start);
    }

    /// Adds the end of a request at an engine.
    pub fn add_end(&self, end: EngineEnd) {
        lock(&self.ends).push(end);
    }

    /// Adds a run at a plain service.
    pub fn add_run(&self, run: ServiceRun) {
        lock(&self.runs).push(run);
    }
}

/// Locks state whose critical sections don't panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no critical section panics")
}
