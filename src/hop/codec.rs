//! Encodes the heads of attempts and replies as header values, and decodes them.

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

/// Error in encoding or decoding a header value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct CodecError(String);

/// Encodes a message as CBOR in base64url, for use as a header value.
pub(super) fn to_header<T: Serialize>(message: &T) -> Result<String, CodecError> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).map_err(|err| CodecError(err.to_string()))?;
    Ok(URL_SAFE_NO_PAD.encode(buf))
}

/// Decodes a header value encoded by [`to_header`].
pub(super) fn from_header<T: DeserializeOwned>(value: &[u8]) -> Result<T, CodecError> {
    let buf = decode_base64(value)?;
    ciborium::from_reader(buf.as_slice()).map_err(|err| CodecError(err.to_string()))
}

/// Decodes base64url without padding.
pub(super) fn decode_base64(value: &[u8]) -> Result<Vec<u8>, CodecError> {
    URL_SAFE_NO_PAD
        .decode(value)
        .map_err(|err| CodecError(err.to_string()))
}

/// Encodes bytes as base64url without padding.
pub(super) fn encode_base64(bytes: &[u8]) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Builds the head of a reply with an answer.
pub(super) fn answered_reply(id: &str, answer: &Answer, hlc: String) -> HopReply {
    HopReply {
        status: Some(answer.status),
        content_type: answer.content_type.clone(),
        hint: answer.hint.clone(),
        load: Some(answer.load),
        ..empty_reply(id, HopOutcome::Answered, hlc)
    }
}

/// Builds the head of a reply with a refusal.
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

/// Builds a reply head without the optional fields.
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

/// Returns the refusal in a reply, or `None` if the request was answered. A reason that this version does not know is
/// replaced by one with the same outcome.
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
