//! Pool of connections to backend servers. Each carries one request at a time, and is kept for further requests until
//! shortly before the server would close it.

use super::head_limit::BUFFER_BYTES;
use super::head_limit::HeadLimit;
use super::head_limit::HeadLimitedStream;
use super::headers::has_connection_close;
use super::headers::keep_alive_timeout;
use super::server_paths::ServerConnection;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::logs::Logs;
use crate::net::Body;
use crate::net::Connector;
use crate::net::TcpConnector;
use hyper::HeaderMap;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use slog::info;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use tokio::task::AbortHandle;

/// Time for which sent bytes may stay unacknowledged before the connection counts as dead. It exceeds the time that callers
/// wait for the next event of a stream, since a sound host may be silent for a second or two.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after the deadline of a stream at which it is closed if nobody reads it. It begins when this process takes note of the
/// deadline, so that what has arrived during a pause of the process is still passed on.
const UNREAD_MARGIN: Duration = Duration::from_millis(250);
/// Time before the announced idle timeout at which a connection is closed here, so that no request is sent while the
/// server closes it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(300);
/// Idle timeout if the server announces none. The header counts whole seconds, so a server can't announce an idle
/// timeout below one second.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum idle time: a connection may die without a close, most likely one that has been idle for long.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// A node keeps at most `max_connections / IDLE_DIVISOR` connections to a server idle, but at least two are allowed.
const IDLE_DIVISOR: u32 = 16;

/// The task that drives a connection; dropping this handle aborts the task and closes the connection.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Closes a connection at a certain time, unless it is dropped before.
pub(super) struct ConnectionEnd {
    timer: AbortHandle,
    has_come: Arc<AtomicBool>,
}

impl ConnectionEnd {
    /// Returns whether the time has come and the connection was closed.
    pub(super) fn has_come(&self) -> bool {
        self.has_come.load(Ordering::Relaxed)
    }
}

impl Drop for ConnectionEnd {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

/// A connection in use for one request; dropping it closes the connection, which stops the work at the server.
pub(super) struct Lease {
    sender: SendRequest<Body>,
    task: ConnectionTask,
    head_limit: HeadLimit,
    server_id: String,
    /// Start time of the server's incarnation; a connection is not reused for another incarnation.
    server_start_time_ms: u64,
    /// Maximum number of idle connections to this server in the pool.
    max_idle: usize,
    is_reused: bool,
    opened_at: BootInstant,
    /// Name of the gateway that carries the connection, if it is a tunnel.
    helper: Option<String>,
}

struct IdleConnection {
    lease: Lease,
    /// When the connection became idle.
    since: Instant,
    /// Idle time after which the connection is no longer used.
    timeout: Duration,
}

/// The name of a server and its idle connections.
type ServerIdle = (String, VecDeque<IdleConnection>);

/// Idle connections by server, the longest idle first.
#[derive(Clone, Default)]
pub(super) struct Pool {
    by_server: Arc<Mutex<Vec<ServerIdle>>>,
}

/// The reason why no connection was opened; nothing was sent.
#[derive(Clone, Debug)]
pub(super) enum ConnectError {
    Timeout,
    Failed(String),
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Timeout => "connecting timed out",
            Self::Failed(cause) => cause,
        })
    }
}

/// Returns the connector for connections to backend servers.
pub fn server_connector() -> Arc<dyn Connector> {
    Arc::new(TcpConnector {
        user_timeout: TCP_USER_TIMEOUT,
    })
}

impl Pool {
    /// Takes the usable connection that has been idle longest. A connection must not be reused if the server sends a
    /// surplus response on it late; on the longest idle connection such a response has had the most time to arrive.
    ///
    /// Those idle since before `not_before` are closed, since they may hang. One that was opened before `opened_before` is taken
    /// first.
    pub(super) fn take_idle(
        &self,
        server: &BackendServer,
        not_before: Option<Instant>,
        opened_before: Option<BootInstant>,
    ) -> Option<Lease> {
        let mut by_server = self
            .by_server
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let index = by_server
            .binary_search_by(|(id, _)| id.as_str().cmp(&server.id))
            .ok()?;
        let idle = &mut by_server[index].1;
        if let Some(opened_before) = opened_before
            && let Some(index) = idle
                .iter()
                .position(|it| it.lease.opened_at < opened_before)
            && let Some(entry) = idle.remove(index)
        {
            idle.push_front(entry);
        }
        while let Some(entry) = idle.pop_front() {
            let is_fresh = entry.since.elapsed() < entry.timeout
                && not_before.is_none_or(|not_before| entry.since >= not_before);
            let is_same = entry.lease.server_start_time_ms == server.entry.start_time_ms;
            if is_fresh && is_same && entry.lease.sender.is_ready() {
                let mut lease = entry.lease;
                lease.is_reused = true;
                return Some(lease);
            }
        }
        None
    }

    /// Returns whether a connection to `server` is idle that was opened before `opened_before`.
    pub(super) fn has_idle(&self, server: &BackendServer, opened_before: BootInstant) -> bool {
        let by_server = self
            .by_server
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let index = by_server.binary_search_by(|(id, _)| id.as_str().cmp(&server.id));
        index.is_ok_and(|index| {
            by_server[index].1.iter().any(|entry| {
                entry.since.elapsed() < entry.timeout
                    && entry.lease.server_start_time_ms == server.entry.start_time_ms
                    && entry.lease.opened_at < opened_before
                    && entry.lease.sender.is_ready()
            })
        })
    }

