//! Sends a request once to one backend server and reports whether it may have run there.

use super::dialect::Dialect;
use super::dialect::ForwardMetadata;
use super::dialect::RateLimitNotice;
use super::loads::InFlightGuard;
use super::pool::Lease;
use super::pool::Pool;
use super::send_gate::SendGate;
use super::send_gate::SendPermit;
use super::server_paths::ServerPaths;
use super::server_rates::ServerRates;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::ColdPolicy;
use crate::decide::RunResult;
use crate::net::full_body;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::response;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use tokio::time::Instant;

/// A caller's request as it is sent to servers.
#[derive(Clone, Debug)]
pub(super) struct OutboundRequest {
    pub(super) method: Method,
    /// Path and query, unchanged.
    pub(super) target: String,
    /// The caller's headers without the hop-by-hop ones.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) request_id: String,
}

/// A server's response to the request; the body has not been read.
pub(super) struct ServerResponse {
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    /// What the server says of the requests that it takes.
    pub(super) rate_limit: RateLimitNotice,
    pub(super) lease: Lease,
    pub(super) guard: Arc<InFlightGuard>,
}

/// Outcome of a send: a response, or the failure and whether the request may have run nevertheless.
pub(super) enum SendOutcome {
    /// The head of a response arrived.
    Responded(Box<ServerResponse>),
    /// No byte of the request was sent, so the server did not run it; with the cause.
    NotSent(String),
    /// Another server now has the address. It did not run the request, and the intended server is no longer there.
    Misdirected,
    /// The server reported with this status that it did not run the request.
    NotRun(StatusCode),
    /// The connection broke or the response was invalid, for this cause; the request may have run.
    Unknown(String),
    /// The response head did not arrive before the deadline; the request may have run.
    TimedOut,
}

/// Parameters of one send.
pub(super) struct SendParams<'a> {
    /// Server that the request is sent to.
    pub(super) server: &'a BackendServer,
    /// Team of the caller.
    pub(super) team: Option<&'a str>,
    /// Id of the last event that the caller has received, if a broken stream is resumed.
    pub(super) resume_after: Option<u64>,
    /// Whether only the process may answer that the server's entry tells of, since the caller has events of its software
    /// version.
    pub(super) needs_same_process: bool,
    /// Time before which the connection was best opened, as that proves the process.
    pub(super) prefers_opened_before: Option<BootInstant>,
    /// Server from which the shared parts of the prompt may be copied.
    pub(super) copy_from: Option<SocketAddr>,
    /// Deadline of the request: the end of the time that the caller announced or of the route's timeout, whichever is
    /// earlier.
    pub(super) deadline: Instant,
    /// Maximum number of connections that the server accepts from all its clients together.
    pub(super) max_connections: u32,
    /// Decides whether the request may be written once there is a connection.
    pub(super) gate: &'a SendGate,
    /// What the server bears while it is cold; `None` if that is not limited.
    pub(super) cold_policy: Option<&'a ColdPolicy>,
    pub(super) permit: SendPermit,
    /// Learns of the limit that the server names.
    pub(super) rates: &'a ServerRates,
    /// Connects to the server.
    pub(super) paths: &'a Arc<ServerPaths>,
    /// Set to the name of the gateway that carries the request, if one does.
    pub(super) helper: &'a OnceLock<String>,
    /// Awaited once the request has a connection, before it is decided whether it may be sent; with whether that is a tunnel.
    pub(super) on_connected: &'a (dyn Fn(bool) -> BoxFuture<'a, ()> + Sync),
}

/// Statuses that tell a caller that its request did not run.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Maximum number of connections tried in one send; another is tried if an idle one was closed before any byte was
/// sent.
const MAX_CONNECTION_TRIES: usize = 4;

/// Sends `outbound` once and waits for the head of the response; `guard` counts the request as in flight at the server
/// until it is dropped.
pub(super) async fn send(
    outbound: &OutboundRequest,
    params: &SendParams<'_>,
    dialect: &dyn Dialect,
    pool: &Pool,
    guard: &Arc<InFlightGuard>,
) -> SendOutcome {
    let mut last_error = String::from("no connection");
    for _ in 0..MAX_CONNECTION_TRIES {
        let request_id = outbound.request_id.as_str();
        let mut lease = match acquire_connection(params, request_id, pool, guard).await {
            Ok(lease) => lease,
            Err(cause) => {
                guard.record_result(RunResult::Unreachable);
                return SendOutcome::NotSent(cause);
            }
        };
        (params.on_connected)(lease.helper().is_some()).await;
        let is_reused = lease.is_reused();
        if !params
            .gate
            .may_write(params.server, params.cold_policy, params.permit)
        {
            pool.put_idle(lease, &HeaderMap::new());
            return SendOutcome::NotSent("server may not get it now".to_owned());
        }
        if params.needs_same_process && params.paths.may_have_restarted(params.server) {
            pool.put_idle(lease, &HeaderMap::new());
            return SendOutcome::NotSent("server may have started again".to_owned());
        }
        let mut req = build_request(outbound, params, dialect);
        lease.head_limit().await_head(&mut req);
        let pending_response = lease.sender().try_send_request(req);
        match tokio::time::timeout_at(params.deadline, pending_response).await {
            Err(_) => {
                lease.close();
                pool.close_idle(&params.server.id);
                guard.record_result(RunResult::Silent);
                return SendOutcome::TimedOut;
            }
            Ok(Ok(response)) => {
                lease.head_limit().record_head();
                return classify_response(response, outbound, params, dialect, lease, guard);
            }
            Ok(Err(mut err)) => {
                let is_unsent = err.take_message().is_some();
                last_error = err.into_error().to_string();
                if !is_unsent {
                    pool.close_idle(&params.server.id);
                    guard.record_result(RunResult::Broken);
                    return SendOutcome::Unknown(last_error);
                }
                if !is_reused {
                    guard.record_result(RunResult::Unreachable);
                    return SendOutcome::NotSent(last_error);
                }
            }
        }
    }
    SendOutcome::NotSent(last_error)
}

