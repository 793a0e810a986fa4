//! Connections of a caller.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use tokio::task::AbortHandle;

use crate::standin::balancer;
use crate::truth::lock;

/// Time within which a connection must open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An open connection, which is closed at once when it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Number of the gateway that it leads to.
    pub(super) gateway: usize,
    task: AbortHandle,
    /// Until when it may be used again.
    usable_until: Option<Instant>,
}

impl Connection {
    /// Returns whether an answer came on it before.
    pub(super) fn is_used(&self) -> bool {
        self.usable_until.is_some()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The idle connections of a caller.
#[derive(Debug)]
pub(super) struct Pool {
    balancer: SocketAddr,
    /// How long it keeps idle connections; `None` if it keeps none.
    max_idle: Option<Duration>,
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    pub(super) fn new(balancer: SocketAddr, max_idle: Option<Duration>) -> Self {
        Self {
            balancer,
            max_idle,
            idle: Mutex::default(),
        }
    }

    /// Returns an idle connection, or a new one.
    pub(super) async fn get(&self) -> io::Result<Connection> {
        let idle = {
            let mut idle = lock(&self.idle);
            let now = Instant::now();
            idle.retain(|it| !it.sender.is_closed() && it.usable_until.is_some_and(|at| at > now));
            let ready = idle.iter().position(|it| it.sender.is_ready());
            ready.map(|number| idle.swap_remove(number))
        };
        match idle {
            Some(connection) => Ok(connection),
            None => self.get_new().await,
        }
    }

    /// Opens a connection.
    pub(super) async fn get_new(&self) -> io::Result<Connection> {
        connect(self.balancer).await
    }

    /// Takes back a connection on which a whole answer came, which named for how long it may be idle.
    pub(super) fn put(&self, mut connection: Connection, server_idle: Option<Duration>) {
        let Some(max_idle) = self.max_idle else {
            return;
        };
        let idle = server_idle.map_or(max_idle, |it| it.min(max_idle));
        connection.usable_until = Some(Instant::now() + idle);
        lock(&self.idle).push(connection);
    }
}

async fn connect(to: SocketAddr) -> io::Result<Connection> {
    let open = async {
        let (gateway, stream) = balancer::connect(to).await?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // Whoever uses the connection sees its errors.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            gateway,
            task: task.abort_handle(),
            usable_until: None,
        })
    };
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, open).await;
    opened.map_err(|_| io::ErrorKind::TimedOut)?
}
