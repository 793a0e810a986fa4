//! A caller of a plain service. It sends payments, which must run at most once, and lookups, which may run repeatedly.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::RngExt;
use rand::rngs::StdRng;

use super::LoadOptions;
use super::TeamKey;
use super::attempt::CallContext;
use super::attempt::send_call;
use super::client::Client;
use super::directory::Directory;
use super::expected::Expected;
use super::payment::Payment;
use super::record::CallKind;
use super::record::CallOutcome;
use super::record::CallRecord;
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
    /// Creates the caller with the given index.
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

    /// Sends calls until `until` and returns their records.
    pub async fn run(mut self, until: Instant) -> Vec<CallRecord> {
        let mut records = Vec::new();
        while Instant::now() < until {
            let payment = self.rng.random_bool(0.5);
            records.push(self.call(payment).await);
            let pause = self
                .rng
                .random_range(Duration::ZERO..=self.options.max_pause);
            tokio::time::sleep(pause).await;
        }
        records
    }

    async fn call(&mut self, payment: bool) -> CallRecord {
        self.calls += 1;
        let call = format!("plain-{}-{}", self.index, self.calls);
        match payment {
            true => self.pay(&call).await,
            false => self.look_up(&call).await,
        }
    }

    /// Sends a payment under its own key. If the log cannot store the claim of that key, sends it again with a ticket.
    async fn pay(&mut self, call: &str) -> CallRecord {
        let amount = self.rng.random_range(1..10_000);
        let payment = Payment::new(&self.options.plain, &self.team, call, amount);
        let record = self.send(&payment).await;
        if !record.outcome.needs_ticket() {
            return record;
        }
        let node = self.directory.pick(&mut self.rng);
        let Some(ticket) = payment.request_ticket(&mut self.client, &node).await else {
            return record;
        };
        let ticketed = self.send(&payment.with_ticket(ticket)).await;
        ticketed.with_earlier_attempts(record)
    }

    async fn send(&mut self, payment: &Payment) -> CallRecord {
        let mut record = payment.record(payment.call());
        let mut context = CallContext {
            client: &mut self.client,
            directory: &self.directory,
            rng: &mut self.rng,
            // Only the node that issued a ticket accepts it.
            pinned: payment.issuer(),
        };
        let request = |id: &str| payment.request(id);
        send_call(&mut context, &mut record, request, &payment.expected()).await;
        record
    }

    async fn look_up(&mut self, call: &str) -> CallRecord {
        let service = &self.options.plain;
        let path = format!("/services/{service}/balance?call={call}");
        let bearer = format!("Bearer {}", self.team.key);
        let request = |id: &str| {
            Request::get(path.as_str())
                .header("authorization", &bearer)
                .header("content-type", "application/json")
                .header("x-request-id", id)
                .body(Full::default())
                .expect("header values are plain text")
        };
        let mut record = CallRecord {
            team: self.team.team.clone(),
            chat: String::new(),
            call: call.to_owned(),
            key: None,
            issuer: None,
            kind: CallKind::Lookup,
            node: String::new(),
            body_hash: hash_bytes(0, &[]),
            prompt: Vec::new(),
            answer: None,
            started: Instant::now(),
            first_byte: None,
            ended: Instant::now(),
            not_run_at: Vec::new(),
            outcome: CallOutcome::Refused,
        };
        let mut context = CallContext {
            client: &mut self.client,
            directory: &self.directory,
            rng: &mut self.rng,
            pinned: None,
        };
        let expected = Expected::Echo(Bytes::new());
        send_call(&mut context, &mut record, request, &expected).await;
        record
    }
}
