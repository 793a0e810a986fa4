//! Notices that a backend server ends its side of a connection before it has taken the whole request.
//!
//! The end of such an answer is no evidence that the answer is complete: a server that is reset while it still gets a long body
//! looks like this behind a relay that closes where it should reset (`docs/design/UNFRAMED-ANSWERS.md`).

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
}

impl<S: Connection> WatchedStream<S> {
    pub(super) fn new(stream: S, watch: &WriteWatch) -> Self {
        Self {
            stream,
            watch: watch.clone(),
        }
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
        if matches!(polled, Poll::Ready(Ok(()))) && buf.filled().len() == before {
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
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.watch.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.watch.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.watch.record_write(&polled);
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
