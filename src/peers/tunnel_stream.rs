//! The requester's end of a tunnel, as a stream of bytes.

use super::tunnel_table::OpenTunnel;
use bytes::Buf;
use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Error;
use tokio_tungstenite::tungstenite::Message;

/// Maximum number of bytes in a message.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Bytes to and from a backend server through a helper; dropping it closes the tunnel. It ends only if the server has
/// ended it: if the helper breaks off, reading fails.
pub(super) struct TunnelStream {
    socket: WebSocketStream<TcpStream>,
    /// Bytes received and not read yet.
    unread: Bytes,
    has_ended: bool,
    /// Counts the tunnel as open.
    _open: OpenTunnel,
}

impl TunnelStream {
    pub(super) fn new(socket: WebSocketStream<TcpStream>, open: OpenTunnel) -> Self {
        Self {
            socket,
            unread: Bytes::new(),
            has_ended: false,
            _open: open,
        }
    }
}

fn to_io(err: Error) -> io::Error {
    match err {
        Error::Io(err) => err,
        err => io::Error::new(io::ErrorKind::ConnectionReset, err),
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() && !self.has_ended {
            match ready!(self.socket.poll_next_unpin(cx)) {
                Some(Ok(Message::Binary(bytes))) => self.unread = bytes,
                Some(Ok(Message::Close(_))) => self.has_ended = true,
                Some(Ok(_)) => {}
                Some(Err(err)) => return Poll::Ready(Err(to_io(err))),
                None => return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            }
        }
        let count = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread[..count]);
        self.unread.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.socket.poll_ready_unpin(cx)).map_err(to_io)?;
        let count = buf.len().min(MAX_MESSAGE_BYTES);
        let message = Message::binary(Bytes::copy_from_slice(&buf[..count]));
        self.socket.start_send_unpin(message).map_err(to_io)?;
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.poll_flush_unpin(cx).map_err(to_io)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.poll_close_unpin(cx).map_err(to_io)
    }
}
