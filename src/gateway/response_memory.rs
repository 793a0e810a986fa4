//! Holds whole responses within a bound on the memory that all of them take together, from their first byte until they have been
//! written to their callers.

use crate::net::CollectError;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use std::convert::Infallible;
use std::error::Error;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Maximum size of one response that is not a stream; a larger one counts as broken.
pub(super) const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of all such responses that are being read or are not written yet: under half of the memory of the smallest
/// host of the reference workload.
pub(super) const MAX_TOTAL_BYTES: usize = 64 * 1024 * 1024;
/// Unit in which memory is reserved.
const UNIT_BYTES: usize = 4 * 1024;

/// Maximum size of a part that is handed over to be written. What is handed over counts as written, and the next part is taken when
/// there is room for it, as fast as the caller reads.
const PART_BYTES: usize = 64 * 1024;

/// The memory for responses that are read whole.
#[derive(Debug)]
pub(super) struct ResponseMemory {
    free: Arc<Semaphore>,
}

/// A response that was read whole; its memory is free again when this or its body is dropped.
#[derive(Debug)]
pub(super) struct HeldResponse {
    bytes: Bytes,
    reserved: Option<OwnedSemaphorePermit>,
}

impl Body for HeldResponse {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.bytes.is_empty() {
            self.reserved = None;
            return Poll::Ready(None);
        }
        let size = self.bytes.len().min(PART_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.bytes.split_to(size)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

impl Default for ResponseMemory {
    fn default() -> Self {
        Self {
            free: Arc::new(Semaphore::new(MAX_TOTAL_BYTES / UNIT_BYTES)),
        }
    }
}

impl ResponseMemory {
    /// Reads a body to its end; `on_bytes` is called whenever a part of it has come.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends with one, exceeds [`MAX_RESPONSE_BYTES`], or there is no memory for it.
    pub(super) async fn collect<B>(
        &self,
        mut body: B,
        mut on_bytes: impl FnMut(),
    ) -> Result<HeldResponse, CollectError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let mut buf = BytesMut::new();
        let mut reserved: Option<OwnedSemaphorePermit> = None;
        let mut reserved_bytes = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| CollectError::Lost(err.into()))?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            on_bytes();
            let size = buf.len() + bytes.len();
            if size > MAX_RESPONSE_BYTES {
                return Err(CollectError::TooLarge);
            }
            if size > reserved_bytes {
                let units = (size - reserved_bytes).div_ceil(UNIT_BYTES);
                let permit = Arc::clone(&self.free).try_acquire_many_owned(units as u32);
                let permit = permit.map_err(|_| CollectError::TooLarge)?;
                match &mut reserved {
                    Some(reserved) => reserved.merge(permit),
                    None => reserved = Some(permit),
                }
                reserved_bytes += units * UNIT_BYTES;
            }
            buf.extend_from_slice(&bytes);
        }
        let bytes = buf.freeze();
        Ok(HeldResponse { bytes, reserved })
    }
}
