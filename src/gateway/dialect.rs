//! The metadata of requests and responses that the gateway needs, independent of header names.

use crate::decide::PromptPart;
use hyper::HeaderMap;
use hyper::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;

/// Metadata from the headers of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMetadata {
    /// Id of the request; each attempt of a caller has its own.
    pub request_id: Option<String>,
    /// Time for which the caller waits for a response.
    pub time_left: Option<Duration>,
    /// API key that identifies the caller's team.
    pub key: Option<String>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Stream of an earlier attempt that the request resumes; `None` if the caller has no event yet.
    pub resumed_stream: Option<ResumedStream>,
}

/// A stream that a caller resumes after it broke off in an earlier attempt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResumedStream {
    /// Id of the last event that the caller has; `None` if it names none, or one that is no number.
    pub last_event_id: Option<u64>,
    /// Id of the attempt that brought the first event of the stream; `None` if the caller doesn't name it.
    pub first_attempt: Option<String>,
}

/// Metadata that the gateway adds to a caller's headers for a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ForwardMetadata<'a> {
    /// Name of the intended server; a different server at its address does not run the request.
    pub server_id: &'a str,
    /// Time until the deadline of the request; a later response is of no use.
    pub time_left: Duration,
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Server from which the shared parts of the prompt may be copied.
    pub copy_from: Option<SocketAddr>,
    /// Id of the last event that the caller has, if it has one.
    pub resume_after: Option<u64>,
}

/// Load of a server, as reported by the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Time that work takes on its machine at the moment, in hundredths of the usual; `None` if it doesn't say.
    pub work_time_percent: Option<u32>,
}

/// What a response says of the number of requests a second that its server takes from all gateways together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimitNotice {
    /// The server names no limit, or no longer.
    #[default]
    Unlimited,
    /// The server takes this number of requests a second.
    PerSecond(f64),
    /// The server names a limit that can't be read, so the last one still holds.
    Unreadable,
}

/// Metadata from the headers of a server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the server reports that it did not run the request and will not.
    pub is_not_run: bool,
    /// Whether the response has a header with the server's signature of the body.
    pub has_signature: bool,
    /// Load of the server, if it reports it.
    pub load: Option<ServerLoad>,
    /// What the server says of the requests that it takes.
    pub rate_limit: RateLimitNotice,
    /// Whether the server says that it leaves.
    pub is_leaving: bool,
    /// Time for which the server wants no requests from this node; only in a response with status 503.
    pub retry_after: Option<Duration>,
}

/// The header names and formats that callers and backend servers use.
pub trait Dialect: Send + Sync {
    /// Reads the metadata of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Removes the headers that only the gateway may set, then sets those of `forward`.
    fn set_forward_headers(&self, headers: &mut HeaderMap, forward: &ForwardMetadata<'_>);

    /// Reads the metadata of a server's response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Adds the id of the request to a response that the gateway itself creates.
    fn set_own_response_headers(&self, headers: &mut HeaderMap, request_id: &str);

    /// Returns the path of the load balancer's readiness probe.
    fn ready_path(&self) -> &str;

    /// Returns the path at which a model engine reports its state, without a slot and not as a request of a caller.
    fn report_path(&self) -> &str;

    /// Returns the name that a server gives itself in the `headers` of a response.
    fn read_server_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Returns the Unix time in milliseconds at which the engine started that sent `report`, or zero if the report names none;
    /// `None` if it is no report.
    fn read_start_time(&self, report: &[u8]) -> Option<u64>;
}
