//! Checks that a body is complete before its end is passed on.

use crate::net::Body;
use crate::net::BodyError;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::SizeHint;
use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

/// Last event of every complete event stream.
pub(crate) const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// What tells that a body is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EndSign {
    /// Its length or last chunk, without which the body itself ends with an error.
    Framing,
    /// [`STREAM_END`], as in an event stream.
    Marker,
    /// Nothing, as for a body that ends with its connection.
    None,
}

/// A body ended without a sign that it is complete.
#[derive(Clone, Copy, Debug)]
pub(super) struct TruncatedError(EndSign);

impl fmt::Display for TruncatedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            EndSign::Marker => "the event stream ended without its end marker",
            EndSign::Framing | EndSign::None => "the answer ended with its connection",
        })
    }
}

impl std::error::Error for TruncatedError {}

/// Resource that is held while a body is being read.
pub(super) trait BodyGuard: Send + Unpin + 'static {
    /// Releases the resource after the complete body. If the body ends early, the resource is dropped instead.
    fn complete(self);
}

impl BodyGuard for () {
    fn complete(self) {}
}

/// A body that calls [`BodyGuard::complete`] at its end, and fails there if nothing tells that it is complete.
pub(super) struct CheckedBody<G> {
    inner: Body,
    end_sign: EndSign,
    /// Last bytes of a body that must end with [`STREAM_END`], at most as many as that has.
    tail: Vec<u8>,
    ended: bool,
    guard: Option<G>,
}

impl<G: BodyGuard> CheckedBody<G> {
    /// Wraps `inner`; `end_sign` says what tells that it is complete.
    pub(super) fn wrap(inner: Body, end_sign: EndSign, guard: G) -> Body {
        let body = Self {
            inner,
            end_sign,
            tail: Vec::new(),
            ended: false,
            guard: Some(guard),
        };
        body.boxed_unsync()
    }

    fn record_tail(&mut self, data: &[u8]) {
        if self.end_sign != EndSign::Marker {
            return;
        }
        let tail_len = STREAM_END.len();
        self.tail
            .extend_from_slice(&data[data.len().saturating_sub(tail_len)..]);
        let surplus = self.tail.len().saturating_sub(tail_len);
        self.tail.drain(..surplus);
    }

    fn end(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        self.ended = true;
        let guard = self.guard.take();
        let is_complete = match self.end_sign {
            EndSign::Framing => true,
            EndSign::Marker => self.tail == STREAM_END,
            EndSign::None => false,
        };
        if !is_complete {
            return Some(Err(Box::new(TruncatedError(self.end_sign))));
        }
        if let Some(guard) = guard {
            guard.complete();
        }
        None
    }
}

impl<G: BodyGuard> hyper::body::Body for CheckedBody<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        Poll::Ready(match std::task::ready!(polled) {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.record_tail(data);
                }
                Some(Ok(frame))
            }
            Some(Err(err)) => {
                self.ended = true;
                self.guard = None;
                Some(Err(err))
            }
            None => self.end(),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
