//! Lines of the logs of gateways.

use serde_json::Map;
use serde_json::Value;
use std::fmt;
use std::time::Duration;
use uhlc::NTP64;

/// Message of a line on a request, and key of the request's id on that line.
pub(super) const REQUEST: &str = "request";

/// A line of a gateway's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    pub(super) time: NTP64,
    pub(super) node: String,
    pub(super) message: String,
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

    pub(super) fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key)?.as_str()
    }

    pub(super) fn number(&self, key: &str) -> Option<u64> {
        self.fields.get(key)?.as_u64()
    }

    /// Returns the time at which the request arrived, for a line on a request.
    pub(super) fn start_time(&self) -> NTP64 {
        let took = NTP64::from(Duration::from_millis(self.number("ms").unwrap_or(0)));
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
