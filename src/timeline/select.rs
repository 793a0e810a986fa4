//! Selects the lines of a timeline that an operator asks for.

use super::merge::Line;
use uhlc::NTP64;

/// Criteria for the selection of lines; a criterion that is `None` accepts every line.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    /// The caller's request.
    pub request: Option<String>,
    /// The chat; all events of its requests are selected.
    pub chat: Option<String>,
    /// The team; all events of its requests are selected.
    pub team: Option<String>,
    /// The backend server; its own events and all events of requests that were sent to it are selected.
    pub backend: Option<String>,
    /// The node that wrote the event.
    pub node: Option<String>,
    /// Start of the time range, inclusive.
    pub from: Option<NTP64>,
    /// End of the time range, exclusive.
    pub to: Option<NTP64>,
}

impl Selection {
    /// Returns the lines that match the criteria.
    ///
    /// An event has only the fields that are known where it is recorded. Therefore, if one event of a request matches,
    /// all events of the request are selected that match the node and the time range.
    pub fn apply(&self, lines: Vec<Line>) -> Vec<Line> {
        let requests = self.matching_requests(&lines);
        let is_selected = |line: &Line| {
            let is_request_selected = line
                .request
                .as_ref()
                .is_some_and(|request| requests.binary_search(request).is_ok());
            (is_request_selected || self.matches(line)) && self.matches_node_and_time(line)
        };
        lines.into_iter().filter(is_selected).collect()
    }

    /// Returns the requests that have a matching event, sorted.
    fn matching_requests(&self, lines: &[Line]) -> Vec<String> {
        let matching = lines.iter().filter(|line| self.matches(line));
        let mut requests: Vec<String> = matching.filter_map(|line| line.request.clone()).collect();
        requests.sort();
        requests.dedup();
        requests
    }

    fn matches(&self, line: &Line) -> bool {
        let pairs = [
            (&self.request, &line.request),
            (&self.chat, &line.chat),
            (&self.team, &line.team),
            (&self.backend, &line.backend),
        ];
        pairs
            .iter()
            .all(|(criterion, value)| criterion.is_none() || criterion == value)
    }

    fn matches_node_and_time(&self, line: &Line) -> bool {
        let time = line.time();
        self.node.as_ref().is_none_or(|node| *node == line.node)
            && self.from.is_none_or(|from| time >= from)
            && self.to.is_none_or(|to| time < to)
    }
}
