//! Generates one answer with simulated times: waits for a batch slot, processes the prompt, then emits token by token.

use serde_json::Value;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::standin::cache;
use crate::standin::cache::Prefix;
use crate::standin::engine::Shared;
use crate::standin::streams::ResponseState;
use crate::standin::streams::ResponseStream;
use crate::truth::EngineEnd;
use crate::wire::backend::CacheEventKind;

/// A request that the engine accepted.
#[derive(Debug)]
pub(super) struct Job {
    pub id: String,
    pub chat: String,
    pub model: String,
    pub batch: bool,
    pub streamed: bool,
    pub prefixes: Vec<Prefix>,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    /// The request ID in the response; the ID of another request if the response is crossed.
    pub response_id: String,
    pub tokens: Vec<String>,
}

/// Counts a request as running or waiting; dropping it records the end of the request.
pub(super) struct InFlightGuard {
    pub shared: Arc<Shared>,
    pub response: Arc<ResponseStream>,
    pub id: String,
    pub completed: bool,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.member.finish_request();
        self.shared.record_load();
        self.shared.truth.add_end(EngineEnd {
            at: Instant::now(),
            engine: self.shared.opts.name.clone(),
            request_id: self.id.clone(),
            completed: self.completed,
        });
        let state = if self.completed {
            ResponseState::Done
        } else {
            ResponseState::Cancelled
        };
        self.response.end(state);
    }
}

/// Generates the response of a job; aborting the task cancels the response.
pub(super) async fn run(job: Job, mut in_flight: InFlightGuard) {
    let shared = in_flight.shared.clone();
    let _slot = shared.batch.acquire(job.batch).await;
    prefill(&shared, &job).await;
    for token in &job.tokens {
        shared.wait_unpaused().await;
        let slowdown = 1.0 + shared.batch.utilization();
        let token_time = Duration::from_millis(shared.opts.token_ms).mul_f64(slowdown);
        tokio::time::sleep(token_time).await;
        if job.streamed {
            in_flight.response.push(chunk_event(&job, token).as_bytes());
        }
    }
    store_chat(&shared, &job);
    let end = if job.streamed {
        last_chunk_events(&job)
    } else {
        completion_body(&job)
    };
    in_flight.response.push(end.as_bytes());
    in_flight.completed = true;
}

async fn prefill(shared: &Shared, job: &Job) {
    let uncached = job.prompt_tokens - job.cached_tokens;
    let rate = f64::from(shared.opts.prefill_tokens_per_second.max(1));
    tokio::time::sleep(Duration::from_secs_f64(uncached as f64 / rate)).await;
}

/// Stores the chat, including the answer, in the prefix cache.
fn store_chat(shared: &Shared, job: &Job) {
    let mut prefixes = job.prefixes.clone();
    cache::extend(&mut prefixes, "assistant", &job.tokens.concat());
    shared.store(&job.chat, &prefixes);
}

impl Shared {
    /// Stores a chat in the prefix cache and adds the cache events of storing and evicting.
    pub(super) fn store(&self, chat: &str, prefixes: &[Prefix]) {
        let evicted = crate::truth::lock(&self.cache).store(chat, prefixes);
        let mut events = crate::truth::lock(&self.events);
        let tokens = prefixes.last().map_or(0, |prefix| prefix.tokens);
        events.add(CacheEventKind::Stored, chat, tokens);
        for branch in evicted {
            events.add(CacheEventKind::Evicted, &branch.chat, branch.tokens);
        }
    }
}

fn chunk_event(job: &Job, token: &str) -> String {
    let choice = json!({"index": 0, "delta": {"content": token}, "finish_reason": null});
    to_sse_event(&completion_object(job, "chat.completion.chunk", choice))
}

fn last_chunk_events(job: &Job) -> String {
    let choice = json!({"index": 0, "delta": {}, "finish_reason": "stop"});
    let mut last = completion_object(job, "chat.completion.chunk", choice);
    last["usage"] = usage(job);
    to_sse_event(&last) + "data: [DONE]\n\n"
}

fn completion_body(job: &Job) -> String {
    let message = json!({"role": "assistant", "content": job.tokens.concat()});
    let choice = json!({"index": 0, "message": message, "finish_reason": "stop"});
    let mut value = completion_object(job, "chat.completion", choice);
    value["usage"] = usage(job);
    value.to_string()
}

fn completion_object(job: &Job, object: &str, choice: Value) -> Value {
    json!({
        "id": format!("chatcmpl-{}", job.response_id),
        "object": object,
        "model": job.model,
        "choices": [choice],
    })
}

fn usage(job: &Job) -> Value {
    let completion_tokens = job.tokens.len() as u64;
    json!({
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": job.prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
    })
}

fn to_sse_event(value: &Value) -> String {
    format!("data: {value}\n\n")
}
