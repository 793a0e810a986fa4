//! The links from one gateway to the backend servers, which can be cut while everything else stays in reach.
//!
//! A cut acts on the connections that are opened through [`ServerLinks::connect`], so it needs no rights on the host and
//! acts on one gateway of a process alone.

use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::truth::lock;

#[cfg(test)]
mod tests;

/// Bytes that a hung connection takes before writes wait, like a socket's send buffer.
const SEND_BUFFER_BYTES: usize = 256 * 1024;
/// Hung connections that were dropped here and stay open toward the server, which can't learn that; the oldest are closed.
const MAX_ORPHANS: usize = 2_000;

/// What a cut does to connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutMode {
    /// Open connections hang in both directions for good, and new ones never complete.
    Silent,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections go on, and new ones are refused.
    Refuse,
}

/// The servers that a cut separates the gateway from.
#[derive(Clone, Debug)]
pub enum CutServers {
    /// All servers.
    All,
    /// The servers with these addresses.
    Some(Vec<SocketAddr>),
}

impl CutServers {
    fn contains(&self, address: SocketAddr) -> bool {
        match self {
            Self::All => true,
            Self::Some(addresses) => addresses.contains(&address),
        }
    }
}

/// State of one connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LineState {
    Open,
    Hung,
    Reset,
}

#[derive(Debug)]
struct Line {
    address: SocketAddr,
    state: LineState,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Line {
    fn set(&mut self, state: LineState) {
        self.state = state;
        for waker in [self.reader.take(), self.writer.take()]
            .into_iter()
            .flatten()
        {
            waker.wake();
        }
    }
}

/// A connection that is kept open toward its server.
type Orphan = Box<dyn Send>;

#[derive(Default)]
struct State {
    cut: Option<(CutMode, CutServers)>,
    lines: Vec<Weak<Mutex<Line>>>,
    orphans: VecDeque<Orphan>,
}

/// The links from one gateway to the backend servers.
pub struct ServerLinks {
    /// Time after which a connection fails on which written bytes aren't acknowledged.
    user_timeout: Duration,
    state: Mutex<State>,
}

impl fmt::Debug for ServerLinks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cut = &lock(&self.state).cut;
        f.debug_struct("ServerLinks").field("cut", cut).finish()
    }
}

impl ServerLinks {
    /// Creates links that are whole. Written bytes may stay unacknowledged for `user_timeout`.
    pub fn new(user_timeout: Duration) -> Arc<Self> {
        Arc::new(Self {
            user_timeout,
            state: Mutex::default(),
        })
    }

    /// Cuts the links to `servers`; an earlier cut ends.
    pub fn cut(&self, mode: CutMode, servers: CutServers) {
        let mut state = lock(&self.state);
        let effect = match mode {
            CutMode::Silent => Some(LineState::Hung),
            CutMode::Reset => Some(LineState::Reset),
            CutMode::Refuse => None,
        };
        state.lines.retain(|line| line.strong_count() > 0);
        for line in state.lines.iter().filter_map(Weak::upgrade) {
            let mut line = lock(&line);
            let is_cut = line.state == LineState::Open && servers.contains(line.address);
            if let Some(effect) = effect.filter(|_| is_cut) {
                line.set(effect);
            }
        }
        state.cut = Some((mode, servers));
    }

    /// Ends the cut: new connections are opened again. Connections that hang stay so.
    pub fn heal(&self) {
        lock(&self.state).cut = None;
    }

    /// Opens a connection to `address` by `connecting`, unless a cut prevents that.
    ///
    /// # Errors
    ///
    /// Returns the error of `connecting`, or that the connection is refused.
    pub async fn connect<S>(
        self: &Arc<Self>,
        address: SocketAddr,
        connecting: impl Future<Output = io::Result<S>>,
    ) -> io::Result<CuttableStream<S>>
    where
        S: Send + 'static,
    {
        self.check(address).await?;
        let stream = connecting.await?;
        let line = Arc::new(Mutex::new(Line {
            address,
            state: LineState::Open,
            reader: None,
            writer: None,
        }));
        // The check and the registration are one step, so that a cut that begins meanwhile is not missed.
        let mode = {
            let mut state = lock(&self.state);
            let mode = state.mode(address);
            if mode.is_none() {
                state.lines.push(Arc::downgrade(&line));
            }
            mode
        };
        refuse_or_hang(mode).await?;
        Ok(CuttableStream {
            inner: Some(stream),
            line,
            links: Arc::clone(self),
            unacknowledged: 0,
            timeout: None,
        })
    }

    async fn check(&self, address: SocketAddr) -> io::Result<()> {
        let mode = lock(&self.state).mode(address);
        refuse_or_hang(mode).await
    }

