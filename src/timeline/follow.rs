//! Follows a request through the logs of gateways: selects its lines, and the changes that its nodes logged around it.
//!
//! A gateway writes one line on a request when the request ends, and one line on each change of its catalog state, its
//! local copy of the configuration and the server list. The line on a request lists the servers, versions and ages that
//! its routing was based on; the changes around it explain them. `docs/OPERATIONS.md` shows how to read the lines.

use serde_json::Map;
use serde_json::Value;
use std::fmt;
use std::time::Duration;
use uhlc::NTP64;

/// Time before a request's arrival from which changes on its nodes are shown. The loss of a dependency affects
/// responses at the latest when the catalog state has become stale, some seconds later.
const SHOWN_BEFORE_REQUEST: Duration = Duration::from_secs(10);
/// Time after a request's end up to which changes of its servers are shown. The entry of a crashed server in the server
/// list expires after three heartbeats, and a gateway notices that within a second or two.
const SHOWN_AFTER_REQUEST: Duration = Duration::from_secs(6);
/// Message of a line on a request, and key of the request's id on that line.
const REQUEST: &str = "request";
/// Messages of lines on changes of backend servers, each with the key of the servers' names: changes that a node read
/// from the server list, and changes that it received from a peer. They are shown if the request was sent to one of the
/// servers.
const SERVER_CHANGE_MESSAGES: [(&str, &str); 2] =
    [("server changed", "server"), ("servers told", "changed")];

/// A line of a gateway's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    time: NTP64,
    node: String,
    message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; any text that a log collector put before the JSON object is ignored.
    fn parse(line: &str) -> Option<Self> {
        let object = &line[line.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let mut take_text = |key: &str| match fields.remove(key) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let (time, node, message) = (take_text("ts")?, take_text("node")?, take_text("msg")?);
        take_text("level");
        Some(Self {
            time: NTP64::parse_rfc3339(&time).ok()?,
            node,
            message,
            fields,
        })
    }

    fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key)?.as_str()
    }

    /// Returns the names of the changed servers, separated by commas, or `None` if the line is on something else.
    fn changed_servers(&self) -> Option<&str> {
        let matching = SERVER_CHANGE_MESSAGES
            .iter()
            .find(|(message, _)| *message == self.message);
        matching.map(|(_, key)| self.text(key).unwrap_or_default())
    }

    /// Returns the time at which the request arrived, for a line on a request.
    fn start_time(&self) -> NTP64 {
        let ms = self.fields.get("ms").and_then(Value::as_u64).unwrap_or(0);
        let took = NTP64::from(Duration::from_millis(ms));
        if took < self.time {
            self.time - took
        } else {
            NTP64(0)
        }
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = self.time.to_string_rfc3339_lossy();
        write!(f, "{time} {} {}", self.node, self.message)?;
        for (key, value) in &self.fields {
            match value {
                Value::Null => {}
                Value::String(text) if text.is_empty() => {}
                Value::String(text) => write!(f, " {key}={text:?}")?,
                other => write!(f, " {key}={other}")?,
            }
        }
        Ok(())
    }
}

/// Parses the gateways' lines in `text` and appends them to `log_lines`; other lines are ignored.
pub fn read(text: &str, log_lines: &mut Vec<LogLine>) {
    log_lines.extend(text.lines().filter_map(LogLine::parse));
}

/// Returns the lines on the request `id`, the changes that its nodes logged from ten seconds before its arrival to its
/// end, and the changes of its servers up to six seconds after its end, sorted by time.
///
/// The result is empty if there is no line on the request: its node was killed before the request ended, or the id is
/// wrong.
pub fn follow<'a>(log_lines: &'a [LogLine], id: &str) -> Vec<&'a LogLine> {
    let is_request_line =
        |line: &LogLine| line.message == REQUEST && line.text(REQUEST) == Some(id);
    let request_lines: Vec<&LogLine> = log_lines
        .iter()
        .filter(|line| is_request_line(line))
        .collect();
    let is_related = |line: &LogLine| {
        request_lines.iter().any(|request| {
            let from = request.start_time().max(NTP64::from(SHOWN_BEFORE_REQUEST))
                - NTP64::from(SHOWN_BEFORE_REQUEST);
            let shown_after = line
                .changed_servers()
                .map_or(NTP64(0), |_| NTP64::from(SHOWN_AFTER_REQUEST));
            line.node == request.node
                && (from..=request.time + shown_after).contains(&line.time)
                && may_explain(line, request)
        })
    };
    let mut selected: Vec<&LogLine> = log_lines
        .iter()
        .filter(|line| is_request_line(line) || is_related(line))
        .collect();
    selected.sort_by_key(|line| line.time);
    selected
}

/// Returns whether a line on a change may explain the routing of `request`. A change of servers may only if the request
/// was sent to one of them; lines on other requests never do.
fn may_explain(line: &LogLine, request: &LogLine) -> bool {
    let Some(changed) = line.changed_servers() else {
        return line.message != REQUEST;
    };
    let servers = request.text("servers").unwrap_or_default();
    servers
        .split(',')
        .any(|server| changed.split(',').any(|changed| changed == server))
}
