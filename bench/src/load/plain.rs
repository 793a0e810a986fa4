//! A caller of a plain service, with payments that must run at most once and lookups that may be repeated.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::json;
use uuid::Uuid;

use super::LoadOptions;
use super::TeamKey;
use super::attempt::Attempt;
use super::attempt::send_call;
use super::client::Client;
use super::directory::Directory;
use super::expected::Expected;
use super::record::CallKind;
use super::record::CallRecord;
use super::record::End;
use crate::standin::cache::hash_bytes;

/// A caller of a plain service.
pub struct PlainCaller {
    index: u32,
    options: LoadOptions,
    team: TeamKey,
    directory: Arc<Directory>,
    rng: StdRng,
    client: Client,
    calls: u32,
}

impl PlainCaller {
    /// Makes the caller with the given index.
    pub fn new(
        index: u32,
        options: &LoadOptions,
        directory: Arc<Directory>,
        rng: StdRng,
    ) -> PlainCaller {
        let team = options.teams[index as usize % options.teams.len()].clone();
        PlainCaller {
            index,
            options: options.clone(),
            team,
            directory,
            rng,
            client: Client::new(),
            calls: 0,
        }
    }

    /// Calls until `until`.
    pub async fn run(mut self, until: Instant) -> Vec<CallRecord> {
        let mut records = Vec::new();
        while Instant::now() < until {
            let payment = self.rng.random_bool(0.5);
            records.push(self.call(payment).await);
            let pause = self.rng.random_range(Duration::ZERO..=self.options.pause);
            tokio::time::sleep(pause).await;
        }
        records
    }

    async fn call(&mut self, payment: bool) -> CallRecord {
        self.calls += 1;
        let call = format!("plain-{}-{}", self.index, self.calls);
        let service = &self.options.plain;
        let (method, path, key, body) = match payment {
            true => {
                let body =
                    json!({"call": call, "amount": self.rng.random_range(1..10_000)}).to_string();
                (
                    "POST",
                    format!("/services/{service}/payments"),
                    Some(Uuid::now_v7().to_string()),
                    body,
                )
            }
            false => (
                "GET",
                format!("/services/{service}/balance?call={call}"),
                None,
                String::new(),
            ),
        };
        let body = Bytes::from(body);
        let bearer = format!("Bearer {}", self.team.key);
        let request = |id: &str| {
            let mut request = Request::builder()
                .method(method)
                .uri(path.as_str())
                .header("authorization", &bearer)
                .header("content-type", "application/json")
                .header("x-request-id", id);
            if let Some(key) = &key {
                request = request.header("idempotency-key", key);
            }
            request
                .body(Full::new(body.clone()))
                .expect("header values are plain text")
        };
        let mut record = CallRecord {
            team: self.team.team.clone(),
            chat: String::new(),
            call,
            key: key.clone(),
            kind: if payment {
                CallKind::Payment
            } else {
                CallKind::Lookup
            },
            node: String::new(),
            body_hash: hash_bytes(0, &body),
            prompt: Vec::new(),
            answer: None,
            started: Instant::now(),
            first_byte: None,
            ended: Instant::now(),
            refused_at: Vec::new(),
            end: End::Refused,
        };
        let expected = Expected::Echo(body.clone());
        let mut attempt = Attempt {
            client: &mut self.client,
            directory: &self.directory,
            rng: &mut self.rng,
            pinned: None,
        };
        send_call(&mut attempt, &mut record, request, &expected).await;
        record
    }
}
