//! What the gateway needs to know of a request or an answer, whatever the headers are called.

use crate::decide::PromptPart;
use hyper::HeaderMap;
use hyper::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;

/// What a caller's head says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMetadata {
    /// Identifies the request; each attempt of a caller has one of its own.
    pub request_id: Option<String>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// Key that shows the caller's team.
    pub key: Option<String>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

/// What the gateway tells a backend server besides the caller's own head.
#[derive(Clone, Copy, Debug)]
pub struct ForwardMetadata<'a> {
    /// Name of the server that is meant; another one at the address doesn't run the request.
    pub server_id: &'a str,
    /// How long the answer is still of use.
    pub time_left: Duration,
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Server that the prompt's shared parts may be copied from.
    pub copy_from: Option<SocketAddr>,
    /// Last event that the caller has, where it is not the one in the caller's own head.
    pub resume_after: Option<u64>,
}

/// Work at a server, as it tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What the head of a server's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseMetadata {
    /// Request that is answered.
    pub request_id: Option<String>,
    /// The server says that it did not run the request and will not.
    pub is_not_run: bool,
    /// The answer carries the server's signature of its body.
    pub has_signature: bool,
    /// The server's load.
    pub load: Option<ServerLoad>,
}

/// The names and formats that callers and backend servers use.
pub trait Dialect: Send + Sync {
    /// Reads a caller's head.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Takes out of a head what only the gateway may set, and sets it.
    fn set_forward_headers(&self, headers: &mut HeaderMap, forward: &ForwardMetadata<'_>);

    /// Reads the head of a server's answer.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Marks an answer of the gateway's own with the request that it belongs to.
    fn set_own_response_headers(&self, headers: &mut HeaderMap, request_id: &str);

    /// Gives the path on which the balancer asks whether the node is ready.
    fn ready_path(&self) -> &str;
}
