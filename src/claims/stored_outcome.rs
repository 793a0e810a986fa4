//! What is kept of a call that was handed over, for the repeats of its key.

use crate::net::Body;
use crate::net::CollectError;
use crate::net::collect;
use crate::net::full_body;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::owner::Answer;
use bytes::Bytes;
use std::pin::Pin;

/// Largest answer of a non-idempotent call, in bytes; a longer one is `unknown` to its caller.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The end of a call that was handed over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum StoredOutcome {
    /// The backend server answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: Option<String>,
        /// The body, where it was small enough to be kept.
        body: Option<Bytes>,
    },
    /// Nobody knows whether the call ran.
    Unknown(Unknown),
}

impl StoredOutcome {
    /// Reads an answer to its end; gives it back whole, with what is kept of it.
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

    /// Bytes of the body that is kept.
    pub(super) fn body_len(&self) -> usize {
        match self {
            Self::Answered { body, .. } => body.as_ref().map_or(0, Bytes::len),
            Self::Unknown(_) => 0,
        }
    }

    /// Lets go of the body, to make room.
    pub(super) fn evict_body(&mut self) {
        if let Self::Answered { body, .. } = self {
            *body = None;
        }
    }

    /// Makes what a repeat of the key gets.
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

/// Boxed, since the compiler can't prove that the future of the generic reader may be spawned.
fn read_body(body: Body) -> Pin<Box<dyn Future<Output = Result<Bytes, CollectError>> + Send>> {
    Box::pin(collect(body, MAX_ANSWER_BYTES))
}
