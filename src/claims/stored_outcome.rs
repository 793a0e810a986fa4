//! Stored outcome of a call that was run, returned to the caller's retries with the same key.

use crate::net::Body;
use crate::net::CollectError;
use crate::net::collect;
use crate::net::full_body;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::owner::Answer;
use bytes::Bytes;
use std::pin::Pin;

/// Maximum size of the answer to a non-idempotent call, in bytes. For a larger answer the caller gets `unknown`.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Outcome of a call that was sent to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum StoredOutcome {
    /// The backend server answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: Option<String>,
        /// Body of the answer; `None` if it was too large to be stored or was evicted.
        body: Option<Bytes>,
    },
    /// It is not known whether the call ran.
    Unknown(Unknown),
}

impl StoredOutcome {
    /// Reads the body of `answer` to its end. Returns the answer with the complete body, and the outcome to be stored,
    /// which has the body if it is at most `max_bytes` long.
    ///
    /// # Errors
    ///
    /// Returns `unknown` if the body ends early or is larger than [`MAX_ANSWER_BYTES`].
    pub(super) async fn capture(
        answer: Answer,
        max_bytes: usize,
    ) -> Result<(Answer, Self), Refusal> {
        let body = read_body(answer.body)
            .await
            .map_err(|_| Refusal::unknown(Unknown::Truncated))?;
        let stored = Self::Answered {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: (body.len() <= max_bytes).then(|| body.clone()),
        };
        let answer = Answer {
            body: full_body(body),
            ..answer
        };
        Ok((answer, stored))
    }

    /// Returns the size of the stored body in bytes, 0 if there is none.
    pub(super) fn body_len(&self) -> usize {
        match self {
            Self::Answered { body, .. } => body.as_ref().map_or(0, Bytes::len),
            Self::Unknown(_) => 0,
        }
    }

    /// Drops the stored body to free memory.
    pub(super) fn evict_body(&mut self) {
        if let Self::Answered { body, .. } = self {
            *body = None;
        }
    }

    /// Builds the answer or refusal for a caller's retry with the same key.
    pub(super) fn retry_result(&self) -> Result<Answer, Refusal> {
        match self {
            Self::Answered {
                status,
                content_type,
                body: Some(body),
            } => Ok(Answer {
                status: *status,
                content_type: content_type.clone(),
                load: 0,
                hint: None,
                body: full_body(body.clone()),
            }),
            Self::Answered { body: None, .. } => Err(Refusal::unknown(Unknown::AnswerNotKept)),
            Self::Unknown(reason) => Err(Refusal::unknown(*reason)),
        }
    }
}

/// Reads a body to its end. The future is boxed because the compiler can't prove that the future of the generic
/// `collect` is `Send`, as spawning it requires.
fn read_body(body: Body) -> Pin<Box<dyn Future<Output = Result<Bytes, CollectError>> + Send>> {
    Box::pin(collect(body, MAX_ANSWER_BYTES))
}
