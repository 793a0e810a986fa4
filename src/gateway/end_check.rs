//! Tells an answer that its server has finished from one that ended because its server did.
//!
//! An answer without length or chunks ends with its connection, and the host of a process that is killed closes that as the
//! process itself would have done (`docs/PLATFORM.md`).

use super::handler::Gateway;
use super::life_sign::LifeSign;
use super::life_sign::Question;
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

/// A connection to a server that is opened beside a request. What answers on it after the end of the request's answer is no server
/// that started after the connection was opened, though it may be another worker process of the same one.
pub(super) struct Witness(JoinSet<Result<ServerConnection, ConnectError>>);

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
        let mut connecting = JoinSet::new();
        connecting.spawn(async move {
            let reconnecting = gateway.paths.reconnect(&server, &request_id, is_tunnel);
            reconnecting.await
        });
        Self(connecting)
    }

    /// Waits for the connection; `None` if there is none.
    async fn connection(&mut self) -> Option<ServerConnection> {
        // A panic in the task has already been reported.
        self.0.join_next().await?.ok()?.ok()
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
    /// For a plain server, which tells its name, but not its start. A model engine tells both, and gets none.
    witness: Option<Witness>,
}

impl EndCheck {
    /// Returns the check for the answer of `server` to a request, of which the head has arrived. `witness` was opened before the
    /// request was sent, if there is one.
    pub(super) fn new(
        (headers, body): (&HeaderMap, &Incoming),
        gateway: &Arc<Gateway>,
        (server, question): (&BackendServer, &Question),
        request_id: &str,
        is_tunnel: bool,
        witness: Option<Witness>,
    ) -> Self {
        let body_end = BodyEnd::of(headers, body);
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
        let asked_at = Instant::now();
        let sign = self.life_sign(deadline).await;
        let gateway = &self.gateway;
        gateway.metrics.record_unframed_end(sign.as_str());
        info!(gateway.logs.log(), "answer without length ended"; "request" => &self.request_id,
            "server" => &self.server.id, "sign" => sign.as_str(), "ms" => asked_at.elapsed().as_millis() as u64);
        sign == LifeSign::SameProcess
    }

    async fn life_sign(&mut self, deadline: Instant) -> LifeSign {
        let (gateway, server) = (&self.gateway, &self.server);
        let mut witness = self
            .witness
            .take()
            .unwrap_or_else(|| Witness::open(gateway, server, &self.request_id, self.is_tunnel));
        match timeout_at(deadline, witness.connection()).await {
            Ok(Some(connection)) => {
                let question = &self.question;
                let asking = gateway.ask_for_life_sign(server, question, connection, deadline);
                asking.await
            }
            Ok(None) | Err(_) => LifeSign::Unreachable,
        }
    }
}
