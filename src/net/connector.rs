//! Opens connections to backend servers, behind a trait, so that tests can cut a gateway off from them.

use async_trait::async_trait;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

/// An open connection; dropping it closes the connection.
pub trait Connection: AsyncRead + AsyncWrite + Send + Unpin + 'static {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin + 'static> Connection for T {}

/// Opens connections to other processes.
#[async_trait]
pub trait Connector: Send + Sync + 'static {
    /// Opens a connection to `address`. Waits without limit for a host that does not respond, so the caller sets a timeout.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the host refuses the connection or can't be reached.
    async fn connect(&self, address: SocketAddr) -> io::Result<Box<dyn Connection>>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug)]
pub struct TcpConnector {
    /// Time for which sent bytes may stay unacknowledged before a connection counts as dead.
    pub user_timeout: Duration,
    /// Bytes that may be written before the other side has room for them. With more, a request would count as written that has
    /// never left this host.
    pub max_unsent_bytes: u32,
}

#[async_trait]
impl Connector for TcpConnector {
    async fn connect(&self, address: SocketAddr) -> io::Result<Box<dyn Connection>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(self.user_timeout))?;
        socket.set_tcp_notsent_lowat(self.max_unsent_bytes)?;
        Ok(Box::new(stream))
    }
}
