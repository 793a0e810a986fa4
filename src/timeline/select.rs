//! Picks the lines of a time line that an operator asks for.

use super::merge::Line;
use uhlc::NTP64;

/// What is asked for; everything where nothing is set.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    /// The caller's request.
    pub request: Option<String>,
    /// The chat; all events of its requests are shown.
    pub chat: Option<String>,
    /// The team; all events of its requests are shown.
    pub team: Option<String>,
    /// The backend server; all events of requests that met it are shown.
    pub backend: Option<String>,
    /// The node that wrote the event.
    pub node: Option<String>,
    /// Earliest time.
    pub from: Option<NTP64>,
    /// Time from which on nothing is shown.
    pub to: Option<NTP64>,
}

impl Selection {
    /// Keeps the lines that are asked for.
    ///
    /// An event names only what its place knows of, so that a request is shown whole where one of its events fits.
    pub fn apply(&self, lines: Vec<Line>) -> Vec<Line> {
        let requests = self.requests(&lines);
        let is_asked = |line: &Line| {
            let picked = line
                .request
                .as_ref()
                .is_some_and(|request| requests.binary_search(request).is_ok());
            (picked || self.fits(line)) && self.is_in_place(line)
        };
        lines.into_iter().filter(is_asked).collect()
    }

    /// Lists the requests that one event fits, sorted.
    fn requests(&self, lines: &[Line]) -> Vec<String> {
        let fitting = lines.iter().filter(|line| self.fits(line));
        let mut requests: Vec<String> = fitting.filter_map(|line| line.request.clone()).collect();
        requests.sort();
        requests.dedup();
        requests
    }

    fn fits(&self, line: &Line) -> bool {
        let pairs = [
            (&self.request, &line.request),
            (&self.chat, &line.chat),
            (&self.team, &line.team),
            (&self.backend, &line.backend),
        ];
        pairs
            .iter()
            .all(|(asked, found)| asked.is_none() || asked == found)
    }

    fn is_in_place(&self, line: &Line) -> bool {
        let time = line.time();
        self.node.as_ref().is_none_or(|node| *node == line.node)
            && self.from.is_none_or(|from| time >= from)
            && self.to.is_none_or(|to| time < to)
    }
}
