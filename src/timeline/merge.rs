//! Merges the lines of many processes into causal order, for `cbtimeline`.

use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;
use uhlc::NTP64;
use uhlc::Timestamp;

/// One event as it stands in a log line; other lines are passed over.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
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

impl Line {
    /// Gives the stamp; a line whose stamp can't be read comes before all others.
    fn stamp(&self) -> Option<Timestamp> {
        self.hlc.parse().ok()
    }

    /// Gives the time of the stamp.
    pub fn time(&self) -> NTP64 {
        self.stamp().map_or(NTP64(0), |stamp| *stamp.get_time())
    }

    /// Gives the time as people read it.
    pub fn rfc3339_time(&self) -> String {
        self.time().to_string_rfc3339_lossy()
    }

    /// Gives the time since an earlier line.
    pub fn duration_since(&self, earlier: &Line) -> Duration {
        let (time, earlier) = (self.time(), earlier.time());
        if time < earlier {
            return Duration::ZERO;
        }
        (time - earlier).to_duration()
    }

    /// Tells whether the event is one that did not go as it should.
    pub fn is_failure(&self) -> bool {
        let went_well = matches!(self.detail.as_deref(), None | Some("answered"));
        match self.event.as_str() {
            "retry" | "refused_busy" | "claim_lost" | "peer_suspected" | "config_refused"
            | "order_refused" | "stamp_dropped" => true,
            "attempt_ended" | "attempt_returned" | "request_ended" => !went_well,
            _ => false,
        }
    }
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
    lines.sort_by_cached_key(Line::stamp);
}
