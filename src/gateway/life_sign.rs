//! Asks backend servers which process answers for them. An accepted connection does not tell: a relay, a balancer or a parent
//! process accepts also for a server that is gone (`docs/PLATFORM.md`).

use super::handler::Gateway;
use super::pool::Pool;
use super::server_paths::ServerConnection;
use crate::catalog::BackendServer;
use crate::net::collect;
use crate::net::empty_body;
use crate::net::timeout_at;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HOST;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which a server must have answered; without an answer nothing is known of it.
pub(super) const LIFE_SIGN_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of an engine's report.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// What a server's address tells of the process that its entry names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LifeSign {
    /// That process answers.
    SameProcess,
    /// Another process answers.
    OtherProcess,
    /// Something accepts connections, but no server answers on them in time.
    NoAnswer,
    /// Nothing accepts a connection in time.
    Unreachable,
}

impl LifeSign {
    /// Returns the name that log lines and metrics give it.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::SameProcess => "same process",
            Self::OtherProcess => "other process",
            Self::NoAnswer => "no answer",
            Self::Unreachable => "unreachable",
        }
    }
}

impl Gateway {
    /// Asks `server` on `connection` which process it is, until `deadline` at most.
    pub(super) async fn ask_for_life_sign(
        &self,
        server: &BackendServer,
        connection: ServerConnection,
        deadline: Instant,
    ) -> LifeSign {
        let until = deadline.min(Instant::now() + LIFE_SIGN_TIMEOUT);
        let configuration = self.catalog.configuration();
        let service = configuration
            .as_ref()
            .and_then(|configuration| configuration.service(&server.entry.service));
        let asking = async {
            let service = service?;
            if service.engine.is_some() {
                return self.read_report(server, connection).await;
            }
            let path = service.health_path.as_deref()?;
            self.read_health(server, connection, path).await
        };
        let is_same = timeout_at(until, asking).await.ok().flatten();
        match is_same {
            Some(true) => LifeSign::SameProcess,
            Some(false) => LifeSign::OtherProcess,
            None => LifeSign::NoAnswer,
        }
    }

    /// Asks an engine for its report. Returns whether it is of the process that the entry names, by the start time; `None` if
    /// there is no report that tells.
    async fn read_report(
        &self,
        server: &BackendServer,
        connection: ServerConnection,
    ) -> Option<bool> {
        let path = self.dialect.report_path();
        let response = ask(server, connection, path, async |response| {
            if response.status() != StatusCode::OK {
                return None;
            }
            collect(response.into_body(), MAX_REPORT_BYTES).await.ok()
        });
        let report: Bytes = response.await?;
        // A server that never started again may name no start, which is zero, in its entry and in its report.
        match self.dialect.read_start_time(&report)? {
            reported if reported == server.entry.start_time_ms => Some(true),
            0 => None,
            _ => Some(false),
        }
    }

    /// Asks a plain server for its health. Returns whether it has the name that the entry has; `None` if no server tells its name
    /// or that it is full.
    async fn read_health(
        &self,
        server: &BackendServer,
        connection: ServerConnection,
        path: &str,
    ) -> Option<bool> {
        let head = ask(server, connection, path, async |response| {
            Some(response.into_parts().0)
        });
        let head = head.await?;
        match self.dialect.read_server_id(&head.headers) {
            Some(name) => Some(name == server.id),
            None => {
                let metadata = self.dialect.read_response(head.status, &head.headers);
                let is_full = head.status == StatusCode::SERVICE_UNAVAILABLE && metadata.is_not_run;
                is_full.then_some(true)
            }
        }
    }
}

/// Sends a request for `path` on `connection` and reads the response with `read`.
async fn ask<T>(
    server: &BackendServer,
    connection: ServerConnection,
    path: &str,
    read: impl AsyncFnOnce(Response<Incoming>) -> Option<T>,
) -> Option<T> {
    let mut lease = Pool::lease(connection, server, 1).await.ok()?;
    let mut req = Request::get(path)
        .header(HOST, server.entry.address.to_string())
        .body(empty_body())
        .ok()?;
    lease.head_limit().await_head(&mut req);
    let response = lease.sender().send_request(req).await.ok()?;
    lease.head_limit().record_head();
    let result = read(response).await;
    lease.close();
    result
}
