//! Notices that a backend server ends its side of a connection before it has taken the whole request.
//!
//! The end of such an answer is no evidence that the answer is complete: a server that is reset while it still gets a long body
//! looks like this behind a relay that closes where it should reset (`docs/design/UNFRAMED-ANSWERS.md`).
//!
//! A server may also answer whole and framed before it has taken the request, and then reset the connection. So a write that fails
//! does not end the connection before what has arrived is read.

use crate::net::Connection;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

#[derive(Debug, Default)]
struct State {
    /// Whether bytes wait to be written.
    is_pending: AtomicBool,
    has_ended_early: AtomicBool,
}

/// Tells of a [`WatchedStream`] what its reader needs to know.
#[derive(Clone, Debug, Default)]
pub(super) struct WriteWatch {
    state: Arc<State>,
}

impl WriteWatch {
    /// Returns whether the other side has ended the connection while bytes still waited to be written.
    pub(super) fn has_ended_early(&self) -> bool {
        self.state.has_ended_early.load(Ordering::Relaxed)
    }

    fn record_write<T>(&self, polled: &Poll<T>) {
        self.state
            .is_pending
            .store(polled.is_pending(), Ordering::Relaxed);
    }

    fn record_end(&self) {
        if self.state.is_pending.load(Ordering::Relaxed) {
            self.state.has_ended_early.store(true, Ordering::Relaxed);
        }
    }
}

/// A connection whose writes a [`WriteWatch`] follows.
pub(super) struct WatchedStream<S> {
    stream: S,
    watch: WriteWatch,
    /// Why a write has failed, once one has.
    write_failure: Option<io::ErrorKind>,
}

impl<S: Connection> WatchedStream<S> {
    pub(super) fn new(stream: S, watch: &WriteWatch) -> Self {
        Self {
            stream,
            watch: watch.clone(),
            write_failure: None,
        }
    }

    /// Writes with `write`, or waits if a write has failed: the reader is told of that after it has read what has arrived.
    fn poll_with<T>(
        &mut self,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut S>, &mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if self.write_failure.is_some() {
            return Poll::Pending;
        }
        let mut polled = write(Pin::new(&mut self.stream), cx);
        if let Poll::Ready(Err(err)) = &polled {
            self.write_failure = Some(err.kind());
            cx.waker().wake_by_ref();
            polled = Poll::Pending;
        }
        self.watch.record_write(&polled);
        polled
    }
}

impl<S: Connection> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            return polled;
        }
        // The failed write may have taken the connection's error, so that reading only finds the end.
        if let Some(kind) = self.write_failure {
            return Poll::Ready(Err(kind.into()));
        }
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.watch.record_end();
        }
        polled
    }
}

impl<S: Connection> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream, cx| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream, cx| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_with(cx, S::poll_flush)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
