//! Asks backend servers which process answers for them. An accepted connection does not tell: a relay, a balancer or a parent
//! process accepts also for a server that is gone (`docs/PLATFORM.md`).

use super::handler::Gateway;
use super::pool::Pool;
use super::server_paths::ServerConnection;
use crate::catalog::BackendServer;
use crate::catalog::Service;
pub(super) use crate::decide::LifeSign;
use crate::net::collect;
use crate::net::empty_body;
use crate::net::timeout_at;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::response;
use std::error::Error;
use std::io;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which an engine must have sent its report, which takes no slot; without it nothing is known of the engine. A sound
/// server may be silent for a second, and callers wait twice as long for the next event of a stream.
const LIFE_SIGN_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an engine's report.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Path at which a plain server is asked for its name if its health path is not known. It turns a request without an id away.
const DEFAULT_PATH: &str = "/";

/// What a server is asked to find out which process it is.
#[derive(Clone, Debug)]
pub(super) enum Question {
    /// An engine's report, which takes no slot.
    Report,
    /// The health of a plain server, at this path if it is known.
    Health(Option<String>),
}

impl Question {
    /// Returns the question to the servers of `service`; `None` stands for a service that is not in the configuration any more.
    pub(super) fn to(service: Option<&Service>) -> Self {
        match service {
            Some(service) if service.engine.is_some() => Self::Report,
            Some(service) => Self::Health(service.health_path.clone()),
            None => Self::Health(None),
        }
    }
}

impl Gateway {
    /// Returns the question to `server`, by the configuration in force.
    pub(super) fn question(&self, server: &BackendServer) -> Question {
        let configuration = self.catalog.configuration();
        let service = configuration
            .as_ref()
            .and_then(|configuration| configuration.service(&server.entry.service));
        Question::to(service)
    }

    /// Asks `server` on `connection` which process it is. The question to a plain server may wait for a slot like a request, until
    /// `deadline`.
    pub(super) async fn ask_for_life_sign(
        &self,
        server: &BackendServer,
        question: &Question,
        connection: ServerConnection,
        deadline: Instant,
    ) -> LifeSign {
        let told = match question {
            Question::Report => {
                let until = deadline.min(Instant::now() + LIFE_SIGN_TIMEOUT);
                timeout_at(until, self.read_report(server, connection)).await
            }
            Question::Health(path) => {
                let path = path.as_deref().unwrap_or(DEFAULT_PATH);
                timeout_at(deadline, self.read_health(server, connection, path)).await
            }
        };
        told.unwrap_or(LifeSign::Silent)
    }

    /// Asks an engine for its report, whose start time tells the process.
    async fn read_report(&self, server: &BackendServer, connection: ServerConnection) -> LifeSign {
        let path = self.dialect.report_path();
        let response = ask(server, connection, path, async |response| {
            let (head, body) = response.into_parts();
            let report = collect(body, MAX_REPORT_BYTES).await;
            let report = report.map_err(|_| LifeSign::Unnamed)?;
            Ok((head, report))
        });
        let (head, report) = match response.await {
            Ok(response) => response,
            Err(sign) => return sign,
        };
        if head.status != StatusCode::OK {
            return self.read_failure(&head);
        }
        let name = self.dialect.read_server_id(&head.headers);
        if name.is_some_and(|name| name != server.id) {
            return LifeSign::OtherProcess;
        }
        let expected = server.entry.start_time_ms;
        match self.dialect.read_start_time(&report) {
            // An entry without a start time has zero, so there is nothing to compare.
            Some(_) if expected == 0 => LifeSign::SameProcess,
            Some(reported) if reported == expected => LifeSign::SameProcess,
            Some(0) | None => LifeSign::Unnamed,
            Some(_) => LifeSign::OtherProcess,
        }
    }

    /// Asks a plain server for its health, which has the server's name.
    async fn read_health(
        &self,
        server: &BackendServer,
        connection: ServerConnection,
        path: &str,
    ) -> LifeSign {
        let head = ask(server, connection, path, async |response| {
            Ok(response.into_parts().0)
        });
        let head = match head.await {
            Ok(head) => head,
            Err(sign) => return sign,
        };
        match self.dialect.read_server_id(&head.headers) {
            Some(name) if name == server.id => LifeSign::SameProcess,
            Some(_) => LifeSign::OtherProcess,
            None if self.is_turned_away(&head) => LifeSign::SameProcess,
            None => self.read_failure(&head),
        }
    }

    /// Returns what an answer tells that names no process. One that reports a failure may be a relay's.
    fn read_failure(&self, head: &response::Parts) -> LifeSign {
        if head.status.is_server_error() && !self.is_turned_away(head) {
            LifeSign::NoAnswer
        } else {
            LifeSign::Unnamed
        }
    }

    /// Returns whether a server, not a relay, has turned the question away.
    fn is_turned_away(&self, head: &response::Parts) -> bool {
        let metadata = self.dialect.read_response(head.status, &head.headers);
        head.status != StatusCode::MISDIRECTED_REQUEST && metadata.is_not_run
    }
}

/// Sends a request for `path` on `connection` and reads the response with `read`.
async fn ask<T>(
    server: &BackendServer,
    connection: ServerConnection,
    path: &str,
    read: impl AsyncFnOnce(Response<Incoming>) -> Result<T, LifeSign>,
) -> Result<T, LifeSign> {
    let leased = Pool::lease(connection, server, 1).await;
    let mut lease = leased.map_err(|_| LifeSign::NoAnswer)?;
    let mut req = Request::get(path)
        .header(HOST, server.entry.address.to_string())
        .body(empty_body())
        .map_err(|_| LifeSign::Unnamed)?;
    lease.head_limit().await_head(&mut req);
    let response = lease.sender().send_request(req).await;
    let response = response.map_err(|err| sign_of(&err))?;
    lease.head_limit().record_head();
    let result = read(response).await;
    lease.close();
    result
}

/// Returns what a connection tells that ended without an answer.
fn sign_of(err: &hyper::Error) -> LifeSign {
    if err.is_parse() {
        return LifeSign::Unnamed;
    }
    let cause = err
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    match cause.map(io::Error::kind) {
        Some(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => LifeSign::Reset,
        _ => LifeSign::NoAnswer,
    }
}
