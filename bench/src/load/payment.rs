//! One payment order: its key, its body, and the requests that carry it.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use uuid::Uuid;

use super::TeamKey;
use super::expected::Expected;
use super::record::CallKind;
use super::record::CallRecord;
use super::record::End;
use crate::standin::cache::hash_bytes;

/// One payment order, which may run at most once.
pub struct Payment {
    call: String,
    team: TeamKey,
    key: String,
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
            uri: format!("/services/{service}/payments"),
            body: Bytes::from(json!({"call": call, "amount": amount}).to_string()),
        }
    }

    /// Id of the call.
    pub fn call(&self) -> &str {
        &self.call
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
            kind: CallKind::Payment,
            node: String::new(),
            body_hash: hash_bytes(0, &self.body),
            prompt: Vec::new(),
            answer: None,
            started: Instant::now(),
            first_byte: None,
            ended: Instant::now(),
            refused_at: Vec::new(),
            end: End::Refused,
        }
    }
}
