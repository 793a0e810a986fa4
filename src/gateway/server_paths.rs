//! Connects to backend servers, directly or through other gateways ([`crate::decide::ServerPath`]), and remembers which way
//! worked.

use super::loads::ServerLoads;
use super::metrics::GatewayMetrics;
use super::pool::ConnectError;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::ConnectFailure;
use crate::decide::Incarnation;
use crate::decide::LifeSign;
use crate::decide::PathState;
use crate::decide::ServerContact;
use crate::decide::ServerPath;
use crate::decide::is_cut_off;
use crate::decide::last_loss;
use crate::logs::Logs;
use crate::net::Connection;
use crate::net::Connector;
use crate::net::timeout_at;
use crate::peers::DirectPaths;
use crate::peers::NodeEntry;
use crate::peers::TunnelError;
use crate::peers::Tunnels;
use async_trait::async_trait;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use slog::info;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout for opening a direct connection: over ten times the longest round trip of the reference workload, including
/// the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which the next way is tried beside those that have not led to the server yet: over twice the longest round
/// trip of the reference workload, including the handshake.
const NEXT_WAY_DELAY: Duration = Duration::from_millis(50);

/// Time for which a server that has left length and chunks out is expected to do so again.
const UNFRAMED_MEMORY: Duration = Duration::from_secs(60);

/// A connection to a server and the name of its helper, if it is a tunnel.
pub(super) struct ServerConnection {
    pub(super) io: Box<dyn Connection>,
    pub(super) helper: Option<String>,
}

#[derive(Debug)]
struct Row {
    server: String,
    start_time_ms: u64,
    path: ServerPath,
    /// When the server was last lost, if it has not been seen to run on since. It may have started again.
    doubted_since: Option<BootInstant>,
    /// When an answer of it had neither a length nor chunks.
    unframed_at: Option<BootInstant>,
}

/// The paths to all servers.
pub(super) struct ServerPaths {
    connector: Arc<dyn Connector>,
    /// Opens tunnels; unset until the peers have started.
    tunnels: OnceLock<Arc<dyn Tunnels>>,
    /// Sorted by server name.
    rows: Mutex<Vec<Row>>,
    loads: ServerLoads,
    metrics: Arc<GatewayMetrics>,
    logs: Logs,
}

/// A way to a server that led nowhere.
struct FailedWay {
    /// The gateway that was asked for a tunnel; `None` for a direct connection.
    helper: Option<String>,
    err: ConnectError,
    took: Duration,
}

type Opening<'a, T = ServerConnection> = BoxFuture<'a, (Option<String>, Result<T, ConnectError>)>;

impl ServerPaths {
    pub(super) fn new(
        connector: &Arc<dyn Connector>,
        loads: &ServerLoads,
        metrics: &Arc<GatewayMetrics>,
        logs: &Logs,
    ) -> Self {
        Self {
            connector: Arc::clone(connector),
            tunnels: OnceLock::new(),
            rows: Mutex::default(),
            loads: loads.clone(),
            metrics: Arc::clone(metrics),
            logs: logs.clone(),
        }
    }

    /// Sets what opens tunnels; until then servers are only connected to directly.
    pub(super) fn set_tunnels(&self, tunnels: Arc<dyn Tunnels>) {
        // Can't fail: it is set nowhere else.
        let _ = self.tunnels.set(tunnels);
    }

