//! The state that the requests of one engine share, and the handling of each request.

use crate::answer::answer_tokens;
use crate::http;
use crate::http::Abort;
use crate::http::HandlerResult;
use crate::http::ResponseBody;
use crate::standin::batch::Batch;
use crate::standin::cache;
use crate::standin::cache::Prefix;
use crate::standin::cache::PrefixCache;
use crate::standin::engine::EngineFaults;
use crate::standin::engine::EngineOptions;
use crate::standin::events::Events;
use crate::standin::faults::FaultRate;
use crate::standin::generate;
use crate::standin::generate::InFlightGuard;
use crate::standin::generate::Job;
use crate::standin::group::EngineGroup;
use crate::standin::group::Member;
use crate::standin::lagged::Lagged;
use crate::standin::orders::Orders;
use crate::standin::streams::ResponseState;
use crate::standin::streams::ResponseStream;
use crate::standin::streams::Streams;
use crate::truth::EngineStart;
use crate::truth::Truth;
use crate::truth::lock;
use crate::wire::backend::KvBlob;
use crate::wire::backend::KvExport;
use crate::wire::backend::LoadReport;
use crate::wire::backend::Order;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use serde_json::Value;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;
use tokio::sync::watch;

/// Number of tokens of an answer if the request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Rate at which the cache of a chat is exported or imported.
const KV_TOKENS_PER_SECOND: f64 = 200_000.0;
/// Delay of a late response unless it is set otherwise.
const DEFAULT_LATE_MS: u64 = 2000;
/// Approximate size of the event of one streamed token, for truncating a stream near its middle.
const APPROX_EVENT_BYTES: usize = 160;

#[derive(Debug)]
pub(in crate::standin) struct Shared {
    pub opts: EngineOptions,
    pub truth: Arc<Truth>,
    pub member: Arc<Member>,
    pub batch: Arc<Batch>,
    pub cache: Mutex<PrefixCache>,
    pub events: Mutex<Events>,
    pub group: Arc<EngineGroup>,
    pub faults: EngineFaults,
    loads: Mutex<Lagged<LoadReport>>,
    pub streams: Streams,
    pub orders: Arc<Orders>,
    pub draining_since: Mutex<Option<Instant>>,
    pub paused: watch::Sender<bool>,
    /// ID and answer of the previous request, for crossed responses; a placeholder before the first request.
    previous: Mutex<(String, Vec<String>)>,
}

/// Cancels a response when its handler is dropped, which means that the client has disconnected.
struct CancelOnDrop(Arc<ResponseStream>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if self.0.state() == ResponseState::Open {
            self.0.cancel();
        }
    }
}

impl Shared {
    pub fn new(opts: EngineOptions, truth: Arc<Truth>, group: Arc<EngineGroup>) -> Shared {
        let idle = LoadReport {
            age_ms: opts.load_lag.as_millis() as u64,
            cache_capacity_tokens: Some(opts.cache_tokens),
            cached_tokens: Some(0),
            running: 0,
            waiting: 0,
        };
        let orders = Orders::new(&opts.service, opts.checks_fencing, opts.weights.clone());
        Shared {
            truth,
            member: group.join(),
            batch: Batch::new(opts.max_batch),
            cache: Mutex::new(PrefixCache::new(opts.cache_tokens)),
            events: Mutex::new(Events::new(opts.event_lag)),
            group,
            faults: EngineFaults {
                crossed: FaultRate::default(),
                truncated: FaultRate::default(),
                late: FaultRate::default(),
                late_ms: AtomicU64::new(DEFAULT_LATE_MS),
            },
            loads: Mutex::new(Lagged::new(opts.load_lag, idle)),
            streams: Streams::default(),
            orders: Arc::new(orders),
            draining_since: Mutex::new(None),
            paused: watch::channel(false).0,
            previous: Mutex::new(("crossed".to_owned(), vec!["xxx ".to_owned()])),
            opts,
        }
    }

    /// Waits until the engine is not paused.
    pub(in crate::standin) async fn wait_unpaused(&self) {
        if *self.paused.borrow() {
            // The sender lives as long as `self`.
            let _ = self.paused.subscribe().wait_for(|paused| !paused).await;
        }
    }

