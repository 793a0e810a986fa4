//! Tells an answer that its server has finished from one that ended because its server did.
//!
//! An answer without length or chunks ends with its connection, and the host of a process that is killed closes that as the
//! process itself would have done (`docs/PLATFORM.md`).

use super::server_paths::ServerPaths;
use super::stream_record::BodyEnd;
use crate::catalog::BackendServer;
use crate::net::timeout_at;
use hyper::HeaderMap;
use hyper::body::Body;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time in which the kernel closes the sockets of a process that was killed. It closes the newest first, so the one that listens
/// still accepts connections for some milliseconds after others have ended.
const CLOSING_TIME: Duration = Duration::from_millis(50);

/// Finds out whether the end of one answer's body is the end of the answer.
pub(super) struct EndCheck {
    body_end: BodyEnd,
    paths: Arc<ServerPaths>,
    server: BackendServer,
    request_id: String,
    /// Whether another gateway carries the connection.
    is_tunnel: bool,
}

impl EndCheck {
    /// Returns the check for the answer of `server` to a request, of which the head has arrived.
    pub(super) fn new(
        (headers, body): (&HeaderMap, &Incoming),
        paths: &Arc<ServerPaths>,
        server: &BackendServer,
        request_id: &str,
        is_tunnel: bool,
    ) -> Self {
        let body_end = if body.is_end_stream() {
            BodyEnd::Length
        } else {
            BodyEnd::of(headers)
        };
        Self {
            body_end,
            paths: Arc::clone(paths),
            server: server.clone(),
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
        let accepts = async {
            tokio::time::sleep(CLOSING_TIME).await;
            let (server, request_id) = (&self.server, &self.request_id);
            self.paths.accepts(server, request_id, self.is_tunnel).await
        };
        timeout_at(deadline, accepts).await.unwrap_or(false)
    }
}
