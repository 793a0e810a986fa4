//! The making of one answer: queue, prefill, then token by token, with a simple model of the time it takes.

use serde_json::Value;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::standin::cache;
use crate::standin::cache::Prefix;
use crate::standin::engine::Shared;
use crate::standin::streams::ResponseStream;
use crate::standin::streams::State;
use crate::truth::EngineEnd;
use crate::wire::backend::CacheEventKind;

/// One request as the engine took it up.
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
    /// The id that the answer carries; another one where it is crossed.
    pub response_id: String,
    pub tokens: Vec<String>,
}

/// Counts a request as running or waiting, and notes its end.
pub(super) struct InFlight {
    pub shared: Arc<Shared>,
    pub response: Arc<ResponseStream>,
    pub id: String,
    pub completed: bool,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.member.finish();
        self.shared.note_load();
        self.shared.truth.add_end(EngineEnd {
            at: Instant::now(),
            engine: self.shared.opts.name.clone(),
            request_id: self.id.clone(),
            completed: self.completed,
        });
        let state = if self.completed {
            State::Done
        } else {
            State::Cancelled
        };
        self.response.end(state);
    }
}

/// Makes the answer of a job; aborting the task cancels it.
pub(super) async fn run(job: Job, mut in_flight: InFlight) {
    let shared = in_flight.shared.clone();
    let _slot = shared.batch.enter(job.batch).await;
    prefill(&shared, &job).await;
    for token in &job.tokens {
        shared.unpaused().await;
        let slowdown = 1.0 + shared.batch.fullness();
        let token_time = Duration::from_millis(shared.opts.token_ms).mul_f64(slowdown);
        tokio::time::sleep(token_time).await;
        if job.streamed {
            in_flight.response.push(chunk(&job, token).as_bytes());
        }
    }
    store(&shared, &job);
    let end = if job.streamed {
        last_chunk(&job)
    } else {
        completion(&job)
    };
    in_flight.response.push(end.as_bytes());
    in_flight.completed = true;
}

async fn prefill(shared: &Shared, job: &Job) {
    let uncached = job.prompt_tokens - job.cached_tokens;
    let rate = f64::from(shared.opts.prefill_tokens_per_second.max(1));
    tokio::time::sleep(Duration::from_secs_f64(uncached as f64 / rate)).await;
}

/// Puts the chat with its answer into the prefix cache.
fn store(shared: &Shared, job: &Job) {
    let mut prefixes = job.prefixes.clone();
    cache::extend(&mut prefixes, "assistant", &job.tokens.concat());
    shared.store(&job.chat, &prefixes);
}

impl Shared {
    /// Stores a chat in the prefix cache and notes the events of it.
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

fn chunk(job: &Job, token: &str) -> String {
    let choice = json!({"index": 0, "delta": {"content": token}, "finish_reason": null});
    event(&head(job, "chat.completion.chunk", choice))
}

fn last_chunk(job: &Job) -> String {
    let choice = json!({"index": 0, "delta": {}, "finish_reason": "stop"});
    let mut last = head(job, "chat.completion.chunk", choice);
    last["usage"] = usage(job);
    event(&last) + "data: [DONE]\n\n"
}

fn completion(job: &Job) -> String {
    let message = json!({"role": "assistant", "content": job.tokens.concat()});
    let choice = json!({"index": 0, "message": message, "finish_reason": "stop"});
    let mut all = head(job, "chat.completion", choice);
    all["usage"] = usage(job);
    all.to_string()
}

fn head(job: &Job, object: &str, choice: Value) -> Value {
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

fn event(value: &Value) -> String {
    format!("data: {value}\n\n")
}
