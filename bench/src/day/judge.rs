//! Judges a day by its record: finds what broke the rules that the users hold gateways to.
//!
//! Some of the rules are about more than callers and servers see here. [`Rule`] says for each what the judge can't see.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use self::index::Index;
use super::record::DayRecord;

mod answers;
mod configs;
mod ends;
mod index;
mod retries;
mod runs;
#[cfg(test)]
mod tests;

/// A rule that gateways must keep.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rule {
    /// A stream misses, repeats or joins pieces, or ends as complete before its last one.
    Order,
    /// A caller gets an answer that isn't the whole answer to its request. Unseen: failures that servers gave another status.
    Mixed,
    /// A request that may run once runs more often.
    Twice,
    /// A request that may run once is reported as not run and runs.
    Refused,
    /// A server runs what no caller sent so. Unseen: the method.
    Unasked,
    /// A request runs at a service, or with a key, that no configuration has for it.
    Route,
    /// A request that a gateway passed on is dropped. Unseen: requests that a gateway read and never passed on, and whether a server
    /// broke off by itself without a trouble at it.
    Lost,
    /// Requests reach too many servers, are repeated too often, or are handed more time than is left. Unseen: requests that a server
    /// rejected.
    Budget,
    /// A request reaches a server after its caller has left. Unseen: servers that work on although their caller has left, since
    /// runs have no time of their end.
    Gone,
    /// A configuration that should be in force isn't, or requests have no end at their timeout. Unseen: gateways that go back to an
    /// older version within the time that they have for a new one.
    Config,
}

impl Rule {
    /// All rules, in the order in which reports name them.
    pub const ALL: [Self; 10] = [
        Self::Order,
        Self::Mixed,
        Self::Twice,
        Self::Refused,
        Self::Unasked,
        Self::Route,
        Self::Lost,
        Self::Budget,
        Self::Gone,
        Self::Config,
    ];

    /// Returns the name by which the users' pages call it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Order => "ORDER",
            Self::Mixed => "MIXED",
            Self::Twice => "TWICE",
            Self::Refused => "REFUSED",
            Self::Unasked => "UNASKED",
            Self::Route => "ROUTE",
            Self::Lost => "LOST",
            Self::Budget => "BUDGET",
            Self::Gone => "GONE",
            Self::Config => "CONFIG",
        }
    }
}

/// Something that broke a rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The rule that it broke.
    pub rule: Rule,
    /// IDs of the requests that it is about.
    pub ids: Vec<String>,
    /// What was seen.
    pub detail: String,
    /// When it was.
    pub at: Instant,
}

impl Finding {
    /// Returns the text of the finding with its time since `started`.
    pub fn text(&self, started: Instant) -> String {
        let at = self.at.saturating_duration_since(started);
        let (name, ids) = (self.rule.name(), self.ids.join(" "));
        format!(
            "{name} at {:.3} s: {ids}: {}",
            at.as_secs_f64(),
            self.detail
        )
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What the judge says of a day.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Sorted by rule and then by time.
    pub findings: Vec<Finding>,
    /// Streams that began, each with all its attempts.
    pub begun_streams: usize,
    /// Those of them whose events are out of order.
    pub streams_out_of_order: usize,
    /// Successful plain answers.
    pub plain_answers: usize,
    /// Those of them that aren't the whole answers to their requests.
    pub plain_answers_wrong: usize,
}

/// Judges a day.
pub fn judge(day: &DayRecord) -> Verdict {
    let index = Index::new(day);
    let mut verdict = Verdict::default();
    answers::check(&index, &mut verdict);
    runs::check(&index, &mut verdict.findings);
    ends::check(&index, &mut verdict.findings);
    retries::check(&index, &mut verdict.findings);
    configs::check(&index, &mut verdict.findings);
    verdict.findings.sort_by_key(|it| (it.rule, it.at));
    verdict
}

/// Returns the finding about one request.
fn finding(rule: Rule, id: &str, at: Instant, detail: String) -> Finding {
    Finding {
        rule,
        ids: vec![id.to_owned()],
        detail,
        at,
    }
}

/// Returns the finding about several requests, of which it names as many as a reader may look up.
fn finding_of_many<'a>(
    rule: Rule,
    requests: impl Iterator<Item = (&'a str, Instant)> + Clone,
    detail: String,
) -> Option<Finding> {
    const NAMED: usize = 12;
    let at = requests.clone().map(|(_, at)| at).min()?;
    let ids = requests.take(NAMED).map(|(id, _)| id.to_owned());
    Some(Finding {
        rule,
        ids: ids.collect(),
        detail,
        at,
    })
}

/// Returns a time in milliseconds, as details name it.
fn ms(time: Duration) -> String {
    format!("{:.0} ms", time.as_secs_f64() * 1e3)
}
