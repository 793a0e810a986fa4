//! Reads whole responses within a bound on the memory that all of them take together.

use crate::net::CollectError;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::error::Error;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

/// Maximum size of one response that is not a stream; a larger one counts as broken.
pub(super) const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of all such responses that are being read at the same time: under half of the memory of the smallest
/// host of the reference workload.
pub(super) const MAX_TOTAL_BYTES: usize = 64 * 1024 * 1024;
/// Unit in which memory is reserved.
const UNIT_BYTES: usize = 4 * 1024;

/// The memory for responses that are being read.
#[derive(Debug)]
pub(super) struct ResponseMemory {
    free: Semaphore,
}

impl Default for ResponseMemory {
    fn default() -> Self {
        Self {
            free: Semaphore::new(MAX_TOTAL_BYTES / UNIT_BYTES),
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
    ) -> Result<Bytes, CollectError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let mut buf = BytesMut::new();
        let mut reserved: Vec<SemaphorePermit<'_>> = Vec::new();
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
                let permit = self.free.try_acquire_many(units as u32);
                reserved.push(permit.map_err(|_| CollectError::TooLarge)?);
                reserved_bytes += units * UNIT_BYTES;
            }
            buf.extend_from_slice(&bytes);
        }
        Ok(buf.freeze())
    }
}
