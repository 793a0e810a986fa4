//! One attempt of a request, and its answer.

use crate::border::generated::peer::HopHead;
use crate::net::Body;
use bytes::Bytes;

/// One attempt of a request on a chosen backend server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// What the owner must know of it.
    pub head: HopHead,
    /// The caller's body.
    pub body: Bytes,
}

/// Head of an answer, with the body still to come.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status of the backend server.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// The owner's count of requests at the backend server.
    pub load: u32,
    /// Routing hint for the chat's next request.
    pub hint: Option<String>,
    /// The body; it ends with an error where the answer was cut short.
    pub body: Body,
}
