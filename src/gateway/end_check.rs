//! Tells an answer that its server has finished from one that ended because its server did.
//!
//! An answer without length or chunks ends with its connection, and the host of a process that is killed closes that as the
//! process itself would have done (`docs/PLATFORM.md`).

use super::handler::Gateway;
use super::life_sign::LifeSign;
use super::pool::ConnectError;
use super::server_paths::ServerConnection;
use super::stream_record::BodyEnd;
use crate::catalog::BackendServer;
use crate::net::timeout_at;
use hyper::HeaderMap;
use hyper::body::Incoming;
use slog::info;
use std::sync::Arc;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Finds out whether the end of one answer's body is the end of the answer.
pub(super) struct EndCheck {
    body_end: BodyEnd,
    gateway: Arc<Gateway>,
    server: BackendServer,
    request_id: String,
    /// Whether another gateway carries the connection.
    is_tunnel: bool,
    /// Connects to a plain server while its answer arrives. A plain server tells its name, but not its start; what answers on a
    /// connection that was open before the end is no process that started after it. Empty for model engines, which tell both.
    connecting: JoinSet<Result<ServerConnection, ConnectError>>,
}

impl EndCheck {
    /// Returns the check for the answer of `server` to a request, of which the head has arrived.
    pub(super) fn new(
        (headers, body): (&HeaderMap, &Incoming),
        gateway: &Arc<Gateway>,
        (server, is_engine): (&BackendServer, bool),
        request_id: &str,
        is_tunnel: bool,
    ) -> Self {
        let mut check = Self {
            body_end: BodyEnd::of(headers, body),
            gateway: Arc::clone(gateway),
            server: server.clone(),
            request_id: request_id.to_owned(),
            is_tunnel,
            connecting: JoinSet::new(),
        };
        if check.body_end == BodyEnd::Connection && !is_engine {
            check.connecting.spawn(check.connect());
        }
        check
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
        let asked_at = Instant::now();
        let sign = self.life_sign(deadline).await;
        let gateway = &self.gateway;
        gateway.metrics.record_unframed_end(sign.as_str());
        info!(gateway.logs.log(), "answer without length ended"; "request" => &self.request_id,
            "server" => &self.server.id, "sign" => sign.as_str(), "ms" => asked_at.elapsed().as_millis() as u64);
        sign == LifeSign::SameProcess
    }

    async fn life_sign(&mut self, deadline: Instant) -> LifeSign {
        if self.connecting.is_empty() {
            self.connecting.spawn(self.connect());
        }
        let connected = timeout_at(deadline, self.connecting.join_next()).await;
        // A panic in the task has already been reported.
        match connected {
            Ok(Some(Ok(Ok(connection)))) => {
                let asking = self
                    .gateway
                    .ask_for_life_sign(&self.server, connection, deadline);
                asking.await
            }
            _ => LifeSign::Unreachable,
        }
    }

    /// Returns a task that connects to the server.
    fn connect(&self) -> impl Future<Output = Result<ServerConnection, ConnectError>> + 'static {
        let (gateway, server) = (Arc::clone(&self.gateway), self.server.clone());
        let (request_id, is_tunnel) = (self.request_id.clone(), self.is_tunnel);
        async move {
            let reconnecting = gateway.paths.reconnect(&server, &request_id, is_tunnel);
            reconnecting.await
        }
    }
}
