//! Callers that stream answers one after another and only count the tokens, so that the bench itself costs little.

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

/// Events at the end of a stream that carry no token.
const END_EVENTS: u64 = 2;
/// Line breaks that end one event.
const BREAKS_PER_EVENT: u64 = 2;
/// Pause after an answer that did not come.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What all callers of a run have counted together.
#[derive(Debug, Default)]
pub struct Count {
    /// Line breaks that came; two for each event.
    breaks: AtomicU64,
    /// Answers that were whole.
    pub answered: AtomicU64,
    /// Calls that no connection was made for.
    pub unsent: AtomicU64,
    /// Answers that were refused or broke off.
    pub failed: AtomicU64,
}

impl Count {
    /// Events that came so far.
    pub fn events(&self) -> u64 {
        self.breaks.load(Relaxed) / BREAKS_PER_EVENT
    }
}

/// How one call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ended {
    Whole,
    Unsent,
    Failed,
}

/// One caller.
pub struct Caller<'a> {
    /// Number of the caller, which its chats carry.
    pub number: u32,
    /// Node that it calls.
    pub node: SocketAddr,
    /// Team that it belongs to.
    pub team: &'a TeamKey,
    /// Model that it asks.
    pub model: &'a str,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Where it counts.
    pub count: &'a Count,
}

impl Caller<'_> {
    /// Asks until `until`, each time in a new chat.
    pub async fn run(&self, until: Instant) {
        let mut client = Client::new();
        let mut calls = 0;
        while Instant::now() < until {
            calls += 1;
            let ended = self.call(&mut client, calls).await;
            let counter = match ended {
                Ended::Whole => &self.count.answered,
                Ended::Unsent => &self.count.unsent,
                Ended::Failed => &self.count.failed,
            };
            counter.fetch_add(1, Relaxed);
            if ended != Ended::Whole {
                client.close_connection(self.node);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn call(&self, client: &mut Client, call: u32) -> Ended {
        let answer = match client.send(self.node, self.request(call)).await {
            Ok(answer) if answer.status().is_success() => answer,
            Err(SendError::NotSent(_)) => return Ended::Unsent,
            _ => return Ended::Failed,
        };
        match self.read(answer.into_body()).await {
            Some(events) if events == u64::from(self.tokens) + END_EVENTS => Ended::Whole,
            _ => Ended::Failed,
        }
    }

    async fn read(&self, mut body: Incoming) -> Option<u64> {
        let mut breaks = 0;
        while let Some(frame) = body.frame().await {
            let data = frame.ok()?.into_data().ok()?;
            let more = data.iter().filter(|byte| **byte == b'\n').count() as u64;
            self.count.breaks.fetch_add(more, Relaxed);
            breaks += more;
        }
        Some(breaks / BREAKS_PER_EVENT)
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
