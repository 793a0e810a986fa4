//! Collects responses for callers that know no chunks. Only the end of its connection would end a response of unknown length to
//! them, and a relay in between ends a connection in the same way whether or not the response is complete
//! (`docs/PLATFORM.md`). So it is read to its end before the first byte is sent, and gets a length.

use super::Body;
use super::body::CollectError;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderValue;

/// Maximum size of a response that is collected.
const MAX_COLLECTED_BYTES: usize = 8 * 1024 * 1024;
/// Size that each part of a response counts for at least, since it takes memory of its own.
const MIN_PART_BYTES: usize = 128;

/// Size of a response for a caller that knows no chunks.
#[derive(Clone, Copy, Debug, Default)]
pub struct CollectedSize(usize);

impl CollectedSize {
    /// Counts a further part of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is too large to be collected.
    pub fn add(&mut self, part: &[u8]) -> Result<(), CollectError> {
        self.0 += part.len().max(MIN_PART_BYTES);
        if self.0 > MAX_COLLECTED_BYTES {
            return Err(CollectError::TooLarge);
        }
        Ok(())
    }
}

/// Reads the body of `response` to its end and sets its length. The parts are kept as they came, since they may hold
/// what accounts for their memory. Waits as long as the body takes, so its producer must end it at its deadline.
///
/// # Errors
///
/// Returns the response's head if the body ends with an error or is too large.
pub(super) async fn with_length(
    response: Response<Body>,
) -> Result<Response<Body>, Box<hyper::http::response::Parts>> {
    let (mut head, body) = response.into_parts();
    let Ok((parts, length)) = collect_parts(body).await else {
        return Err(Box::new(head));
    };
    head.headers
        .insert(CONTENT_LENGTH, HeaderValue::from(length));
    let frames = parts.into_iter().map(|part| Ok(Frame::data(part)));
    let body = StreamBody::new(stream::iter(frames));
    Ok(Response::from_parts(head, body.boxed_unsync()))
}

/// Returns the parts of `body` and their size.
async fn collect_parts(mut body: Body) -> Result<(Vec<Bytes>, usize), CollectError> {
    let (mut parts, mut length) = (Vec::new(), 0);
    let mut size = CollectedSize::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(CollectError::Lost)?;
        // HTTP/1.0 has no trailers.
        if let Ok(part) = frame.into_data() {
            size.add(&part)?;
            length += part.len();
            parts.push(part);
        }
    }
    Ok((parts, length))
}
