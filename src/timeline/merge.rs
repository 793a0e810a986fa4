//! Merges the lines of many processes into causal order, for `cbtimeline`.

use serde::Deserialize;
use serde::Serialize;
use std::str::FromStr;
use uhlc::Timestamp;

/// One event as it stands in a log line; other lines are passed over.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Line {
    /// Hybrid logical clock stamp.
    pub hlc: String,
    /// Node that wrote it.
    pub node: String,
    /// What happened.
    pub event: String,
    /// The caller's request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// One attempt of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt: Option<String>,
    /// The chat.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub chat: Option<String>,
    /// The team.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// The backend server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub backend: Option<String>,
    /// The service that is asked.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Requests in flight at the backend server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<u32>,
    /// Time that the step took, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub took_ms: Option<f64>,
    /// The other node.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
    /// Anything else.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}

/// Reads the events out of `text` and appends them to `lines`.
pub fn read(text: &str, lines: &mut Vec<Line>) {
    lines.extend(
        text.lines()
            .filter_map(|line| serde_json::from_str(line).ok()),
    );
}

/// Puts lines in causal order: a message's sending always comes before its receipt.
pub fn sort(lines: &mut [Line]) {
    lines.sort_by_cached_key(|line| Timestamp::from_str(&line.hlc).ok());
}
