//! Follows a request through the logs of gateways: selects its lines, and the changes that its nodes logged around it.
//!
//! A gateway writes one line on a request when the request ends, and one line on each change of its catalog state, its
//! local copy of the configuration and the server list. The line on a request lists the servers, versions and ages that
//! its routing was based on; the changes around it explain them. `docs/OPERATIONS.md` shows how to read the lines.

use super::log_line::LogLine;
use super::log_line::REQUEST;
use std::time::Duration;
use uhlc::NTP64;

/// Time before a request's arrival from which changes on its nodes are shown. The loss of a dependency affects
/// responses at the latest when the catalog state has become stale, some seconds later.
const SHOWN_BEFORE_REQUEST: Duration = Duration::from_secs(10);
/// Time after a request's end up to which changes of its servers are shown. The entry of a crashed server in the server
/// list expires after three heartbeats, and a gateway notices that within a second or two.
const SHOWN_AFTER_REQUEST: Duration = Duration::from_secs(6);
/// Messages of lines on changes of backend servers, each with the key of the servers' names: changes that a node read
/// from the server list, and changes that it received from a peer. They are shown if the request was sent to one of the
/// servers.
const SERVER_CHANGE_MESSAGES: [(&str, &str); 2] =
    [("server changed", "server"), ("servers told", "changed")];

/// Returns the names of the servers that a line says changed, separated by commas, or `None` if it is on something else.
fn changed_servers(line: &LogLine) -> Option<&str> {
    let matching = SERVER_CHANGE_MESSAGES
        .iter()
        .find(|(message, _)| *message == line.message);
    matching.map(|(_, key)| line.text(key).unwrap_or_default())
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
            let shown_after =
                changed_servers(line).map_or(NTP64(0), |_| NTP64::from(SHOWN_AFTER_REQUEST));
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
    let Some(changed) = changed_servers(line) else {
        return line.message != REQUEST;
    };
    let servers = request.text("servers").unwrap_or_default();
    servers
        .split(',')
        .any(|server| changed.split(',').any(|changed| changed == server))
}
