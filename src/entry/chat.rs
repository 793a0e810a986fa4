//! Chat completions.

use super::attempts::Job;
use super::caller::Caller;
use super::serve::Entry;
use crate::border::generated::backend::ChatRequestHead;
use crate::config::State;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::owner::Answer;
use bytes::Bytes;
use std::time::Duration;
use std::time::Instant;

/// Path of the chat completions endpoint.
pub(super) const CHAT_PATH: &str = "/v1/chat/completions";
/// Kind of the services that are models.
pub(super) const MODEL_KIND: &str = "model";

impl Entry {
    /// Handles one chat completion request.
    pub(super) async fn chat(
        &self,
        caller: &Caller,
        state: &State,
        body: &Bytes,
    ) -> Result<Answer, Refusal> {
        let head: ChatRequestHead =
            serde_json::from_slice(body).map_err(|_| Refusal::not_run(NotRun::BadRequest))?;
        let service = state
            .service(&head.model)
            .filter(|service| service.kind == MODEL_KIND)
            .ok_or(Refusal::not_run(NotRun::UnknownService))?;
        let job = Job {
            caller,
            state,
            service,
            method: "POST",
            path: CHAT_PATH,
            body,
            key: None,
            deadline: Instant::now() + Duration::from_millis(service.deadline_ms),
        };
        self.attempts().run(&job).await
    }
}
