//! Sets a server that is a process of its own by requests, as its handle sets one in this process.

use hyper::Response;
use hyper::StatusCode;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::atomic::Ordering::Relaxed;

use super::Behavior;
use super::Framing;
use super::Shared;
use crate::http;
use crate::http::ResponseBody;
use crate::query::Query;
use crate::truth::lock;

/// Path of such requests, before their parameters.
pub(super) const PATH: &str = "/stand-in?";

/// Number of events after which a stream breaks or stalls.
const EVENTS_BEFORE: u64 = 2;

/// Returns the behaviour of this name; `None` if there is none.
fn named(name: &str) -> Option<Behavior> {
    Some(match name {
        "healthy" => Behavior::Healthy,
        "rejects" => Behavior::Rejects,
        "rejects-for" => Behavior::RejectsFor(1),
        "fails" => Behavior::Fails,
        "hangs" => Behavior::Hangs,
        "breaks" => Behavior::Breaks(EVENTS_BEFORE),
        "stalls" => Behavior::Stalls(EVENTS_BEFORE),
        "wrong-id" => Behavior::WrongRequestId,
        "no-signature" => Behavior::OmitsSignature,
        "answers-early" => Behavior::AnswersEarly,
        _ => return None,
    })
}

impl Shared {
    /// Does what the parameters of a request say.
    pub(super) fn control(&self, query: &str) -> Response<ResponseBody> {
        let Ok(query) = Query::decode(Some(query)) else {
            return http::empty(StatusCode::BAD_REQUEST);
        };
        if let Some(name) = query.text("behavior") {
            let Some(behavior) = named(name) else {
                return http::empty(StatusCode::BAD_REQUEST);
            };
            let share = query.text("share").and_then(|share| share.parse().ok());
            *lock(&self.behavior_share) = share.unwrap_or(1.0);
            *lock(&self.behavior) = behavior;
        }
        if let Some(name) = query.text("framing") {
            *lock(&self.framing) = match name {
                "unframed" => Framing::Unframed,
                "with-length" => Framing::WithLength,
                "joined-events" => Framing::JoinedEvents,
                _ => Framing::HalfEvents,
            };
        }
        if let Some(slowness) = query.number("slowness") {
            self.slowness.store(slowness as u32, Relaxed);
        }
        http::empty(StatusCode::OK)
    }

    /// Returns how it handles a request: by its behaviour or, beyond the share of that, as usual.
    pub(super) fn behavior_for(&self, request_id: &str) -> Behavior {
        let mut hasher = DefaultHasher::new();
        (request_id, &self.id).hash(&mut hasher);
        let drawn = hasher.finish() as f64 / u64::MAX as f64;
        if drawn < *lock(&self.behavior_share) {
            *lock(&self.behavior)
        } else {
            Behavior::Healthy
        }
    }
}
