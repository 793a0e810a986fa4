//! One body type for everything that passes through.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use http_body_util::combinators::UnsyncBoxBody;

/// Error of a body, which ends a stream abnormally.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a request or an answer, whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Makes a body of bytes that are all there.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Makes a body of nothing.
pub fn empty_body() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Why a body could not be collected.
#[derive(Debug)]
pub enum CollectError {
    /// It is longer than allowed.
    TooLarge,
    /// It was cut short.
    Lost(BodyError),
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Tells whether the body is too long or was cut short.
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
