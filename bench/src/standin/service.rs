//! A server of a plain service. It accepts any method and path, and runs every call that it receives, duplicates too.

use futures_util::future::BoxFuture;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Abort;
use crate::http::HandlerResult;
use crate::http::Server;
use crate::standin::cache::hash_bytes;
use crate::standin::faults::ExtraDelay;
use crate::standin::faults::FaultRate;
use crate::truth::ServiceRun;
use crate::truth::Truth;
use crate::truth::lock;
use crate::wire::backend::LoadReport;

/// Options of a server of a plain service.
#[derive(Clone, Debug)]
pub struct PlainOptions {
    /// Name of the server.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Time that each call takes to run, in milliseconds.
    pub work_ms: u64,
}

impl Default for PlainOptions {
    fn default() -> PlainOptions {
        PlainOptions {
            name: "plain".to_owned(),
            service: "plain".to_owned(),
            work_ms: 5,
        }
    }
}

/// Faults of a server of a plain service; each rate is a number of calls in a thousand.
#[derive(Debug, Default)]
pub struct PlainFaults {
    lost_responses: FaultRate,
    refuse: FaultRate,
    slow: ExtraDelay,
}

impl PlainFaults {
    /// Aborts the connection instead of responding to this number of calls in a thousand, after they have run.
    pub fn set_lost_responses(&self, permille: u32) {
        self.lost_responses.set(permille);
    }

    /// Refuses this number of calls in a thousand before they run, with status 503 and `x-not-run: true`.
    pub fn set_refuse(&self, permille: u32) {
        self.refuse.set(permille);
    }

    /// Delays each response, after the call has run.
    pub fn set_slow(&self, by: Duration) {
        self.slow.set(by);
    }
}

/// A running server of a plain service.
#[derive(Debug)]
pub struct Plain {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    opts: PlainOptions,
    truth: Arc<Truth>,
    faults: PlainFaults,
    running: AtomicU32,
    draining_since: Mutex<Option<Instant>>,
}

/// Response body of a plain service.
#[derive(Debug)]
#[derive(Serialize)]
struct Echo<'a> {
    server: &'a str,
    request_id: &'a str,
    body_hash: String,
    echo: &'a str,
}

impl Plain {
    /// Starts a server that records the calls it runs in `truth`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        listen: SocketAddr,
        opts: PlainOptions,
        truth: Arc<Truth>,
    ) -> io::Result<Plain> {
        let shared = Arc::new(Shared {
            opts,
            truth,
            faults: PlainFaults::default(),
            running: AtomicU32::new(0),
            draining_since: Mutex::new(None),
        });
        let handler_shared = shared.clone();
        let handler = Arc::new(move |req| -> BoxFuture<'static, HandlerResult> {
            Box::pin(handler_shared.clone().handle(req))
        });
        let server = Server::start(listen, handler).await?;
        Ok(Plain { server, shared })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Records that the server is draining from now on; it serves calls as before.
    pub fn mark_draining(&self) {
        lock(&self.shared.draining_since).get_or_insert_with(Instant::now);
    }

    /// Returns its fault settings, which can be changed while it runs.
    pub fn faults(&self) -> &PlainFaults {
        &self.shared.faults
    }

    /// Stops at once and aborts its calls.
    pub async fn close(self) {
        self.server.abort().await;
    }
}

impl Shared {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerResult {
        if req.method() == Method::GET && req.uri().path() == "/load" {
            return Ok(http::json(StatusCode::OK, &self.load()));
        }
        if self.faults.refuse.next_is_hit() {
            let mut res = http::empty(StatusCode::SERVICE_UNAVAILABLE);
            http::set_header(&mut res, "x-not-run", "true");
            http::set_header(
                &mut res,
                "x-request-id",
                http::header(req.headers(), "x-request-id"),
            );
            return Ok(res);
        }
        let (head, body) = req.into_parts();
        let body = http::read_body(body).await.map_err(|_| Abort)?;
        let _running = RunningGuard::new(&self.running);
        let request_id = http::header(&head.headers, "x-request-id");
        let key = http::header(&head.headers, "idempotency-key");
        let text = String::from_utf8_lossy(&body);
        self.truth.add_run(ServiceRun {
            at: Instant::now(),
            service: self.opts.service.clone(),
            server: self.opts.name.clone(),
            request_id: request_id.to_owned(),
            method: head.method.to_string(),
            path: head.uri.to_string(),
            idempotency_key: Some(key.to_owned()).filter(|key| !key.is_empty()),
            body: text.to_string(),
            draining_for: lock(&self.draining_since).map(|at| at.elapsed()),
        });
        tokio::time::sleep(Duration::from_millis(self.opts.work_ms)).await;
        self.faults.slow.wait().await;
        if self.faults.lost_responses.next_is_hit() {
            return Err(Abort);
        }
        let echo = Echo {
            server: &self.opts.name,
            request_id,
            body_hash: format!("{:016x}", hash_bytes(0, &body)),
            echo: &text,
        };
        let mut res = http::json(StatusCode::OK, &echo);
        http::set_header(&mut res, "x-request-id", request_id);
        let load = self.running.load(Relaxed).to_string();
        http::set_header(&mut res, "x-engine-load", &load);
        Ok(res)
    }

    fn load(&self) -> LoadReport {
        LoadReport {
            age_ms: 0,
            cache_capacity_tokens: None,
            cached_tokens: None,
            running: self.running.load(Relaxed),
            waiting: 0,
        }
    }
}

/// Counts a call as running until it is dropped.
struct RunningGuard<'a>(&'a AtomicU32);

impl<'a> RunningGuard<'a> {
    fn new(count: &'a AtomicU32) -> RunningGuard<'a> {
        count.fetch_add(1, Relaxed);
        RunningGuard(count)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}
