//! Handles requests about streams that an engine has already started: an entry that lost its connection resumes the
//! stream, or cancels it.

use super::Answer;
use super::Attempt;
use super::Owner;
use super::admission::class_of;
use super::checked_body::CheckedBody;
use super::checked_body::EndSign;
use super::handover::end_without_answer;
use super::handover::event;
use super::handover::refusal;
use super::in_flight::InFlightRequest;
use crate::membership::Backend;
use crate::net::empty_body;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::timeline::EventKind;
use std::sync::Arc;

/// Path prefix of an engine's streams; the id of the attempt that started the stream follows.
pub(crate) const STREAMS_PATH: &str = "/v1/streams/";

/// HTTP status of an answer without a body.
const NO_CONTENT: u16 = 204;

impl Owner {
    /// Resumes or cancels a stream if `attempt` asks for that; returns `None` for any other attempt.
    pub(super) async fn handle_stream_request(
        &self,
        attempt: &Attempt,
        backend: &Backend,
    ) -> Option<Result<Answer, Refusal>> {
        let head = &attempt.head;
        let id = head.path.strip_prefix(STREAMS_PATH)?;
        if !backend.is_engine {
            return None;
        }
        Some(match (head.method.as_str(), head.resume_from) {
            ("GET", Some(from)) => self.resume(attempt, backend, id, from).await,
            ("DELETE", None) => self.cancel(attempt, backend, id).await,
            _ => Err(Refusal::not_run(NotRun::BadRequest)),
        })
    }

    async fn resume(
        &self,
        attempt: &Attempt,
        backend: &Backend,
        id: &str,
        from: u64,
    ) -> Result<Answer, Refusal> {
        let head = &attempt.head;
        // The stream is already in flight, so it is counted before the engine is asked to resume it.
        let engine = self.backends.engine(backend.address);
        let guard = self
            .backend_state(&backend.name)
            .admit_unchecked(class_of(head));
        let mut in_flight = InFlightRequest::new(guard, id, Some(Arc::clone(&engine)));
        in_flight.record_started();
        let answer = match engine.resume(id, from).await {
            Ok(answer) => answer,
            Err(err) => return Err(end_without_answer(in_flight, &err)),
        };
        self.timeline.event(event(EventKind::Resumed, head));
        Ok(Answer {
            status: answer.status,
            content_type: answer.content_type,
            load: in_flight.load(),
            hint: None,
            // The entry has the complete stream and checks its end.
            body: CheckedBody::wrap(answer.body, EndSign::Framing, in_flight),
        })
    }

    async fn cancel(
        &self,
        attempt: &Attempt,
        backend: &Backend,
        id: &str,
    ) -> Result<Answer, Refusal> {
        let engine = self.backends.engine(backend.address);
        engine.cancel(id).await.map_err(|err| refusal(&err))?;
        self.timeline
            .event(event(EventKind::Cancelled, &attempt.head));
        Ok(Answer {
            status: NO_CONTENT,
            content_type: None,
            load: self.backend_state(&backend.name).started_load(),
            hint: None,
            body: empty_body(),
        })
    }
}
