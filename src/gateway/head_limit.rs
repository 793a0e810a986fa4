//! Limits the bytes that a backend server sends before the head of its response is complete, and beside its body.
//!
//! The HTTP library limits the size of one head, but reads any number of interim heads before it, and chunk sizes of any length.

use crate::net::Body;
use crate::net::Connection;
use hyper::Request;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Size of the buffer into which a connection is read, and so of the largest head.
pub(super) const BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of bytes until a head is complete: the largest head after as many bytes of interim heads, or together
/// with as many bytes of the body.
const MAX_HEAD_BYTES: usize = 2 * BUFFER_BYTES;
/// Maximum number of interim heads. Each takes as long to parse as a response, however short it is.
const MAX_INTERIM_HEADS: usize = 16;

/// Maximum number of bytes of a body that are read ahead of what is taken of it, together with its chunk sizes.
const MAX_AHEAD_BYTES: usize = 4 * BUFFER_BYTES;
/// Bytes that may be read for each byte of the body: a chunk of one byte takes six.
const BYTES_PER_BODY_BYTE: usize = 8;

/// Counts the bytes that arrive on a connection.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadLimit {
    /// Bytes that may still arrive.
    left: Arc<AtomicUsize>,
}

impl HeadLimit {
    /// Starts to count, since `req` is about to be sent.
    pub(super) fn await_head(&self, req: &mut Request<Body>) {
        self.left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
        let (left, interim_heads) = (Arc::clone(&self.left), AtomicUsize::new(0));
        hyper::ext::on_informational(req, move |_| {
            if interim_heads.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_HEADS {
                left.store(0, Ordering::Relaxed);
            }
        });
    }

    /// Counts what is read of the body from now on, since the head is complete.
    pub(super) fn record_head(&self) {
        self.left.store(MAX_AHEAD_BYTES, Ordering::Relaxed);
    }

    /// Lets further bytes arrive, since `bytes` of the body have been taken.
    pub(super) fn record_body(&self, bytes: usize) {
        let further = bytes.saturating_mul(BYTES_PER_BODY_BYTE);
        let add = |left: usize| Some(left.saturating_add(further).min(MAX_AHEAD_BYTES));
        // The update always has a value.
        let _ = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Counts `bytes`, and returns an error if there are too many.
    fn count(&self, bytes: usize) -> io::Result<()> {
        let take = |left: usize| left.checked_sub(bytes);
        let taken = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        let cause = "response without end beside its body";
        taken
            .map(|_| ())
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, cause))
    }
}

/// A connection whose reads fail once a [`HeadLimit`] is exceeded.
pub(super) struct HeadLimitedStream {
    stream: Box<dyn Connection>,
    limit: HeadLimit,
}

impl HeadLimitedStream {
    pub(super) fn new(stream: Box<dyn Connection>, limit: &HeadLimit) -> Self {
        Self {
            stream,
            limit: limit.clone(),
        }
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        match polled {
            Poll::Ready(Ok(())) => Poll::Ready(self.limit.count(buf.filled().len() - before)),
            Poll::Ready(Err(_)) | Poll::Pending => polled,
        }
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
