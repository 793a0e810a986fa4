//! Turns the heads of attempts and replies into header values and back.

use super::PROTOCOL_VERSION;
use crate::border::generated::peer::HopOutcome;
use crate::border::generated::peer::HopReply;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::owner::Answer;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Why a head can't be read or written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct CodecError(String);

/// Writes a message as CBOR in base64url, fit for a header.
pub(super) fn to_header<T: Serialize>(message: &T) -> Result<String, CodecError> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).map_err(|err| CodecError(err.to_string()))?;
    Ok(URL_SAFE_NO_PAD.encode(buf))
}

/// Reads what [`to_header`] wrote.
pub(super) fn from_header<T: DeserializeOwned>(value: &[u8]) -> Result<T, CodecError> {
    let buf = decode_base64(value)?;
    ciborium::from_reader(buf.as_slice()).map_err(|err| CodecError(err.to_string()))
}

/// Reads base64url.
pub(super) fn decode_base64(value: &[u8]) -> Result<Vec<u8>, CodecError> {
    URL_SAFE_NO_PAD
        .decode(value)
        .map_err(|err| CodecError(err.to_string()))
}

/// Writes base64url.
pub(super) fn encode_base64(bytes: &[u8]) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Makes the head of a reply that carries an answer.
pub(super) fn answered_reply(id: &str, answer: &Answer, hlc: String) -> HopReply {
    HopReply {
        status: Some(answer.status),
        content_type: answer.content_type.clone(),
        hint: answer.hint.clone(),
        load: Some(answer.load),
        ..empty_reply(id, HopOutcome::Answered, hlc)
    }
}

/// Makes the head of a reply that refuses.
pub(super) fn refused_reply(id: &str, refusal: &Refusal, hlc: String) -> HopReply {
    let reason = Some(refusal.reason().to_owned());
    match refusal {
        Refusal::NotRun {
            retry_after, next, ..
        } => HopReply {
            reason,
            retry_after_ms: retry_after.map(|wait| wait.as_millis() as u64),
            next: next.clone(),
            ..empty_reply(id, HopOutcome::NotRun, hlc)
        },
        Refusal::Unknown { .. } => HopReply {
            reason,
            ..empty_reply(id, HopOutcome::Unknown, hlc)
        },
    }
}

fn empty_reply(id: &str, outcome: HopOutcome, hlc: String) -> HopReply {
    HopReply {
        v: PROTOCOL_VERSION,
        id: id.to_owned(),
        outcome,
        reason: None,
        retry_after_ms: None,
        status: None,
        content_type: None,
        hint: None,
        next: None,
        load: None,
        config: None,
        hlc,
    }
}

/// Reads the refusal out of a reply; a reason that this version does not know keeps its outcome.
pub(super) fn refusal_of(reply: &HopReply) -> Option<Refusal> {
    let reason = reply.reason.as_deref().unwrap_or_default();
    match reply.outcome {
        HopOutcome::Answered => None,
        HopOutcome::NotRun => Some(Refusal::NotRun {
            reason: NotRun::from_name(reason).unwrap_or(NotRun::RefusedByBackend),
            retry_after: reply.retry_after_ms.map(Duration::from_millis),
            next: reply.next.clone(),
        }),
        HopOutcome::Unknown => Some(Refusal::unknown(
            Unknown::from_name(reason).unwrap_or(Unknown::ConnectionLost),
        )),
    }
}
