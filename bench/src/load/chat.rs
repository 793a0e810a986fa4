//! A caller that alternates between a few chats and sends the complete history of the chat with each turn.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

use super::LoadOptions;
use super::TeamKey;
use super::attempt::CallContext;
use super::attempt::send_call;
use super::client::Client;
use super::directory::Directory;
use super::expected::Expected;
use super::record::CallKind;
use super::record::CallOutcome;
use super::record::CallRecord;
use crate::answer::answer_tokens;
use crate::standin::cache::extend;
use crate::standin::cache::hash_bytes;
use crate::standin::cache::prefixes;

/// Words from which messages are composed.
const WORDS: [&str; 12] = [
    "invoice", "remote", "code", "pipe", "order", "list", "match", "device", "check", "supplier",
    "setup", "review",
];

struct Chat {
    id: String,
    messages: Vec<Value>,
    hint: Option<String>,
    turns: u32,
}

/// A caller of chats.
pub struct ChatCaller {
    index: u32,
    options: LoadOptions,
    team: TeamKey,
    directory: Arc<Directory>,
    rng: StdRng,
    client: Client,
    chats: Vec<Chat>,
    started_chats: u32,
    calls: u32,
}

impl ChatCaller {
    /// Creates the caller with the given index.
    pub fn new(
        index: u32,
        options: &LoadOptions,
        directory: Arc<Directory>,
        rng: StdRng,
    ) -> ChatCaller {
        let team = options.teams[index as usize % options.teams.len()].clone();
        ChatCaller {
            index,
            options: options.clone(),
            team,
            directory,
            rng,
            client: Client::new(),
            chats: Vec::new(),
            started_chats: 0,
            calls: 0,
        }
    }

    /// Sends calls until `until` and returns their records.
    pub async fn run(mut self, until: Instant) -> Vec<CallRecord> {
        let mut records = Vec::new();
        for _ in 0..self.options.chats_per_caller {
            let chat = self.new_chat();
            self.chats.push(chat);
        }
        self.pause().await;
        while Instant::now() < until {
            let index = self.rng.random_range(0..self.chats.len());
            records.push(self.send_turn(index).await);
            if self.chats[index].turns >= self.options.max_turns {
                self.chats[index] = self.new_chat();
            }
            self.pause().await;
        }
        records
    }

    async fn pause(&mut self) {
        let pause = self
            .rng
            .random_range(Duration::ZERO..=self.options.max_pause);
        tokio::time::sleep(pause).await;
    }

    fn new_chat(&mut self) -> Chat {
        self.started_chats += 1;
        let id = format!(
            "{}-chat-{}-{}",
            self.team.team, self.index, self.started_chats
        );
        let system = format!("You help with {id}. {}", self.words(60));
        Chat {
            id,
            messages: vec![json!({"role": "system", "content": system})],
            hint: None,
            turns: 0,
        }
    }

    fn words(&mut self, count: usize) -> String {
        let picked: Vec<&str> = (0..count)
            .map(|_| WORDS[self.rng.random_range(0..WORDS.len())])
            .collect();
        picked.join(" ")
    }

    async fn send_turn(&mut self, index: usize) -> CallRecord {
        self.calls += 1;
        let call = format!("chat-{}-{}", self.index, self.calls);
        let count = self.rng.random_range(8..32);
        let question = self.words(count);
        let stream = self.rng.random_range(0..1000) >= self.options.non_streaming_permille;
        let (min, max) = self.options.answer_tokens;
        let max_tokens = self.rng.random_range(min..=max);

        let mut messages = self.chats[index].messages.clone();
        messages.push(json!({"role": "user", "content": question}));
        let messages = Value::Array(messages);
        let expected = answer_tokens(&messages, max_tokens).concat();
        // The standard field `user` makes each body unique, so that the runs of a call can be identified by the hash of
        // the body at the engines.
        let body = json!({"model": self.options.model, "messages": messages, "max_tokens": max_tokens, "stream": stream,
            "user": call});
        let body = Bytes::from(body.to_string());
        let kind = if stream {
            CallKind::ChatStream
        } else {
            CallKind::ChatNonStreaming
        };
        let mut record = self.record(call, &self.chats[index].id, kind);
        record.body_hash = hash_bytes(0, &body);
        record.prompt = prefixes(&messages);
        let mut with_answer = record.prompt.clone();
        extend(&mut with_answer, "assistant", &expected);
        record.answer = with_answer.pop();

        let hint = self.chats[index].hint.clone();
        let chat = self.chats[index].id.clone();
        let key = self.team.key.clone();
        let request = |id: &str| {
            let mut request = Request::post("/v1/chat/completions")
                .header("authorization", format!("Bearer {key}"))
                .header("content-type", "application/json")
                .header("x-chat-id", &chat)
                .header("x-request-id", id);
            if let Some(hint) = &hint {
                request = request.header("x-routing-hint", hint);
            }
            request
                .body(Full::new(body.clone()))
                .expect("header values are plain text")
        };
        let expected_answer = match stream {
            true => Expected::Stream(expected.clone()),
            false => Expected::NonStreaming(expected.clone()),
        };
        let mut context = CallContext {
            client: &mut self.client,
            directory: &self.directory,
            rng: &mut self.rng,
            pinned: None,
        };
        let hint = send_call(&mut context, &mut record, request, &expected_answer).await;
        self.apply_answer(index, &record.outcome, messages, &expected, hint);
        record
    }

    /// Appends the answer to the chat's history. After any other outcome the history stays, and the next turn asks a
    /// different question.
    fn apply_answer(
        &mut self,
        index: usize,
        outcome: &CallOutcome,
        messages: Value,
        expected: &str,
        hint: Option<String>,
    ) {
        let chat = &mut self.chats[index];
        chat.turns += 1;
        if *outcome != CallOutcome::Answered {
            return;
        }
        let Value::Array(mut messages) = messages else {
            return;
        };
        messages.push(json!({"role": "assistant", "content": expected}));
        chat.messages = messages;
        chat.hint = hint.or(chat.hint.take());
    }

    fn record(&self, call: String, chat: &str, kind: CallKind) -> CallRecord {
        CallRecord {
            team: self.team.team.clone(),
            chat: chat.to_owned(),
            call,
            key: None,
            issuer: None,
            kind,
            node: String::new(),
            body_hash: 0,
            prompt: Vec::new(),
            answer: None,
            started: Instant::now(),
            first_byte: None,
            ended: Instant::now(),
            not_run_at: Vec::new(),
            outcome: CallOutcome::Refused,
        }
    }
}