    /// Connects to `server` for the request called `request`, by the way that leads there first.
    pub(super) async fn connect(
        self: &Arc<Self>,
        server: &BackendServer,
        request: &str,
    ) -> Result<ServerConnection, ConnectError> {
        let state = self.state(server);
        if state == PathState::Lost {
            return Err(ConnectError::Failed("not reached a moment ago".to_owned()));
        }
        let tunnels = self.tunnels.get();
        let helpers = tunnels.map(|tunnels| tunnels.helpers(server));
        let helpers = helpers.unwrap_or_default();
        let direct =
            || -> Opening<'_> { Box::pin(async { (None, self.open_directly(server).await) }) };
        let mut ways: VecDeque<Opening<'_>> = VecDeque::new();
        if state == PathState::Open || helpers.is_empty() {
            ways.push_back(direct());
        }
        for helper in &helpers {
            ways.push_back(Box::pin(async {
                let opened = self.open_tunnel(helper, server, request).await;
                if opened.is_ok() {
                    self.record_tunnelled(server, &helper.name);
                }
                (Some(helper.name.clone()), opened)
            }));
        }
        let mut failed = match first_of(ways).await {
            Ok(connection) => return Ok(connection),
            Err(failed) => failed,
        };
        if state == PathState::Blocked && !helpers.is_empty() {
            // The path may be free again, and the helpers may have lost theirs.
            match first_of(VecDeque::from([direct()])).await {
                Ok(connection) => return Ok(connection),
                Err(last) => failed.extend(last),
            }
        }
        let now = BootInstant::now();
        self.update_row(server, |row| {
            row.path.record_lost(now);
            row.doubted_since = Some(now);
        });
        self.log_not_reached(server, request, state, &failed);
        Err(most_telling(failed))
    }

    /// Logs each way that was tried, in the order in which they failed.
    fn log_not_reached(
        &self,
        server: &BackendServer,
        request: &str,
        state: PathState,
        failed: &[FailedWay],
    ) {
        let ways = failed.iter().map(|way| {
            let name = way.helper.as_deref().unwrap_or("direct");
            format!("{name}: {} ({} ms)", way.err, way.took.as_millis())
        });
        info!(self.logs.log(), "server not reached"; "request" => request, "server" => &server.id,
            "service" => &server.entry.service, "path" => ?state, "ways" => ways.collect::<Vec<_>>().join(", "));
    }

    /// Connects to `server` directly. The try goes on if the caller doesn't wait for it, since its result is of use for the
    /// next request.
    pub(super) async fn open_directly(
        self: &Arc<Self>,
        server: &BackendServer,
    ) -> Result<ServerConnection, ConnectError> {
        let (paths, server) = (Arc::clone(self), server.clone());
        let opening = tokio::spawn(async move {
            paths.update(&server, |path| path.record_try(BootInstant::now()));
            let connecting = paths.connector.connect(server.entry.address);
            let until = Instant::now() + CONNECT_TIMEOUT;
            let result = match timeout_at(until, connecting).await {
                Ok(Ok(io)) => Ok(ServerConnection { io, helper: None }),
                Ok(Err(err)) => Err(ConnectError::Failed(err.to_string())),
                Err(_) => Err(ConnectError::Timeout),
            };
            paths.record_direct(&server, failure_of(result.as_ref().err()));
            result
        });
        opening
            .await
            .unwrap_or_else(|err| Err(ConnectError::Failed(err.to_string())))
    }

    async fn open_tunnel(
        &self,
        helper: &NodeEntry,
        server: &BackendServer,
        request: &str,
    ) -> Result<ServerConnection, ConnectError> {
        let Some(tunnels) = self.tunnels.get() else {
            return Err(ConnectError::Failed("no other gateway".to_owned()));
        };
        let opened = tunnels.open(helper, server, request).await;
        let result = opened.as_ref().err().map_or("opened", TunnelError::label);
        self.metrics.record_tunnel_request(result);
        let io = opened.map_err(|err| ConnectError::Failed(err.to_string()))?;
        let helper = Some(helper.name.clone());
        Ok(ServerConnection { io, helper })
    }

    /// Tries the direct path to `server` and, if it is not open, helpers; keeps no connection.
    pub(super) async fn probe(self: &Arc<Self>, server: &BackendServer) {
        // The result is recorded with the path.
        let _ = self.connect(server, "").await;
    }

    /// Connects to `server` anew, directly or through other gateways; the direct way is not tried first for a request that came
    /// by a tunnel.
    pub(super) async fn reconnect(
        self: &Arc<Self>,
        server: &BackendServer,
        request: &str,
        is_tunnel: bool,
    ) -> Result<ServerConnection, ConnectError> {
        if !is_tunnel && let Ok(connection) = self.open_directly(server).await {
            return Ok(connection);
        }
        self.connect(server, request).await
    }

