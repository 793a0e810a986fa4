//! Merges the log lines of many processes into causal order, for `cbtimeline`.

use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;
use uhlc::NTP64;
use uhlc::Timestamp;

/// An event as written in a log line.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Line {
    /// Hybrid logical clock stamp.
    pub hlc: String,
    /// Node that wrote the event.
    pub node: String,
    /// Kind of the event.
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
    /// The service that the request is sent to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Requests in flight at the backend server, including this one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<u32>,
    /// Duration of the step that ends with this event, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub took_ms: Option<f64>,
    /// The other node.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
    /// Any other detail, in a word or two.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}

impl Line {
    /// Returns the stamp, or `None` if it can't be parsed. Such a line sorts before all others.
    fn stamp(&self) -> Option<Timestamp> {
        self.hlc.parse().ok()
    }

    /// Returns the time of the stamp, or zero if the stamp can't be parsed.
    pub fn time(&self) -> NTP64 {
        self.stamp().map_or(NTP64(0), |stamp| *stamp.get_time())
    }

    /// Returns the time of the stamp in RFC 3339 format.
    pub fn rfc3339_time(&self) -> String {
        self.time().to_string_rfc3339_lossy()
    }

    /// Returns the time since an earlier line, or zero if that line is later than this one.
    pub fn duration_since(&self, earlier: &Line) -> Duration {
        let (time, earlier) = (self.time(), earlier.time());
        if time < earlier {
            return Duration::ZERO;
        }
        (time - earlier).to_duration()
    }

    /// Returns whether the event reports a failure, such as a retry or a refused attempt.
    pub fn is_failure(&self) -> bool {
        let is_success = matches!(self.detail.as_deref(), None | Some("answered"));
        match self.event.as_str() {
            "retry" | "refused_busy" | "claim_lost" | "peer_suspected" | "config_refused"
            | "order_refused" | "stamp_dropped" => true,
            "attempt_ended" | "attempt_returned" | "request_ended" => !is_success,
            _ => false,
        }
    }
}

/// Parses the events in `text` and appends them to `lines`; lines that are not events are ignored.
pub fn read(text: &str, lines: &mut Vec<Line>) {
    lines.extend(
        text.lines()
            .filter_map(|line| serde_json::from_str(line).ok()),
    );
}

/// Sorts lines in causal order: the sending of a message always comes before its receipt.
pub fn sort(lines: &mut [Line]) {
    lines.sort_by_cached_key(Line::stamp);
}
