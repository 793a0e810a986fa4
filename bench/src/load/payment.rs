//! One payment order: its key, its body, and the requests that carry it.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use super::TeamKey;
use super::client::Client;
use super::directory::NodeEntry;
use super::expected::Expected;
use super::record::CallKind;
use super::record::CallOutcome;
use super::record::CallRecord;
use crate::standin::cache::hash_bytes;

/// Longest wait for a ticket.
const TICKET_TIMEOUT: Duration = Duration::from_secs(2);

/// A key that a node issued.
pub struct Ticket {
    text: String,
    issuer: String,
}

/// One payment order, which may run at most once.
pub struct Payment {
    call: String,
    team: TeamKey,
    key: String,
    /// Node that issued the ticket, where the key is one.
    issuer: Option<String>,
    uri: String,
    body: Bytes,
}

impl Payment {
    /// Makes an order under a fresh key.
    pub fn new(service: &str, team: &TeamKey, call: &str, amount: u32) -> Payment {
        Payment {
            call: call.to_owned(),
            team: team.clone(),
            key: Uuid::now_v7().to_string(),
            issuer: None,
            uri: format!("/services/{service}/payments"),
            body: Bytes::from(json!({"call": call, "amount": amount}).to_string()),
        }
    }

    /// The same order under a ticket in place of its own key; only where the order certainly did not run so far.
    pub fn with_ticket(&self, ticket: Ticket) -> Payment {
        Payment {
            call: self.call.clone(),
            team: self.team.clone(),
            key: ticket.text,
            issuer: Some(ticket.issuer),
            uri: self.uri.clone(),
            body: self.body.clone(),
        }
    }

    /// Asks a node for a ticket.
    pub async fn request_ticket(&self, client: &mut Client, node: &NodeEntry) -> Option<Ticket> {
        let request = Request::post("/tickets")
            .header("authorization", format!("Bearer {}", self.team.key))
            .body(Full::default())
            .expect("header values are plain text");
        let asked = async {
            let answer = client.send(node.address, request).await.ok()?;
            let body = answer.into_body().collect().await.ok()?.to_bytes();
            let body: Value = serde_json::from_slice(&body).ok()?;
            Some(Ticket {
                text: body["ticket"].as_str()?.to_owned(),
                issuer: node.name.clone(),
            })
        };
        tokio::time::timeout(TICKET_TIMEOUT, asked)
            .await
            .ok()
            .flatten()
    }

    /// Id of the call.
    pub fn call(&self) -> &str {
        &self.call
    }

    /// Node that issued the ticket, where the key is one.
    pub fn issuer(&self) -> Option<&str> {
        self.issuer.as_deref()
    }

    /// The request of one attempt.
    pub fn request(&self, id: &str) -> Request<Full<Bytes>> {
        Request::post(self.uri.as_str())
            .header("authorization", format!("Bearer {}", self.team.key))
            .header("content-type", "application/json")
            .header("x-request-id", id)
            .header("idempotency-key", &self.key)
            .body(Full::new(self.body.clone()))
            .expect("header values are plain text")
    }

    /// The answer that the order must bring.
    pub fn expected(&self) -> Expected {
        Expected::Echo(self.body.clone())
    }

    /// A record of the call `call`, before its first attempt.
    pub fn record(&self, call: &str) -> CallRecord {
        CallRecord {
            team: self.team.team.clone(),
            chat: String::new(),
            call: call.to_owned(),
            key: Some(self.key.clone()),
            issuer: self.issuer.clone(),
            kind: CallKind::Payment,
            node: String::new(),
            body_hash: hash_bytes(0, &self.body),
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
