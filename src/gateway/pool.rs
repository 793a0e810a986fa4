//! Connections to backend servers: one request at a time on each, kept while the server keeps them.

use super::headers::keep_alive;
use super::headers::says_close;
use crate::catalog::BackendServer;
use crate::net::Body;
use hyper::HeaderMap;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Longest wait for a connection: over ten times the sheets' longest way there and back with its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that bytes may stay unacknowledged before a connection counts as dead: several retransmissions.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);
/// How much sooner than announced an idle connection is given up, so that a request doesn't cross its close.
const KEEP_MARGIN: Duration = Duration::from_millis(300);
/// Idle time of a connection whose server announces none: under a second is said in no other way.
const KEEP_UNANNOUNCED: Duration = Duration::from_millis(400);
/// Longest idle time; open connections may fall silent, and old ones are the likeliest.
const KEEP_MOST: Duration = Duration::from_secs(8);
/// Share of a server's connections that one node keeps idle.
const IDLE_SHARE: u32 = 16;

/// Ends the connection's task, and so the connection, unless it was kept.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that carries one request; dropping it closes it, which stops the work at the server.
pub(super) struct Lease {
    sender: SendRequest<Body>,
    task: ConnectionTask,
    server_id: String,
    born_ms: u64,
    idle_most: usize,
    is_reused: bool,
}

struct Idle {
    lease: Lease,
    since: Instant,
    keep: Duration,
}

/// Idle connections to one server, under its name.
type IdleRow = (String, VecDeque<Idle>);

/// Idle connections by server, in the order in which they fell idle.
#[derive(Clone, Default)]
pub(super) struct Pool {
    rows: Arc<Mutex<Vec<IdleRow>>>,
}

/// Why there is no connection; nothing was sent in any case.
#[derive(Clone, Debug)]
pub(super) enum ConnectError {
    Timeout,
    Failed(String),
}

impl Pool {
    /// Takes the connection that has been idle longest: a late second answer on it has had the most time to show.
    pub(super) fn take_idle(&self, server: &BackendServer) -> Option<Lease> {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let at = rows
            .binary_search_by(|(id, _)| id.as_str().cmp(&server.id))
            .ok()?;
        let idle = &mut rows[at].1;
        while let Some(entry) = idle.pop_front() {
            let is_fresh = entry.since.elapsed() < entry.keep;
            let is_same = entry.lease.born_ms == server.entry.start_time_ms;
            if is_fresh && is_same && entry.lease.sender.is_ready() {
                let mut lease = entry.lease;
                lease.is_reused = true;
                return Some(lease);
            }
        }
        None
    }

    /// Opens a connection.
    pub(super) async fn connect(server: &BackendServer, most: u32) -> Result<Lease, ConnectError> {
        let failed = |err: &dyn std::fmt::Display| ConnectError::Failed(err.to_string());
        let connecting = TcpStream::connect(server.entry.address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Err(_) => return Err(ConnectError::Timeout),
            Ok(Err(err)) => return Err(failed(&err)),
            Ok(Ok(stream)) => stream,
        };
        stream.set_nodelay(true).map_err(|err| failed(&err))?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
            .map_err(|err| failed(&err))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|err| failed(&err))?;
        // Its error also reaches the request that the connection carries.
        let task = tokio::spawn(async move { connection.await.is_ok() });
        Ok(Lease {
            sender,
            task: ConnectionTask(task.abort_handle()),
            server_id: server.id.clone(),
            born_ms: server.entry.start_time_ms,
            idle_most: (most / IDLE_SHARE).max(2) as usize,
            is_reused: false,
        })
    }

    /// Keeps a connection whose answer has been read whole, for as long as the server announced in `headers`.
    pub(super) fn keep(&self, lease: Lease, headers: &HeaderMap) {
        if says_close(headers) || lease.sender.is_closed() {
            return;
        }
        let announced = keep_alive(headers).map(|time| time.saturating_sub(KEEP_MARGIN));
        let keep = announced.unwrap_or(KEEP_UNANNOUNCED).min(KEEP_MOST);
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let at = match rows.binary_search_by(|(id, _)| id.cmp(&lease.server_id)) {
            Ok(at) => at,
            Err(at) => {
                rows.insert(at, (lease.server_id.clone(), VecDeque::new()));
                at
            }
        };
        let idle = &mut rows[at].1;
        while idle.len() >= lease.idle_most {
            idle.pop_front();
        }
        idle.push_back(Idle {
            lease,
            since: Instant::now(),
            keep,
        });
    }

    /// Closes all idle connections to a server: where one was reset or fell silent, the others likely are too.
    pub(super) fn discard(&self, server_id: &str) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.retain(|(id, _)| id != server_id);
    }

    /// Closes idle connections that are too old, and those of servers that `is_usable` no longer knows.
    pub(super) fn prune(&self, is_usable: &dyn Fn(&str) -> bool) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        for (id, idle) in rows.iter_mut() {
            if is_usable(id) {
                idle.retain(|entry| entry.since.elapsed() < entry.keep);
            } else {
                idle.clear();
            }
        }
        rows.retain(|(_, idle)| !idle.is_empty());
    }
}

impl Lease {
    /// Lends the sending half.
    pub(super) fn sender(&mut self) -> &mut SendRequest<Body> {
        &mut self.sender
    }

    /// Gives the name of the server at the other end.
    pub(super) fn server_id(&self) -> &str {
        &self.server_id
    }

    /// Tells whether the connection carried a request before.
    pub(super) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Closes the connection at once, which stops the work at the server.
    pub(super) fn close(self) {
        drop(self.task);
    }
}
