//! Ground truth of a run: the requests that reached the backend servers, recorded by the stand-ins and read by the
//! report.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

/// The records of all backend servers of a run.
#[derive(Debug, Default)]
pub struct Truth {
    starts: Mutex<Vec<EngineStart>>,
    ends: Mutex<Vec<EngineEnd>>,
    runs: Mutex<Vec<ServiceRun>>,
}

/// A request that an engine accepted.
#[derive(Clone, Debug)]
pub struct EngineStart {
    /// When the engine accepted it.
    pub at: Instant,
    /// Name of the engine.
    pub engine: String,
    /// The request's `x-request-id`.
    pub request_id: String,
    /// The request's `x-chat-id`.
    pub chat: String,
    /// The engine's running and waiting requests, including this one.
    pub engine_load: u32,
    /// Actual mean load of the live engines of the service, including this request.
    pub mean_load: f64,
    /// Number of live engines of the service.
    pub live_engines: u32,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Number of tokens of the answer.
    pub answer_tokens: u64,
    /// How long the engine had been draining; `None` if it was not.
    pub draining_for: Option<Duration>,
    /// Whether it is a batch request.
    pub batch: bool,
    /// Hash of the request body.
    pub body_hash: u64,
}

/// The end of a request at an engine.
#[derive(Clone, Debug)]
pub struct EngineEnd {
    /// When it ended.
    pub at: Instant,
    /// Name of the engine.
    pub engine: String,
    /// The request's `x-request-id`.
    pub request_id: String,
    /// Whether the answer was generated to its end; otherwise it was cancelled.
    pub completed: bool,
}

/// One execution of a call at a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRun {
    /// When it was received, before the work on it.
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
    /// How long the server had been draining; `None` if it was not.
    pub draining_for: Option<Duration>,
}

impl Truth {
    /// Creates an empty set of records.
    pub fn new() -> Arc<Truth> {
        Arc::new(Truth::default())
    }

    /// Returns all requests that engines accepted, in the order of recording.
    pub fn engine_starts(&self) -> Vec<EngineStart> {
        lock(&self.starts).clone()
    }

    /// Returns all ends of requests at engines, in the order of recording.
    pub fn engine_ends(&self) -> Vec<EngineEnd> {
        lock(&self.ends).clone()
    }

    /// Returns all executions at plain services, in the order of recording.
    pub fn service_runs(&self) -> Vec<ServiceRun> {
        lock(&self.runs).clone()
    }

    /// Records a request that an engine accepted.
    pub fn add_start(&self, start: EngineStart) {
        lock(&self.starts).push(start);
    }

    /// Records the end of a request at an engine.
    pub fn add_end(&self, end: EngineEnd) {
        lock(&self.ends).push(end);
    }

    /// Records an execution at a plain service.
    pub fn add_run(&self, run: ServiceRun) {
        lock(&self.runs).push(run);
    }
}

/// Locks a mutex whose critical sections never panic, so that it can't be poisoned.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no critical section panics")
}
