//! Holds what servers have sent and callers have not got yet, whole responses and events, within a bound on the memory that all
//! of it takes together, from the first byte until it has been written.

use crate::net::CollectError;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::error::Error;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

/// Maximum size of one response that is not a stream; a larger one counts as broken.
pub(super) const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of all that is being read or is not written yet: under half of the memory of the smallest host of the
/// reference workload.
pub(super) const MAX_TOTAL_BYTES: usize = 64 * 1024 * 1024;
/// What one server may take, as a multiple of the memory that is free. One that sends without end takes seven eighths at most,
/// and each further one leaves the others a smaller part, but never nothing.
const MAX_MULTIPLE_OF_FREE: usize = 7;

/// Maximum size of a part of a whole response; the memory of each is free once it has been written.
const PART_BYTES: usize = 64 * 1024;

/// The memory for what servers have sent.
#[derive(Debug, Default)]
pub(super) struct ResponseMemory {
    /// Bytes that all servers have taken together.
    taken: Arc<AtomicUsize>,
    /// By name, sorted; those that take nothing are removed in time.
    servers: Mutex<Vec<(String, Arc<ServerMemory>)>>,
}

/// The memory for what one server has sent.
#[derive(Debug)]
pub(super) struct ServerMemory {
    taken: AtomicUsize,
    taken_by_all: Arc<AtomicUsize>,
}

/// Memory that is free again when this is dropped.
#[derive(Debug)]
pub(super) struct Reservation {
    server: Arc<ServerMemory>,
    bytes: usize,
}

/// There is no memory for as much as a server has sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct NoMemory;

/// Bytes together with the memory that they take.
struct ReservedBytes {
    bytes: BytesMut,
    _reservation: Reservation,
}

/// A response that was read whole. It is kept in parts, since one buffer that grows takes up to three times its size.
#[derive(Debug)]
pub(super) struct HeldResponse {
    parts: VecDeque<Bytes>,
    size: usize,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Body for HeldResponse {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(part) = self.parts.pop_front() else {
            return Poll::Ready(None);
        };
        self.size -= part.len();
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.size == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.size as u64)
    }
}

impl ServerMemory {
    fn take(&self, bytes: usize) -> Result<(), NoMemory> {
        let taken_by_all = self.taken_by_all.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let taken = self.taken.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let free = MAX_TOTAL_BYTES.saturating_sub(taken_by_all);
        if taken > MAX_MULTIPLE_OF_FREE * free {
            self.give_back(bytes);
            return Err(NoMemory);
        }
        Ok(())
    }

    fn give_back(&self, bytes: usize) {
        self.taken.fetch_sub(bytes, Ordering::Relaxed);
        self.taken_by_all.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Reservation {
    /// Returns a reservation of no memory yet.
    pub(super) fn new(server: &Arc<ServerMemory>) -> Self {
        Self {
            server: Arc::clone(server),
            bytes: 0,
        }
    }

    /// Makes it a reservation of `bytes`; it stays as it is if there is no memory for more.
    pub(super) fn resize(&mut self, bytes: usize) -> Result<(), NoMemory> {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.server.take(more)?,
            None => self.server.give_back(self.bytes - bytes),
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Hands over what is reserved, and leaves a reservation of no memory.
    pub(super) fn take(&mut self) -> Self {
        let empty = Self::new(&self.server);
        std::mem::replace(self, empty)
    }

    /// Returns `bytes`, for which this was reserved until the last copy of them is dropped.
    pub(super) fn hold(self, bytes: BytesMut) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.server.give_back(self.bytes);
    }
}

impl ResponseMemory {
    /// Returns the memory for what the server called `server_id` sends.
    pub(super) fn of_server(&self, server_id: &str) -> Arc<ServerMemory> {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let find = |servers: &[(String, Arc<ServerMemory>)]| {
            servers.binary_search_by(|(id, _)| id.as_str().cmp(server_id))
        };
        if let Ok(index) = find(&servers) {
            return Arc::clone(&servers[index].1);
        }
        servers.retain(|(_, server)| Arc::strong_count(server) > 1);
        let index = find(&servers).unwrap_or_else(|index| index);
        let server = Arc::new(ServerMemory {
            taken: AtomicUsize::new(0),
            taken_by_all: Arc::clone(&self.taken),
        });
        servers.insert(index, (server_id.to_owned(), Arc::clone(&server)));
        server
    }
}

impl ServerMemory {
    /// Reads a body to its end; `on_bytes` is called whenever a part of it has come.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends with one, exceeds [`MAX_RESPONSE_BYTES`], or there is no memory for it.
    pub(super) async fn collect<B>(
        self: Arc<Self>,
        mut body: B,
        mut on_bytes: impl FnMut(usize),
    ) -> Result<HeldResponse, CollectError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let mut parts = VecDeque::new();
        let mut size = 0;
        let (mut part, mut reservation) = (BytesMut::new(), Reservation::new(&self));
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| CollectError::Lost(err.into()))?;
            let Ok(mut bytes) = frame.into_data() else {
                continue;
            };
            on_bytes(bytes.len());
            size += bytes.len();
            if size > MAX_RESPONSE_BYTES {
                return Err(CollectError::TooLarge);
            }
            // Copied, since the frame may be a small part of the buffer that the connection was read into.
            while bytes.has_remaining() {
                if part.len() == part.capacity() {
                    if !part.is_empty() {
                        parts.push_back(reservation.take().hold(std::mem::take(&mut part)));
                    }
                    part = BytesMut::with_capacity(size.min(PART_BYTES));
                    let reserved = reservation.resize(part.capacity());
                    reserved.map_err(|_| CollectError::TooLarge)?;
                }
                let count = bytes.len().min(part.capacity() - part.len());
                part.extend_from_slice(&bytes.split_to(count));
            }
        }
        if !part.is_empty() {
            parts.push_back(reservation.hold(part));
        }
        Ok(HeldResponse { parts, size })
    }
}
