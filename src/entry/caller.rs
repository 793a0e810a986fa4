//! Reads the caller's team, chat, priority and other request data from the headers.

use crate::border::CHAT_ID_HEADER;
use crate::border::IDEMPOTENCY_KEY_HEADER;
use crate::border::PRIORITY_HEADER;
use crate::border::REQUEST_ID_HEADER;
use crate::border::generated::peer::Priority;
use crate::config::State;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use uuid::Uuid;

/// Header that carries the routing hint.
pub(super) const HINT_HEADER: &str = "x-routing-hint";

/// Prefix of the API key in the authorization header.
const BEARER_PREFIX: &str = "Bearer ";
/// Maximum length of an id that a caller sends, in bytes.
const MAX_ID_BYTES: usize = 128;

/// A caller's request without its body.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    /// Request id: the caller's own or a generated one.
    pub(super) request: String,
    /// The caller's team.
    pub(super) team: String,
    /// Id of the chat, if the request belongs to one.
    pub(super) chat: Option<String>,
    /// The request's priority.
    pub(super) priority: Priority,
    /// Routing hint from an earlier answer, sent back by the caller.
    pub(super) hint: Option<String>,
    /// Key of a non-idempotent call.
    pub(super) key: Option<String>,
    /// Content type of the body.
    pub(super) content_type: Option<String>,
}

/// Returns the caller's request id, or a generated one where the caller sent none or an invalid one.
pub(super) fn request_id(headers: &HeaderMap) -> String {
    header_text(headers, REQUEST_ID_HEADER)
        .filter(|id| is_valid_id(id))
        .map_or_else(|| Uuid::now_v7().to_string(), str::to_owned)
}

impl Caller {
    /// Reads the headers and looks up the team by its API key.
    pub(super) fn read(request: &str, headers: &HeaderMap, state: &State) -> Result<Self, Refusal> {
        let unauthorized = Refusal::not_run(NotRun::Unauthorized);
        let key = header_text(headers, AUTHORIZATION.as_str())
            .and_then(|value| value.strip_prefix(BEARER_PREFIX))
            .ok_or(unauthorized.clone())?;
        let team = state.team_of_key(key).ok_or(unauthorized)?;
        let chat = header_text(headers, CHAT_ID_HEADER);
        if chat.is_some_and(|chat| !is_valid_id(chat)) {
            return Err(Refusal::not_run(NotRun::BadRequest));
        }
        let owned_text = |name| header_text(headers, name).map(str::to_owned);
        Ok(Self {
            request: request.to_owned(),
            team: team.name.clone(),
            chat: chat.map(str::to_owned),
            priority: priority(headers, &team.priority)?,
            hint: owned_text(HINT_HEADER),
            key: owned_text(IDEMPOTENCY_KEY_HEADER),
            content_type: owned_text(CONTENT_TYPE.as_str()),
        })
    }
}

fn priority(headers: &HeaderMap, default: &str) -> Result<Priority, Refusal> {
    let name = header_text(headers, PRIORITY_HEADER).unwrap_or(default);
    name.parse()
        .map_err(|_| Refusal::not_run(NotRun::BadRequest))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns whether an id is valid. Ids are written into header lines and logs, so only printable ASCII without `/` and
/// `"` is accepted.
fn is_valid_id(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'/' && byte != b'"';
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(is_allowed)
}
