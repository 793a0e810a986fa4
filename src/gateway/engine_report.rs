//! Asks model engines when they started, which tells whether another process answers now than the one that an entry names.

use super::handler::Gateway;
use super::pool::Pool;
use super::server_paths::ServerConnection;
use crate::catalog::BackendServer;
use crate::net::collect;
use crate::net::empty_body;
use crate::net::timeout_at;
use bytes::Bytes;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HOST;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which an engine must have sent its report; without one it is taken for the process that its entry names.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of a report.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// What a server's address tells of the process that its entry names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LifeSign {
    /// That process answers.
    SameProcess,
    /// Another process answers.
    OtherProcess,
    /// Something accepts connections.
    Accepted,
    /// Nothing accepts a connection in time.
    Unreachable,
}

impl LifeSign {
    /// Returns the name that log lines and metrics give it.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::SameProcess => "same process",
            Self::OtherProcess => "other process",
            Self::Accepted => "accepted",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Returns what `server`, an engine, tells on `connection` of its start; [`LifeSign::Accepted`] if it tells none until `deadline`.
pub(super) async fn read_life_sign(
    gateway: &Gateway,
    server: &BackendServer,
    connection: ServerConnection,
    deadline: Instant,
) -> LifeSign {
    let start_time_ms = server.entry.start_time_ms;
    // An entry without a start time has zero, as has a server that never started again.
    if start_time_ms == 0 {
        return LifeSign::Accepted;
    }
    let until = deadline.min(Instant::now() + REPORT_TIMEOUT);
    let report = timeout_at(until, read_report(gateway, server, connection)).await;
    let report = report.ok().flatten();
    match report.and_then(|report| gateway.dialect.read_start_time(&report)) {
        Some(reported) if reported == start_time_ms => LifeSign::SameProcess,
        Some(_) => LifeSign::OtherProcess,
        None => LifeSign::Accepted,
    }
}

/// Asks an engine for its report on `connection`; `None` if it sends none.
async fn read_report(
    gateway: &Gateway,
    server: &BackendServer,
    connection: ServerConnection,
) -> Option<Bytes> {
    let mut lease = Pool::lease(connection, server, 1).await.ok()?;
    let mut req = Request::get(gateway.dialect.report_path())
        .header(HOST, server.entry.address.to_string())
        .body(empty_body())
        .ok()?;
    lease.head_limit().await_head(&mut req);
    let response = lease.sender().send_request(req).await.ok()?;
    lease.head_limit().record_head();
    if response.status() != StatusCode::OK {
        return None;
    }
    let report = collect(response.into_body(), MAX_REPORT_BYTES).await.ok();
    lease.close();
    report
}
