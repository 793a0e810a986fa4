//! Callers that stream answers one after another and only count the tokens, so that the bench itself uses little CPU
//! time.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::json;

use crate::load::TeamKey;
use crate::load::client::Client;
use crate::load::client::SendError;

/// Number of events at the end of a stream that contain no token.
const NON_TOKEN_EVENTS: u64 = 2;
/// Number of newlines at the end of an event.
const NEWLINES_PER_EVENT: u64 = 2;
/// Pause after a call without a complete answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Counters shared by all callers of a run.
#[derive(Debug, Default)]
pub struct StreamCounters {
    /// Received newlines, two for each event.
    newlines: AtomicU64,
    /// Calls with a complete answer.
    pub answered: AtomicU64,
    /// Calls for which no connection could be opened.
    pub unsent: AtomicU64,
    /// Calls that were rejected or whose answer was aborted or incomplete.
    pub failed: AtomicU64,
}

impl StreamCounters {
    /// Returns the number of events received so far.
    pub fn events(&self) -> u64 {
        self.newlines.load(Relaxed) / NEWLINES_PER_EVENT
    }
}

/// Result of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallResult {
    Complete,
    Unsent,
    Failed,
}

/// A caller that streams answers.
pub struct Caller<'a> {
    /// Number of the caller, which is part of the ids of its chats.
    pub number: u32,
    /// Address of the node that it calls.
    pub node: SocketAddr,
    /// Team of the caller.
    pub team: &'a TeamKey,
    /// Model of its requests.
    pub model: &'a str,
    /// Number of tokens of each answer.
    pub tokens: u32,
    /// Counters that it updates.
    pub counters: &'a StreamCounters,
}

impl Caller<'_> {
    /// Sends calls until `until`, each in a new chat.
    pub async fn run(&self, until: Instant) {
        let mut client = Client::new();
        let mut calls = 0;
        while Instant::now() < until {
            calls += 1;
            let result = self.call(&mut client, calls).await;
            let counter = match result {
                CallResult::Complete => &self.counters.answered,
                CallResult::Unsent => &self.counters.unsent,
                CallResult::Failed => &self.counters.failed,
            };
            counter.fetch_add(1, Relaxed);
            if result != CallResult::Complete {
                client.close_connection(self.node);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn call(&self, client: &mut Client, call: u32) -> CallResult {
        let answer = match client.send(self.node, self.request(call)).await {
            Ok(answer) if answer.status().is_success() => answer,
            Err(SendError::NotSent(_)) => return CallResult::Unsent,
            _ => return CallResult::Failed,
        };
        match self.read(answer.into_body()).await {
            Some(events) if events == u64::from(self.tokens) + NON_TOKEN_EVENTS => {
                CallResult::Complete
            }
            _ => CallResult::Failed,
        }
    }

    async fn read(&self, mut body: Incoming) -> Option<u64> {
        let mut newlines = 0;
        while let Some(frame) = body.frame().await {
            let data = frame.ok()?.into_data().ok()?;
            let more = data.iter().filter(|byte| **byte == b'\n').count() as u64;
            self.counters.newlines.fetch_add(more, Relaxed);
            newlines += more;
        }
        Some(newlines / NEWLINES_PER_EVENT)
    }

    fn request(&self, call: u32) -> Request<Full<Bytes>> {
        let chat = format!("stream-{}-{call}", self.number);
        let body = json!({"model": self.model, "max_tokens": self.tokens, "stream": true, "user": chat,
            "messages": [{"role": "user", "content": chat}]});
        Request::post("/v1/chat/completions")
            .header("authorization", format!("Bearer {}", self.team.key))
            .header("content-type", "application/json")
            .header("x-chat-id", &chat)
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("header values are plain text")
    }
}
