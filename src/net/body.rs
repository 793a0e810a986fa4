//! The body type of all requests and responses.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::HeaderMap;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;

/// Error while a body is read. The body ends there, before it is complete.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a request or response, either complete in memory or streamed.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body with the content `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates an empty body.
pub fn empty_body() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns whether only the end of the connection ends the `body` of a received response.
///
/// The connection of a process that is killed ends in the same way, and so does a response whose head lost its length, so
/// such an end doesn't tell that the body is complete.
pub fn ends_with_connection<B: hyper::body::Body>(headers: &HeaderMap, body: &B) -> bool {
    if body.is_end_stream() {
        return false;
    }
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    match last {
        Some(codings) => {
            let coding = codings.as_bytes().rsplit(|byte| *byte == b',').next();
            let coding = coding.unwrap_or_default().trim_ascii();
            !coding.eq_ignore_ascii_case(b"chunked")
        }
        None => !headers.contains_key(CONTENT_LENGTH),
    }
}

/// Reason why a body could not be collected.
#[derive(Debug)]
pub enum CollectError {
    /// The body is longer than allowed.
    TooLarge,
    /// The body ended with an error before it was complete.
    Lost(BodyError),
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body is longer than `limit` or ends with an error before it is complete.
pub async fn collect<B>(body: B, limit: usize) -> Result<Bytes, CollectError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(CollectError::TooLarge),
        Err(err) => Err(CollectError::Lost(err)),
    }
}
