//! Tells an answer that its server has finished from one that ended because its server did.
//!
//! An answer without length or chunks ends with its connection, and the host of a process that is killed closes that as the
//! process itself would have done (`docs/PLATFORM.md`). One that ended before its server had taken the request is never complete,
//! since a relay may have closed the connection for a server that reset it.

use super::attempt::ServerResponse;
use super::handler::Gateway;
use super::life_sign::LifeSign;
use super::life_sign::Question;
use super::server_paths::ServerConnection;
use super::stream_record::BodyEnd;
use super::write_watch::WriteWatch;
use crate::catalog::BackendServer;
use crate::net::timeout_at;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time within which the kernel closes all connections of a process that was killed.
const CLOSING_TIME: Duration = Duration::from_millis(50);

/// Time for which a request waits for the connection beside it.
const OPENING_TIME: Duration = Duration::from_millis(50);

/// A connection to a server that is opened beside a request. What answers on it after the end of the request's answer is no server
/// that started after the connection was opened, though it may be another worker process of the same one.
pub(super) struct Witness {
    /// Completes when the connection is open, or can't be opened.
    opened: oneshot::Receiver<()>,
    /// Ends the task, which gives the connection or when it ended.
    wanted: oneshot::Sender<()>,
    task: JoinSet<Result<ServerConnection, Instant>>,
}

impl Witness {
    /// Starts to connect to `server` for the request called `request_id`; through another gateway if `is_tunnel`.
    pub(super) fn open(
        gateway: &Arc<Gateway>,
        server: &BackendServer,
        request_id: &str,
        is_tunnel: bool,
    ) -> Self {
        let (gateway, server) = (Arc::clone(gateway), server.clone());
        let request_id = request_id.to_owned();
        let (wanted, is_wanted) = oneshot::channel();
        let (is_opened, opened) = oneshot::channel();
        let mut task = JoinSet::new();
        task.spawn(async move {
            let reconnecting = gateway.paths.reconnect(&server, &request_id, is_tunnel);
            let Ok(mut connection) = reconnecting.await else {
                return Err(Instant::now());
            };
            // Nobody waits for a connection that is opened at the end.
            let _ = is_opened.send(());
            let mut buf = [0];
            tokio::select! {
                _ = is_wanted => Ok(connection),
                // A server sends nothing that it was not asked for, so the connection has ended.
                _ = connection.io.read(&mut buf) => Err(Instant::now()),
            }
        });
        Self {
            opened,
            wanted,
            task,
        }
    }

    /// Waits until the connection is open, for a short time at most.
    pub(super) async fn wait_until_open(&mut self) {
        // Without it the answer is judged as that of a server that takes no further connection.
        let _ = tokio::time::timeout(OPENING_TIME, &mut self.opened).await;
    }

    /// Returns the connection, or when it ended; waits for it until `deadline`.
    async fn close(mut self, deadline: Instant) -> Result<ServerConnection, Instant> {
        // A task that has ended needs no signal, and a panic in it has already been reported.
        let _ = self.wanted.send(());
        match timeout_at(deadline, self.task.join_next()).await {
            Ok(Some(Ok(result))) => result,
            _ => Err(Instant::now()),
        }
    }
}

/// Finds out whether the end of one answer's body is the end of the answer.
pub(super) struct EndCheck {
    body_end: BodyEnd,
    gateway: Arc<Gateway>,
    server: BackendServer,
    question: Question,
    request_id: String,
    /// Whether another gateway carries the connection.
    is_tunnel: bool,
    write_watch: WriteWatch,
    /// For a plain server, which tells its name, but not its start. A model engine tells both, and gets none.
    witness: Option<Witness>,
}

impl EndCheck {
    /// Returns the check for the answer of `server` to a request, of which the head has arrived. `witness` was opened before the
    /// request was sent, if there is one.
    pub(super) fn new(
        response: &ServerResponse,
        gateway: &Arc<Gateway>,
        (server, question): (&BackendServer, &Question),
        request_id: &str,
        witness: Option<Witness>,
    ) -> Self {
        let lease = &response.lease;
        let is_tunnel = lease.helper().is_some();
        let body_end = BodyEnd::of(&response.head.headers, &response.body);
        let is_plain = matches!(question, Question::Health(_));
        let needs_witness = body_end == BodyEnd::Connection && is_plain;
        if needs_witness {
            gateway.paths.record_unframed(server);
        }
        let witness = needs_witness.then(|| {
            witness.unwrap_or_else(|| Witness::open(gateway, server, request_id, is_tunnel))
        });
        Self {
            body_end,
            gateway: Arc::clone(gateway),
            server: server.clone(),
            question: question.clone(),
            request_id: request_id.to_owned(),
            is_tunnel,
            write_watch: lease.write_watch().clone(),
            witness,
        }
    }

    /// Returns what tells that the answer is complete.
    pub(super) fn body_end(&self) -> BodyEnd {
        self.body_end
    }

    /// Returns whether the body, which has ended without an error, is complete; `false` if that is not known at `deadline`.
    pub(super) async fn is_complete(&mut self, deadline: Instant) -> bool {
        if self.body_end != BodyEnd::Connection {
            return true;
        }
        if self.write_watch.has_ended_early() {
            info!(self.gateway.logs.log(), "answer without length ended before its request was taken";
                "request" => &self.request_id, "server" => &self.server.id);
            return false;
        }
        let asked_at = Instant::now();
        let sign = self.life_sign(deadline).await;
        let gateway = &self.gateway;
        gateway.metrics.record_unframed_end(sign.as_str());
        info!(gateway.logs.log(), "answer without length ended"; "request" => &self.request_id,
            "server" => &self.server.id, "sign" => sign.as_str(), "ms" => asked_at.elapsed().as_millis() as u64);
        sign == LifeSign::SameProcess
    }

    async fn life_sign(&mut self, deadline: Instant) -> LifeSign {
        let ended_at = Instant::now();
        let lost_at = match self.witness.take() {
            Some(witness) => match witness.close(deadline).await {
                Ok(connection) => return self.ask(connection, deadline).await,
                Err(lost_at) => Some(lost_at),
            },
            None => None,
        };
        // One that was lost while the server still wrote is no sign of the server's end: full servers reset further connections,
        // and idle ones are closed.
        if lost_at.is_some_and(|lost_at| lost_at + CLOSING_TIME >= ended_at) {
            return LifeSign::Unreachable;
        }
        let (gateway, server) = (&self.gateway, &self.server);
        let witness = Witness::open(gateway, server, &self.request_id, self.is_tunnel);
        match witness.close(deadline).await {
            Ok(connection) => self.ask(connection, deadline).await,
            Err(_) => LifeSign::Unreachable,
        }
    }

    async fn ask(&self, connection: ServerConnection, deadline: Instant) -> LifeSign {
        let (gateway, server) = (&self.gateway, &self.server);
        let asking = gateway.ask_for_life_sign(server, &self.question, connection, deadline);
        asking.await
    }
}
