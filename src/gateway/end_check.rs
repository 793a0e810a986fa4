//! Tells an answer that its server has finished from one that ended because its server did.
//!
//! An answer without length or chunks ends with its connection, and the host of a process that is killed closes that as the
//! process itself would have done (`docs/PLATFORM.md`).

use super::engine_report::LifeSign;
use super::engine_report::read_life_sign;
use super::handler::Gateway;
use super::stream_record::BodyEnd;
use crate::catalog::BackendServer;
use crate::net::timeout_at;
use hyper::HeaderMap;
use hyper::body::Incoming;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time in which the kernel closes the sockets of a process that was killed. It closes the newest first, so the one that listens
/// still accepts connections for some milliseconds after others have ended.
const CLOSING_TIME: Duration = Duration::from_millis(50);

/// Finds out whether the end of one answer's body is the end of the answer.
pub(super) struct EndCheck {
    body_end: BodyEnd,
    gateway: Arc<Gateway>,
    server: BackendServer,
    /// Whether the server is a model engine, which reports when it started.
    is_engine: bool,
    request_id: String,
    /// Whether another gateway carries the connection.
    is_tunnel: bool,
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
        Self {
            body_end: BodyEnd::of(headers, body),
            gateway: Arc::clone(gateway),
            server: server.clone(),
            is_engine,
            request_id: request_id.to_owned(),
            is_tunnel,
        }
    }

    /// Returns what tells that the answer is complete.
    pub(super) fn body_end(&self) -> BodyEnd {
        self.body_end
    }

    /// Returns whether the body, which has ended without an error, is complete; `false` if that is not known at `deadline`.
    pub(super) async fn is_complete(&self, deadline: Instant) -> bool {
        if self.body_end != BodyEnd::Connection {
            return true;
        }
        let asked_at = Instant::now();
        let sign = self.life_sign(deadline).await;
        let gateway = &self.gateway;
        gateway.metrics.record_unframed_end(sign.as_str());
        info!(gateway.logs.log(), "answer without length ended"; "request" => &self.request_id,
            "server" => &self.server.id, "sign" => sign.as_str(), "ms" => asked_at.elapsed().as_millis() as u64);
        matches!(sign, LifeSign::SameProcess | LifeSign::Accepted)
    }

    async fn life_sign(&self, deadline: Instant) -> LifeSign {
        let reconnecting = async {
            tokio::time::sleep(CLOSING_TIME).await;
            let (server, request_id) = (&self.server, &self.request_id);
            let paths = &self.gateway.paths;
            paths.reconnect(server, request_id, self.is_tunnel).await
        };
        match timeout_at(deadline, reconnecting).await {
            Ok(Ok(connection)) if self.is_engine => {
                read_life_sign(&self.gateway, &self.server, connection, deadline).await
            }
            Ok(Ok(_)) => LifeSign::Accepted,
            Ok(Err(_)) | Err(_) => LifeSign::Unreachable,
        }
    }
}