    /// Records the current load for later load reports.
    pub(in crate::standin) fn record_load(&self) {
        let cached = lock(&self.cache).total();
        let mut loads = lock(&self.loads);
        // The load is read under the lock, so that a later report never has an earlier load.
        let load = self.member.load();
        let report = LoadReport {
            cached_tokens: Some(cached),
            running: load.min(self.opts.max_batch),
            waiting: load.saturating_sub(self.opts.max_batch),
            ..loads.newest().clone()
        };
        loads.set(report);
    }

    pub async fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerResult {
        self.wait_unpaused().await;
        let (head, body) = req.into_parts();
        let path = head.uri.path();
        let stream = path.strip_prefix("/v1/streams/");
        match (&head.method, path, stream) {
            (&Method::POST, "/v1/chat/completions", _) => self.chat(&head, body).await,
            (&Method::GET, _, Some(id)) => Ok(self.resume(id, head.uri.query())),
            (&Method::DELETE, _, Some(id)) => Ok(self.cancel(id)),
            (&Method::GET, "/load", _) => Ok(ok(lock(&self.loads).visible())),
            (&Method::GET, "/cache-events", _) => Ok(self.cache_events(head.uri.query())),
            (&Method::GET, "/state", _) => Ok(ok(&self.orders.state())),
            (&Method::POST, "/orders", _) => self.handle_order(body).await,
            (&Method::POST, "/v1/kv/export", _) => self.export(body).await,
            (&Method::POST, "/v1/kv/import", _) => self.import(body).await,
            _ => Ok(http::empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn chat(self: Arc<Self>, head: &Parts, body: Incoming) -> HandlerResult {
        let bytes = http::read_body(body).await.map_err(|_| Abort)?;
        let Ok(value) = serde_json::from_slice::<Value>(&bytes) else {
            return Ok(http::empty(StatusCode::BAD_REQUEST));
        };
        if !self
            .orders
            .has_model(value["model"].as_str().unwrap_or_default())
        {
            let mut res = http::empty(StatusCode::NOT_FOUND);
            http::set_header(&mut res, "x-not-run", "true");
            return Ok(res);
        }
        let mut job = self.job(head, &value);
        let response = self.accept_request(&job, cache::hash_bytes(0, &bytes));
        self.apply_crossed_fault(&mut job);
        let (streamed, response_id, tokens) =
            (job.streamed, job.response_id.clone(), job.tokens.len());
        let in_flight = InFlightGuard {
            shared: self.clone(),
            response: response.clone(),
            id: job.id.clone(),
            completed: false,
        };
        let _reader = response.add_reader();
        let task = tokio::spawn(generate::run(job, in_flight));
        response.set_task(task.abort_handle());
        let cancel = (!streamed).then(|| CancelOnDrop(response.clone()));
        if self.faults.late.next_is_hit() {
            let late = self.faults.late_ms.load(Relaxed);
            tokio::time::sleep(Duration::from_millis(late)).await;
        }
        let truncated = self.faults.truncated.next_is_hit();
        let (body, kind) = if streamed {
            let abort_at = truncated.then_some(tokens * APPROX_EVENT_BYTES / 2);
            (response.read(0, abort_at), "text/event-stream")
        } else {
            let len = response.wait_complete().await?.len();
            (
                response.read(0, truncated.then_some(len / 2)),
                "application/json",
            )
        };
        drop(cancel);
        let mut res = Response::new(body);
        self.set_headers(&mut res, &response_id, kind);
        Ok(res)
    }

    fn job(&self, head: &Parts, value: &Value) -> Job {
        let id = http::header(&head.headers, "x-request-id").to_owned();
        let max_tokens = value["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS);
        let prefixes = cache::prefixes(&value["messages"]);
        Job {
            response_id: id.clone(),
            id,
            chat: http::header(&head.headers, "x-chat-id").to_owned(),
            model: self.opts.service.clone(),
            batch: http::header(&head.headers, "x-priority") == "batch",
            streamed: value["stream"].as_bool().unwrap_or(false),
            prompt_tokens: prefixes.last().map_or(0, |prefix| prefix.tokens),
            cached_tokens: lock(&self.cache).lookup(&prefixes),
            prefixes,
            tokens: answer_tokens(
                &value["messages"],
                u32::try_from(max_tokens).unwrap_or(u32::MAX),
            ),
        }
    }

    /// Counts a request, records its start, and creates its response.
    fn accept_request(&self, job: &Job, body_hash: u64) -> Arc<ResponseStream> {
        let loads = self.group.accept_request(&self.member);
        self.record_load();
        self.truth.add_start(EngineStart {
            at: Instant::now(),
            engine: self.opts.name.clone(),
            request_id: job.id.clone(),
            chat: job.chat.clone(),
            engine_load: loads.own_load,
            mean_load: loads.mean_load,
            live_engines: loads.live_count,
            prompt_tokens: job.prompt_tokens,
            cached_tokens: job.cached_tokens,
            answer_tokens: job.tokens.len() as u64,
            draining_for: lock(&self.draining_since).map(|at| at.elapsed()),
            batch: job.batch,
            body_hash,
        });
        let response = ResponseStream::new(&job.id);
        self.streams.add(response.clone());
        response
    }

    /// Replaces the answer of the job by the one of the previous request if the fault applies.
    fn apply_crossed_fault(&self, job: &mut Job) {
        let own = (job.id.clone(), job.tokens.clone());
        let previous = std::mem::replace(&mut *lock(&self.previous), own);
        if self.faults.crossed.next_is_hit() {
            (job.response_id, job.tokens) = previous;
        }
    }

    fn set_headers(&self, res: &mut Response<ResponseBody>, id: &str, kind: &str) {
        http::set_header(res, "x-request-id", id);
        http::set_header(res, "x-engine-load", &self.member.load().to_string());
        http::set_header(res, "content-type", kind);
    }

    fn resume(&self, id: &str, query: Option<&str>) -> Response<ResponseBody> {
        let from = http::query_number(query, "from").unwrap_or(0);
        let found = self.streams.find(id);
        let Some(response) = found.filter(|response| response.state() != ResponseState::Cancelled)
        else {
            return http::empty(StatusCode::NOT_FOUND);
        };
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        let mut res = Response::new(response.read(from, None));
        self.set_headers(&mut res, id, "text/event-stream");
        res
    }

    fn cancel(&self, id: &str) -> Response<ResponseBody> {
        let found = self.streams.find(id);
        let Some(response) = found.filter(|response| response.state() == ResponseState::Open)
        else {
            return http::empty(StatusCode::NOT_FOUND);
        };
        response.cancel();
        http::empty(StatusCode::NO_CONTENT)
    }

    fn cache_events(&self, query: Option<&str>) -> Response<ResponseBody> {
        let from = http::query_number(query, "from").unwrap_or(0);
        ok(&lock(&self.events).read(from))
    }

    async fn handle_order(&self, body: Incoming) -> HandlerResult {
        let Ok(order) = http::read_json::<Order>(body).await else {
            return Ok(http::empty(StatusCode::BAD_REQUEST));
        };
        Ok(match self.orders.receive(order) {
            Ok(state) => ok(&state),
            Err(stale) => http::json(StatusCode::CONFLICT, &stale.0),
        })
    }

    async fn export(&self, body: Incoming) -> HandlerResult {
        let Ok(req) = http::read_json::<KvExport>(body).await else {
            return Ok(http::empty(StatusCode::BAD_REQUEST));
        };
        let stored = lock(&self.cache).chat(&req.chat).map(<[Prefix]>::to_vec);
        let Some(prefixes) = stored else {
            return Ok(http::empty(StatusCode::NOT_FOUND));
        };
        let tokens = prefixes.last().map_or(0, |prefix| prefix.tokens);
        wait_kv_transfer(tokens).await;
        let blob = serde_json::to_string(&prefixes).map_err(|_| Abort)?;
        let chat = req.chat;
        Ok(ok(&KvBlob { blob, chat, tokens }))
    }

    async fn import(&self, body: Incoming) -> HandlerResult {
        let parsed = http::read_json::<KvBlob>(body).await.ok().and_then(|kv| {
            let prefixes = serde_json::from_str::<Vec<Prefix>>(&kv.blob).ok()?;
            Some((kv, prefixes))
        });
        let Some((kv, prefixes)) = parsed else {
            return Ok(http::empty(StatusCode::BAD_REQUEST));
        };
        wait_kv_transfer(kv.tokens).await;
        self.store(&kv.chat, &prefixes);
        Ok(http::empty(StatusCode::NO_CONTENT))
    }
}

fn ok(value: &impl serde::Serialize) -> Response<ResponseBody> {
    http::json(StatusCode::OK, value)
}

/// Waits for the time that moving the cache of a chat takes.
async fn wait_kv_transfer(tokens: u64) {
    tokio::time::sleep(Duration::from_secs_f64(
        tokens as f64 / KV_TOKENS_PER_SECOND,
    ))
    .await;
}