    /// Prepares a connection to `server` for requests. The server accepts at most `max_connections` from all its clients
    /// together.
    pub(super) async fn lease(
        connection: ServerConnection,
        server: &BackendServer,
        max_connections: u32,
    ) -> Result<Lease, ConnectError> {
        let failed = |err: &dyn std::fmt::Display| ConnectError::Failed(err.to_string());
        let ServerConnection { io, helper } = connection;
        let head_limit = HeadLimit::default();
        let stream = HeadLimitedStream::new(io, &head_limit);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| failed(&err))?;
        // The request on the connection fails with the same error, so it is ignored here.
        let task = tokio::spawn(async move { connection.await.is_ok() });
        Ok(Lease {
            sender,
            task: ConnectionTask(task.abort_handle()),
            head_limit,
            server_id: server.id.clone(),
            server_start_time_ms: server.entry.start_time_ms,
            max_idle: (max_connections / IDLE_DIVISOR).max(2) as usize,
            is_reused: false,
            opened_at: BootInstant::now(),
            helper,
        })
    }

    /// Keeps a connection whose response has been read whole until shortly before the idle timeout that the server
    /// announced in `headers`, or for [`DEFAULT_IDLE_TIMEOUT`] if it announced none. If the pool already holds the
    /// maximum of idle connections to the server, the longest idle one is closed. A tunnel carries one request, so it is
    /// closed.
    pub(super) fn put_idle(&self, lease: Lease, headers: &HeaderMap) {
        let is_tunnel = lease.helper.is_some();
        if is_tunnel || has_connection_close(headers) || lease.sender.is_closed() {
            return;
        }
        let announced =
            keep_alive_timeout(headers).map(|time| time.saturating_sub(IDLE_TIMEOUT_MARGIN));
        let timeout = announced
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .min(MAX_IDLE_TIMEOUT);
        let mut by_server = self
            .by_server
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let index = match by_server.binary_search_by(|(id, _)| id.cmp(&lease.server_id)) {
            Ok(index) => index,
            Err(index) => {
                by_server.insert(index, (lease.server_id.clone(), VecDeque::new()));
                index
            }
        };
        let idle = &mut by_server[index].1;
        while idle.len() >= lease.max_idle {
            idle.pop_front();
        }
        idle.push_back(IdleConnection {
            lease,
            since: Instant::now(),
            timeout,
        });
    }

    /// Closes all idle connections to a server; called when one was reset or timed out, as the others are likely dead
    /// too.
    pub(super) fn close_idle(&self, server_id: &str) {
        let mut by_server = self
            .by_server
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        by_server.retain(|(id, _)| id != server_id);
    }

    /// Closes idle connections whose idle timeout has passed, and those to servers that are no longer usable.
    pub(super) fn prune(&self, is_usable: &dyn Fn(&str) -> bool) {
        let mut by_server = self
            .by_server
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (id, idle) in by_server.iter_mut() {
            if is_usable(id) {
                idle.retain(|entry| entry.since.elapsed() < entry.timeout);
            } else {
                idle.clear();
            }
        }
        by_server.retain(|(_, idle)| !idle.is_empty());
    }
}

impl Lease {
    /// Has the connection closed soon after `deadline`, whether or not anybody reads from it then.
    pub(super) fn close_after(&self, deadline: tokio::time::Instant, logs: &Logs) -> ConnectionEnd {
        let has_come = Arc::new(AtomicBool::new(false));
        let task = self.task.0.clone();
        let (has_ended, logs, server) =
            (Arc::clone(&has_come), logs.clone(), self.server_id.clone());
        let timer = tokio::spawn(async move {
            tokio::time::sleep_until(deadline).await;
            tokio::time::sleep(UNREAD_MARGIN).await;
            has_ended.store(true, Ordering::Relaxed);
            info!(logs.log(), "stream closed that its caller did not read"; "server" => server);
            task.abort();
        });
        ConnectionEnd {
            timer: timer.abort_handle(),
            has_come,
        }
    }

    /// Returns the sending half of the connection.
    pub(super) fn sender(&mut self) -> &mut SendRequest<Body> {
        &mut self.sender
    }

    /// Returns the limit on the bytes before the head of a response.
    pub(super) fn head_limit(&self) -> &HeadLimit {
        &self.head_limit
    }

    /// Returns the name of the server at the other end.
    pub(super) fn server_id(&self) -> &str {
        &self.server_id
    }

    /// Returns the name of the gateway that carries the connection, if it is a tunnel.
    pub(super) fn helper(&self) -> Option<&str> {
        self.helper.as_deref()
    }

    /// Returns when the connection was opened.
    pub(super) fn opened_at(&self) -> BootInstant {
        self.opened_at
    }

    /// Returns whether the connection has carried a request before.
    pub(super) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Closes the connection at once, which stops the work at the server.
    pub(super) fn close(self) {
        drop(self.task);
    }
}
