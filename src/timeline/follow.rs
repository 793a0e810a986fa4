//! Follows a request through the logs of gateways: its own lines, and what its nodes noted around it.
//!
//! A gateway writes one line on a request, when it ends, and one on each change of what it believes. The line names the
//! servers, the versions and the ages that decided; the changes around it tell why they were so. `docs/OPERATIONS.md`
//! shows how to read them.

use serde_json::Map;
use serde_json::Value;
use std::fmt;
use std::time::Duration;
use uhlc::NTP64;

/// Time before a request's arrival from which changes on its nodes are shown: a lost dependency shows in answers at the
/// latest when its beliefs have grown too old, some seconds later.
const BEFORE: Duration = Duration::from_secs(10);
/// Time after a request's end up to which changes of its servers are shown: the entry of one that crashed lapses after
/// three heartbeats, and is noticed within a second or two.
const AFTER: Duration = Duration::from_secs(6);
/// Line on a request.
const REQUEST: &str = "request";
/// Lines on changes of backend servers with the key that names them, shown where the request was sent to one of them: as
/// a node read it itself, and as it was told.
const SERVERS_CHANGED: [(&str, &str); 2] =
    [("server changed", "server"), ("servers told", "changed")];

/// One line of a gateway's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    time: NTP64,
    node: String,
    message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; whatever the collector put before the JSON object is passed over.
    fn parse(line: &str) -> Option<Self> {
        let object = &line[line.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let mut take = |key: &str| match fields.remove(key) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let (time, node, message) = (take("ts")?, take("node")?, take("msg")?);
        take("level");
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

    /// Names of the servers that changed, on a line on that.
    fn changed_servers(&self) -> Option<&str> {
        let kind = SERVERS_CHANGED
            .iter()
            .find(|(message, _)| *message == self.message);
        kind.map(|(_, key)| self.text(key).unwrap_or_default())
    }

    /// When the request came, on a request's line.
    fn began(&self) -> NTP64 {
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

/// Reads the gateways' lines out of `text` and appends them to `entries`; other lines are passed over.
pub fn read(text: &str, entries: &mut Vec<LogLine>) {
    entries.extend(text.lines().filter_map(LogLine::parse));
}

/// Gives the lines on the request `id`, and what its nodes noted from ten seconds before it to its end, and of its servers
/// up to six seconds after it, by time.
///
/// Nothing is given where no line is on the request: its node was killed before it ended, or the id is wrong.
pub fn follow<'a>(entries: &'a [LogLine], id: &str) -> Vec<&'a LogLine> {
    let is_own = |entry: &LogLine| entry.message == REQUEST && entry.text(REQUEST) == Some(id);
    let own: Vec<&LogLine> = entries.iter().filter(|entry| is_own(entry)).collect();
    let is_around = |entry: &LogLine| {
        own.iter().any(|request| {
            let from = request.began().max(NTP64::from(BEFORE)) - NTP64::from(BEFORE);
            let after = entry
                .changed_servers()
                .map_or(NTP64(0), |_| NTP64::from(AFTER));
            entry.node == request.node
                && (from..=request.time + after).contains(&entry.time)
                && concerns(entry, request)
        })
    };
    let mut lines: Vec<&LogLine> = entries
        .iter()
        .filter(|entry| is_own(entry) || is_around(entry))
        .collect();
    lines.sort_by_key(|entry| entry.time);
    lines
}

fn concerns(entry: &LogLine, request: &LogLine) -> bool {
    let Some(changed) = entry.changed_servers() else {
        return entry.message != REQUEST;
    };
    let servers = request.text("servers").unwrap_or_default();
    servers
        .split(',')
        .any(|server| changed.split(',').any(|changed| changed == server))
}