    /// Returns whether `server`, which can't be reached directly, runs on, as `ask` finds out on a connection through another
    /// gateway.
    pub(super) async fn is_reached_by_others<F>(
        &self,
        server: &BackendServer,
        ask: &(impl Fn(ServerConnection) -> F + Sync),
    ) -> bool
    where
        F: Future<Output = Result<(), ConnectError>> + Send,
    {
        if !self.path(server).is_unanswered() {
            self.record_direct(server, Some(ConnectFailure::Refused));
        }
        let tunnels = self.tunnels.get();
        let helpers = tunnels.map(|tunnels| tunnels.helpers(server));
        let helpers = helpers.unwrap_or_default();
        let ways = helpers.iter().map(|helper| -> Opening<'_, ()> {
            Box::pin(async {
                let asked = match self.open_tunnel(helper, server, "").await {
                    Ok(connection) => ask(connection).await,
                    Err(err) => Err(err),
                };
                if asked.is_ok() {
                    self.record_tunnelled(server, &helper.name);
                }
                (Some(helper.name.clone()), asked)
            })
        });
        let is_reached = first_of(ways.collect()).await.is_ok();
        if !is_reached {
            let now = BootInstant::now();
            self.update_row(server, |row| {
                row.doubted_since = Some(now);
                if row.path.is_unanswered() {
                    row.path.record_lost(now);
                }
            });
        }
        is_reached
    }

    /// Tries the direct path to `server`; keeps no connection.
    pub(super) async fn probe_directly(self: &Arc<Self>, server: &BackendServer) {
        // The result is recorded with the path.
        let _ = self.open_directly(server).await;
    }

    /// Records that an answer from the address of `server` may be another's. Returns whether the server is to be asked whether it
    /// lives.
    pub(super) fn record_doubt(&self, server: &BackendServer) -> bool {
        let mut is_due = false;
        self.update(server, |path| {
            is_due = path.record_doubt(BootInstant::now());
        });
        is_due
    }

    /// Records what `server` answered on a direct connection. Returns whether it answers again.
    pub(super) fn record_sign(&self, server: &BackendServer, sign: LifeSign) -> bool {
        let now = BootInstant::now();
        let was_unanswered = self.path(server).is_unanswered();
        match sign {
            LifeSign::NoAnswer | LifeSign::Reset => {
                self.update(server, |path| path.record_unanswered(now));
            }
            // A server that is full or slow is silent, too.
            LifeSign::SameProcess
            | LifeSign::OtherProcess
            | LifeSign::Unnamed
            | LifeSign::Silent => self.update(server, |path| path.record_answered(now)),
            LifeSign::Unreachable => {}
        }
        let is_unanswered = self.path(server).is_unanswered();
        if is_unanswered && !was_unanswered {
            info!(self.logs.log(), "connections to server accepted but not answered"; "server" => &server.id);
        }
        was_unanswered && !is_unanswered
    }

    /// Returns how `server` is reached.
    pub(super) fn state(&self, server: &BackendServer) -> PathState {
        let path = self.path(server);
        path.state(BootInstant::now())
    }

    /// Returns what is known of the path to `server`.
    pub(super) fn path(&self, server: &BackendServer) -> ServerPath {
        let rows = self.lock();
        let index = rows.binary_search_by(|row| row.server.as_str().cmp(&server.id));
        let row = index.ok().map(|index| &rows[index]);
        let row = row.filter(|row| row.start_time_ms == server.entry.start_time_ms);
        row.map_or_else(ServerPath::default, |row| row.path)
    }

    /// Returns whether the process that `server` names may have ended, so that another one, of another software version, may
    /// have its name and address.
    pub(super) fn may_have_restarted(&self, server: &BackendServer) -> bool {
        let rows = self.lock();
        let index = rows.binary_search_by(|row| row.server.as_str().cmp(&server.id));
        let row = index.ok().map(|index| &rows[index]);
        row.is_some_and(|row| {
            let is_doubted =
                row.start_time_ms == server.entry.start_time_ms && row.doubted_since.is_some();
            is_doubted || row.start_time_ms > server.entry.start_time_ms
        })
    }

    /// Records that `server` is another process now than the one that its entry names.
    pub(super) fn record_restart(&self, server: &BackendServer) {
        self.update_row(server, |row| row.doubted_since = Some(BootInstant::now()));
    }

    /// Records that an answer of `server` had neither a length nor chunks.
    pub(super) fn record_unframed(&self, server: &BackendServer) {
        self.update_row(server, |row| row.unframed_at = Some(BootInstant::now()));
    }

    /// Returns whether `server` may leave length and chunks out, as it has done lately.
    pub(super) fn may_be_unframed(&self, server: &BackendServer) -> bool {
        let rows = self.lock();
        let index = rows.binary_search_by(|row| row.server.as_str().cmp(&server.id));
        let unframed_at = index.ok().and_then(|index| rows[index].unframed_at);
        unframed_at.is_some_and(|at| BootInstant::now().since(at) < UNFRAMED_MEMORY)
    }

    /// Returns the servers that may have started again, and since when.
    pub(super) fn doubted(&self) -> Vec<(Incarnation, BootInstant)> {
        let rows = self.lock();
        let doubted = rows.iter().filter_map(|row| {
            let incarnation = Incarnation {
                server: row.server.clone(),
                start_time_ms: row.start_time_ms,
            };
            Some((incarnation, row.doubted_since?))
        });
        doubted.collect()
    }

    /// Records that a server was still running at `at`.
    pub(super) fn record_running(&self, incarnation: &Incarnation, at: BootInstant) {
        let mut rows = self.lock();
        let index = rows.binary_search_by(|row| row.server.cmp(&incarnation.server));
        let Ok(index) = index else { return };
        let row = &mut rows[index];
        if row.start_time_ms == incarnation.start_time_ms {
            row.doubted_since = row.doubted_since.filter(|since| *since > at);
        }
    }

    /// Returns when the last of the paths that are blocked now was lost, so that other connections may hang since then.
    pub(super) fn last_loss(&self) -> Option<BootInstant> {
        let rows = self.lock();
        last_loss(rows.iter().map(|row| &row.path), BootInstant::now())
    }

    /// Returns the number of servers that only other gateways reach.
    pub(super) fn blocked_count(&self) -> usize {
        let now = BootInstant::now();
        let rows = self.lock();
        let blocked = rows
            .iter()
            .filter(|row| row.path.state(now) == PathState::Blocked);
        blocked.count()
    }

    /// Returns the number of tunnels through other gateways, and of those that are carried for others.
    pub(super) fn tunnel_counts(&self) -> (u32, u32) {
        let tunnels = self.tunnels.get();
        tunnels.map_or((0, 0), |tunnels| tunnels.counts())
    }

    /// Removes the paths to servers that are not known any more.
    pub(super) fn prune(&self, is_known: &dyn Fn(&str) -> bool) {
        self.lock().retain(|row| is_known(&row.server));
    }

    /// Records that a direct connection was established or, with a `failure`, was not.
    fn record_direct(&self, server: &BackendServer, failure: Option<ConnectFailure>) {
        let now = BootInstant::now();
        let was_blocked = self.state(server) == PathState::Blocked;
        self.update(server, |path| match failure {
            None => path.record_connected(now),
            Some(failure) => path.record_failed(failure, now),
        });
        let is_blocked = self.state(server) == PathState::Blocked;
        self.log_change(server, (was_blocked, is_blocked));
    }

    fn record_tunnelled(&self, server: &BackendServer, helper: &str) {
        let was_blocked = self.state(server) == PathState::Blocked;
        self.update(server, |path| path.record_tunnelled(BootInstant::now()));
        let is_blocked = self.state(server) == PathState::Blocked;
        if is_blocked && !was_blocked {
            info!(self.logs.log(), "path to server blocked"; "server" => &server.id, "helper" => helper);
        }
    }

    fn log_change(&self, server: &BackendServer, (was_blocked, is_blocked): (bool, bool)) {
        if was_blocked && !is_blocked {
            info!(self.logs.log(), "path to server open again"; "server" => &server.id);
        } else if is_blocked && !was_blocked {
            info!(self.logs.log(), "path to server blocked"; "server" => &server.id);
        }
    }

    /// Calls `change` with the path to `server`, which is added if there is none.
    fn update(&self, server: &BackendServer, change: impl FnOnce(&mut ServerPath)) {
        self.update_row(server, |row| change(&mut row.path));
    }

    fn update_row(&self, server: &BackendServer, change: impl FnOnce(&mut Row)) {
        let mut rows = self.lock();
        let index = match rows.binary_search_by(|row| row.server.as_str().cmp(&server.id)) {
            Ok(index) => index,
            Err(index) => {
                let row = Row {
                    server: server.id.clone(),
                    start_time_ms: server.entry.start_time_ms,
                    path: ServerPath::default(),
                    doubted_since: None,
                    unframed_at: None,
                };
                rows.insert(index, row);
                index
            }
        };
        let row = &mut rows[index];
        if row.start_time_ms != server.entry.start_time_ms {
            row.start_time_ms = server.entry.start_time_ms;
            row.path = ServerPath::default();
            row.doubted_since = None;
            row.unframed_at = None;
        }
        change(row);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Row>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl DirectPaths for ServerPaths {
    async fn connect_directly(
        &self,
        server: &BackendServer,
    ) -> Result<Box<dyn Connection>, String> {
        if self.path(server).has_just_failed(BootInstant::now()) {
            return Err("not reached a moment ago".to_owned());
        }
        let connecting = self.connector.connect(server.entry.address);
        let connected = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(connected) => connected.map_err(|err| ConnectError::Failed(err.to_string())),
            Err(_) => Err(ConnectError::Timeout),
        };
        self.record_direct(server, failure_of(connected.as_ref().err()));
        connected.map_err(|err| err.to_string())
    }

    fn is_cut_off(&self, servers: &[BackendServer]) -> bool {
        let contact = |server: &BackendServer| {
            let contact = self.path(server).contact();
            let heard_at = contact.heard_at.max(self.loads.heard_at(server));
            ServerContact {
                heard_at,
                ..contact
            }
        };
        let contacts: Vec<ServerContact> = servers.iter().map(contact).collect();
        is_cut_off(&contacts, BootInstant::now())
    }

    fn record_heard(&self, server: &BackendServer) {
        self.loads.record_heard(server);
    }
}

