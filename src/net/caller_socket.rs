//! The socket of a caller's connection. What the caller still sends after the last response is discarded for a while, because
//! the system resets a connection that is closed with unread bytes.

use super::Body;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Time after the last response for which the caller may go on sending.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Number of bytes that are discarded in this time at most.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Size of the buffer for them.
const DISCARD_BUFFER_BYTES: usize = 8 * 1024;

/// What the connection's end depends on in a request.
#[derive(Clone, Debug)]
pub(super) struct RequestTraits {
    method: Method,
    version: Version,
    has_body: bool,
}

impl RequestTraits {
    /// Returns the traits of `req`, whose body has not been read.
    pub(super) fn of(req: &Request<Incoming>) -> Self {
        Self {
            method: req.method().clone(),
            version: req.version(),
            has_body: !req.body().is_end_stream(),
        }
    }

    /// Returns the version of HTTP of the request.
    pub(super) fn version(&self) -> Version {
        self.version
    }

    /// Returns whether only the end of the connection would end `response`.
    pub(super) fn leaves_unframed(&self, response: &Response<Body>) -> bool {
        let status = response.status();
        let has_no_body = self.method == Method::HEAD
            || is_tunnel(response, self)
            || status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        let has_length = response.body().is_end_stream()
            || response.body().size_hint().exact().is_some()
            || response.headers().contains_key(CONTENT_LENGTH);
        self.version < Version::HTTP_11 && !has_no_body && !has_length
    }
}

/// The latest response on a connection. Only the task of a connection of HTTP/1 reads and changes it.
#[derive(Debug, Default)]
pub(super) struct LatestResponse {
    /// Whether the connection carries nothing but requests and responses of HTTP/1.
    is_http1: AtomicBool,
    /// Whether the request has a body, which may not have been read to its end.
    has_request_body: AtomicBool,
}

impl LatestResponse {
    /// Registers `response`, which is about to be sent.
    pub(super) fn begin(&self, response: &Response<Body>, req: &RequestTraits) {
        let is_http1 = req.version < Version::HTTP_2 && !is_tunnel(response, req);
        self.is_http1.store(is_http1, Ordering::Relaxed);
        self.has_request_body.store(req.has_body, Ordering::Relaxed);
    }
}

/// Returns whether another protocol follows `response` on the connection.
fn is_tunnel(response: &Response<Body>, req: &RequestTraits) -> bool {
    let status = response.status();
    status == StatusCode::SWITCHING_PROTOCOLS
        || req.method == Method::CONNECT && status.is_success()
}

/// The socket of a caller's connection.
#[derive(Debug)]
pub(super) struct CallerSocket {
    stream: TcpStream,
    response: Arc<LatestResponse>,
    is_draining: Arc<AtomicBool>,
    /// Set once the connection has been shut down for sending.
    discard: Option<Discard>,
}

/// The reading of what a caller sends after the last response.
#[derive(Debug)]
struct Discard {
    timeout: Pin<Box<Sleep>>,
    bytes: usize,
}

impl CallerSocket {
    /// Wraps an accepted connection on which `response` will be registered. While `is_draining` is set, it only waits for
    /// callers whose bytes have arrived.
    pub(super) fn new(
        stream: TcpStream,
        response: Arc<LatestResponse>,
        is_draining: Arc<AtomicBool>,
    ) -> Self {
        Self {
            stream,
            response,
            is_draining,
            discard: None,
        }
    }

    /// Reads what the caller still sends. Ends when it closes the connection, when nothing can be expected of it, and at the
    /// limits of bytes and time.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let discard = self.discard.get_or_insert_with(|| Discard {
            timeout: Box::pin(tokio::time::sleep(DISCARD_TIME)),
            bytes: 0,
        });
        let mut space = [MaybeUninit::uninit(); DISCARD_BUFFER_BYTES];
        while discard.bytes < MAX_DISCARDED_BYTES {
            let mut buf = ReadBuf::uninit(&mut space);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    discard.bytes += buf.filled().len();
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => {
                    let may_send = self.response.has_request_body.load(Ordering::Relaxed)
                        && !self.is_draining.load(Ordering::Relaxed);
                    if discard.bytes == 0 && !may_send {
                        return Poll::Ready(());
                    }
                    return discard.timeout.as_mut().poll(cx);
                }
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerSocket {
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
        bufs: &[IoSlice<'_>],
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
        if self.discard.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.response.is_http1.load(Ordering::Relaxed) {
            ready!(self.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
