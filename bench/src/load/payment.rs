//! One payment order: its idempotency key, its body and its requests.

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

/// Maximum time for a response with a ticket.
const TICKET_TIMEOUT: Duration = Duration::from_secs(2);

/// A ticket: an idempotency key that a node issued.
pub struct Ticket {
    text: String,
    issuer: String,
}

/// One payment order, which must run at most once.
pub struct Payment {
    call: String,
    team: TeamKey,
    key: String,
    /// Node that issued the key, if the key is a ticket.
    issuer: Option<String>,
    uri: String,
    body: Bytes,
}

impl Payment {
    /// Creates an order with a new idempotency key.
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

    /// Returns the same order with a ticket as its key. Use it only if the order has certainly not run: the new key
    /// does not prevent a second run.
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

    /// Requests a ticket from a node. Returns `None` if the request fails or takes too long.
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

    /// Returns the id of the call.
    pub fn call(&self) -> &str {
        &self.call
    }

    /// Returns the node that issued the key, if the key is a ticket.
    pub fn issuer(&self) -> Option<&str> {
        self.issuer.as_deref()
    }

    /// Builds the request of one attempt.
    pub fn request(&self, id: &str) -> Request<Full<Bytes>> {
        Request::post(self.uri.as_str())
            .header("authorization", format!("Bearer {}", self.team.key))
            .header("content-type", "application/json")
            .header("x-request-id", id)
            .header("idempotency-key", &self.key)
            .body(Full::new(self.body.clone()))
            .expect("header values are plain text")
    }

    /// Returns the expected answer to the order.
    pub fn expected(&self) -> Expected {
        Expected::Echo(self.body.clone())
    }

    /// Creates the record of the call `call` before its first attempt.
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
