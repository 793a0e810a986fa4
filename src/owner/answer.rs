//! An attempt and its answer.

use crate::border::generated::peer::HopHead;
use crate::net::Body;
use bytes::Bytes;

/// One attempt of a request at a chosen backend server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Everything about the request that the owner needs except the body.
    pub head: HopHead,
    /// The caller's request body.
    pub body: Bytes,
}

/// Head of an answer, and its body, which is still streaming.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status of the backend server.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Load of the backend server as the owner counts it, in requests.
    pub load: u32,
    /// Routing hint for the chat's next request.
    pub hint: Option<String>,
    /// The body; it ends with an error if the answer is truncated.
    pub body: Body,
}