/// Returns what the first way brought, or the ways that failed if none led to the server. Each way is begun when the one before has
/// failed or has led nowhere for [`NEXT_WAY_DELAY`].
async fn first_of<T>(mut ways: VecDeque<Opening<'_, T>>) -> Result<T, Vec<FailedWay>> {
    let mut openings = FuturesUnordered::new();
    let mut failed = Vec::new();
    openings.extend(ways.pop_front().map(timed));
    while !openings.is_empty() {
        let has_next = !ways.is_empty();
        tokio::select! {
            biased;
            opened = openings.next() => match opened {
                Some(Ok(connection)) => return Ok(connection),
                Some(Err(way)) => {
                    failed.push(way);
                    openings.extend(ways.pop_front().map(timed));
                }
                None => {}
            },
            () = tokio::time::sleep(NEXT_WAY_DELAY), if has_next => {
                openings.extend(ways.pop_front().map(timed));
            }
        }
    }
    Err(failed)
}

fn failure_of(err: Option<&ConnectError>) -> Option<ConnectFailure> {
    err.map(|err| match err {
        ConnectError::Timeout => ConnectFailure::TimedOut,
        ConnectError::Failed(_) => ConnectFailure::Refused,
    })
}

/// Awaits `opening` and measures it.
async fn timed<T>(opening: Opening<'_, T>) -> Result<T, FailedWay> {
    let began = Instant::now();
    let (helper, opened) = opening.await;
    let took = began.elapsed();
    opened.map_err(|err| FailedWay { helper, err, took })
}

/// Returns the error of the last direct connection, which says more than that of a helper, or else the first one.
fn most_telling(failed: Vec<FailedWay>) -> ConnectError {
    let direct = failed.iter().rposition(|way| way.helper.is_none());
    let way = failed.into_iter().nth(direct.unwrap_or_default());
    way.map_or_else(
        || ConnectError::Failed("no way to the server".to_owned()),
        |way| way.err,
    )
}