/// Returns an idle connection, or opens a new one if there is none.
async fn acquire_connection(
    params: &SendParams<'_>,
    request_id: &str,
    pool: &Pool,
    guard: &InFlightGuard,
) -> Result<Lease, String> {
    let server = params.server;
    let last_loss = params.paths.last_loss();
    // Connections may hang since the last path was lost, unless the server has been heard since.
    let doubtful_since = last_loss.filter(|since| !guard.was_heard_since(*since));
    let not_before = doubtful_since.map(BootInstant::to_std);
    if let Some(lease) = pool.take_idle(server, not_before, params.prefers_opened_before) {
        return Ok(lease);
    }
    let connected = match params.paths.connect(server, request_id).await {
        Ok(connection) => Pool::lease(connection, server, params.max_connections).await,
        Err(err) => Err(err),
    };
    match connected {
        Ok(lease) => {
            if let Some(helper) = lease.helper() {
                guard.set_carried();
                params.helper.get_or_init(|| helper.to_owned());
            }
            Ok(lease)
        }
        Err(err) => Err(err.to_string()),
    }
}

fn build_request(
    outbound: &OutboundRequest,
    params: &SendParams<'_>,
    dialect: &dyn Dialect,
) -> Request<crate::net::Body> {
    let mut req = Request::new(full_body(outbound.body.clone()));
    *req.method_mut() = outbound.method.clone();
    if let Ok(uri) = outbound.target.parse() {
        *req.uri_mut() = uri;
    }
    let mut headers = outbound.headers.clone();
    let forward = ForwardMetadata {
        server_id: &params.server.id,
        time_left: params.deadline.saturating_duration_since(Instant::now()),
        team: params.team,
        copy_from: params.copy_from,
        resume_after: params.resume_after,
    };
    dialect.set_forward_headers(&mut headers, &forward);
    *req.headers_mut() = headers;
    req
}

/// Decides by the head of a response whether the server ran the request, and whether the response can be used. It can't
/// if it has the id of another request, if it reports success without a signature or without a request id, or if it changes the
/// protocol, which no request asks for. A refusal says that the request did not run only if it has the request's id, since a server
/// may write an earlier one once more, and if the server says so: a relay or balancer answers with the same status for a server
/// that it has lost (`docs/design/CONNECTION-SIGNS.md`).
fn classify_response(
    response: Response<Incoming>,
    outbound: &OutboundRequest,
    params: &SendParams<'_>,
    dialect: &dyn Dialect,
    lease: Lease,
    guard: &Arc<InFlightGuard>,
) -> SendOutcome {
    let (head, body) = response.into_parts();
    let metadata = dialect.read_response(head.status, &head.headers);
    let request_id = metadata.request_id.as_deref();
    let needs_id = metadata.is_not_run || head.status.is_success();
    let is_of_request = match request_id {
        Some(id) => id == outbound.request_id,
        None => !needs_id,
    };
    let is_unsigned = head.status.is_success() && !metadata.has_signature;
    let is_unproven = NOT_RUN_STATUSES.contains(&head.status) && !metadata.is_not_run;
    let is_interim = head.status.is_informational();
    if !is_of_request || is_unsigned || is_unproven || is_interim {
        lease.close();
        guard.record_result(RunResult::Broken);
        let cause = if is_interim {
            "interim answer"
        } else if is_unproven {
            "refusal without proof"
        } else if is_of_request || request_id.is_none() {
            "answer without proof"
        } else {
            "answer to another request"
        };
        return SendOutcome::Unknown(cause.to_owned());
    }
    guard.record_activity();
    // Another server may have the address now, and it speaks for itself.
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        params
            .rates
            .record_notice(params.server, metadata.rate_limit);
    }
    if metadata.is_leaving {
        guard.record_leaving();
    }
    if let Some(retry_after) = metadata.retry_after {
        guard.record_retry_after(retry_after);
    }
    if metadata.is_not_run {
        if let Some(load) = metadata.load {
            guard.record_load(load);
        }
        lease.close();
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            guard.record_result(RunResult::Unreachable);
            return SendOutcome::Misdirected;
        }
        return SendOutcome::NotRun(head.status);
    }
    if let Some(load) = metadata.load {
        guard.record_load(load);
    }
    SendOutcome::Responded(Box::new(ServerResponse {
        head,
        body,
        rate_limit: metadata.rate_limit,
        lease,
        guard: Arc::clone(guard),
    }))
}
