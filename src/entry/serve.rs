//! Handles requests on the caller address.

use super::AttemptSender;
use super::Calls;
use super::Settings;
use super::caller::Caller;
use super::caller::request_id;
use super::calls::ticket_answer;
use super::chat::CHAT_PATH;
use super::plain::SERVICES_PATH;
use super::reply::RequestTracker;
use crate::border::REQUEST_ID_HEADER;
use crate::config::ConfigSource;
use crate::net::Body;
use crate::net::CollectError;
use crate::net::Handler;
use crate::net::collect;
use crate::operations::Metrics;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::outcome::problem_response;
use crate::owner::Answer;
use crate::timeline::Timeline;
use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use std::net::SocketAddr;
use std::sync::Arc;

/// Path on which callers request tickets.
const TICKETS_PATH: &str = "/tickets";

/// Request handler of the caller address.
pub struct Entry {
    settings: Settings,
    config: Arc<dyn ConfigSource>,
    attempts: Arc<AttemptSender>,
    calls: Arc<Calls>,
    metrics: Arc<Metrics>,
    timeline: Arc<Timeline>,
}

impl Entry {
    /// Creates an entry that sends its requests through `attempts`, and non-idempotent ones through `calls`.
    pub fn new(
        settings: &Settings,
        config: Arc<dyn ConfigSource>,
        attempts: Arc<AttemptSender>,
        calls: Arc<Calls>,
        metrics: Arc<Metrics>,
        timeline: Arc<Timeline>,
    ) -> Self {
        Self {
            settings: settings.clone(),
            config,
            attempts,
            calls,
            metrics,
            timeline,
        }
    }

    pub(super) fn attempts(&self) -> &AttemptSender {
        &self.attempts
    }

    pub(super) fn calls(&self) -> &Calls {
        &self.calls
    }

    async fn answer(&self, request: &str, req: Request<Incoming>) -> Result<Answer, Refusal> {
        let (parts, body) = req.into_parts();
        let state = self.config.state();
        let caller = Caller::read(request, &parts.headers, &state)?;
        let path = parts.uri.path();
        if path == CHAT_PATH && parts.method == Method::POST {
            let body = self.body(body).await?;
            return self.chat(&caller, &state, &body).await;
        }
        if path == TICKETS_PATH && parts.method == Method::POST {
            return Ok(ticket_answer(self.calls.tickets(), &caller.team));
        }
        let target = parts
            .uri
            .path_and_query()
            .map_or(path, |target| target.as_str());
        let Some(rest) = target.strip_prefix(SERVICES_PATH) else {
            return Err(Refusal::not_run(NotRun::NotFound));
        };
        let body = self.body(body).await?;
        self.plain(&caller, &state, parts.method.as_str(), rest, &body)
            .await
    }

    async fn body(&self, body: Incoming) -> Result<Bytes, Refusal> {
        collect(body, self.settings.max_body_bytes)
            .await
            .map_err(|err| match err {
                CollectError::TooLarge => Refusal::not_run(NotRun::TooLarge),
                CollectError::Lost(_) => Refusal::not_run(NotRun::BadRequest),
            })
    }
}

#[async_trait]
impl Handler for Entry {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let request = request_id(req.headers());
        let metrics = Arc::clone(&self.metrics);
        let timeline = Arc::clone(&self.timeline);
        let tracker = RequestTracker::begin(metrics, timeline, &request);
        let answer = self.answer(&request, req).await;
        tracker.respond(answer)
    }

    fn incomplete_response(&self, head: &Parts) -> Response<Body> {
        let id = head.headers.get(REQUEST_ID_HEADER);
        let request = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let refusal = Refusal::unknown(Unknown::Truncated);
        let mut response = problem_response(&refusal, request);
        if let Some(id) = id {
            response.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
        }
        response
    }
}