    fn keep_open(&self, orphan: Orphan) {
        let mut state = lock(&self.state);
        if state.orphans.len() >= MAX_ORPHANS {
            state.orphans.pop_front();
        }
        state.orphans.push_back(orphan);
    }
}

impl State {
    fn mode(&self, address: SocketAddr) -> Option<CutMode> {
        let (mode, servers) = self.cut.as_ref()?;
        servers.contains(address).then_some(*mode)
    }
}

/// Treats a new connection as the cut in `mode` does, if any.
async fn refuse_or_hang(mode: Option<CutMode>) -> io::Result<()> {
    match mode {
        None => Ok(()),
        Some(CutMode::Silent) => std::future::pending().await,
        Some(CutMode::Reset | CutMode::Refuse) => Err(io::ErrorKind::ConnectionRefused.into()),
    }
}

/// A connection that a cut may hang or reset.
pub struct CuttableStream<S: Send + 'static> {
    /// `None` once the connection has failed.
    inner: Option<S>,
    line: Arc<Mutex<Line>>,
    links: Arc<ServerLinks>,
    /// Bytes that were written since the connection hangs.
    unacknowledged: usize,
    /// When the connection fails, once a byte is unacknowledged.
    timeout: Option<Pin<Box<Sleep>>>,
}

impl<S: Send + 'static> CuttableStream<S> {
    /// Returns the state, and has the task woken when it changes.
    fn state(&self, cx: &Context<'_>, is_reader: bool) -> LineState {
        let mut line = lock(&self.line);
        let waker = Some(cx.waker().clone());
        if is_reader {
            line.reader = waker;
        } else {
            line.writer = waker;
        }
        line.state
    }

    /// Closes the connection toward the server too.
    fn reset(&mut self) -> io::Error {
        self.inner = None;
        io::ErrorKind::ConnectionReset.into()
    }

    /// Waits for the end of a hung connection.
    fn poll_hung(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let Some(timeout) = &mut self.timeout else {
            return Poll::Pending;
        };
        match timeout.as_mut().poll(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => Poll::Ready(io::ErrorKind::TimedOut.into()),
        }
    }
}

impl<S: AsyncRead + Send + Unpin + 'static> AsyncRead for CuttableStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.state(cx, true) {
            LineState::Hung => self.poll_hung(cx).map(Err),
            LineState::Reset => Poll::Ready(Err(self.reset())),
            LineState::Open => match &mut self.inner {
                Some(inner) => Pin::new(inner).poll_read(cx, buf),
                None => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            },
        }
    }
}

impl<S: AsyncWrite + Send + Unpin + 'static> AsyncWrite for CuttableStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.state(cx, false) {
            LineState::Hung => {
                if let Poll::Ready(err) = self.poll_hung(cx) {
                    return Poll::Ready(Err(err));
                }
                let taken = buf.len().min(SEND_BUFFER_BYTES - self.unacknowledged);
                if taken == 0 {
                    return if buf.is_empty() {
                        Poll::Ready(Ok(0))
                    } else {
                        Poll::Pending
                    };
                }
                self.unacknowledged += taken;
                if self.timeout.is_none() {
                    let failing_at = Instant::now() + self.links.user_timeout;
                    self.timeout = Some(Box::pin(tokio::time::sleep_until(failing_at)));
                    // The reader waits for the timeout too.
                    if let Some(reader) = lock(&self.line).reader.take() {
                        reader.wake();
                    }
                }
                Poll::Ready(Ok(taken))
            }
            LineState::Reset => Poll::Ready(Err(self.reset())),
            LineState::Open => match &mut self.inner {
                Some(inner) => Pin::new(inner).poll_write(cx, buf),
                None => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            },
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.state(cx, false) {
            LineState::Hung => Poll::Ready(Ok(())),
            LineState::Reset => Poll::Ready(Err(self.reset())),
            LineState::Open => match &mut self.inner {
                Some(inner) => Pin::new(inner).poll_flush(cx),
                None => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            },
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.state(cx, false) {
            LineState::Hung => Poll::Ready(Ok(())),
            LineState::Reset => Poll::Ready(Err(self.reset())),
            LineState::Open => match &mut self.inner {
                Some(inner) => Pin::new(inner).poll_shutdown(cx),
                None => Poll::Ready(Ok(())),
            },
        }
    }
}

impl<S: Send + 'static> Drop for CuttableStream<S> {
    fn drop(&mut self) {
        let is_hung = lock(&self.line).state == LineState::Hung;
        if let Some(inner) = self.inner.take().filter(|_| is_hung) {
            self.links.keep_open(Box::new(inner));
        }
    }
}
