//! Counts the requests that gateways did not answer, beside changes of the configuration and at other times.
//!
//! Something that a change breaks shows as answers that end early more often beside changes than at other times. Which
//! spans count as beside a change, and what is left out, is described in `docs/TIMELINE.md`.

use super::log_line::LogLine;
use super::log_line::REQUEST;
use std::fmt;
use std::time::Duration;
use uhlc::NTP64;

/// Messages of the lines that name a version of the configuration.
const CONFIG_MESSAGES: [&str; 2] = ["configuration read", "configuration received from peer"];
/// Message of the line on request lines that were over the ceiling.
pub(super) const LEFT_OUT: &str = "request lines left out";
/// Outcome of a request that ended without a whole answer or a refusal.
const CUT_OFF: &str = "cut off";
/// Time after a change for which it counts, beyond the time in which it takes force.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// Ratio of the rates, beside changes to other times, over which changes are to blame.
const MAX_RATIO: f64 = 3.0;
/// Share of its time, in tenths, after which the early end of a request is not put down to a change.
const LATE_TENTHS: u64 = 7;

/// A figure beside changes and at other times.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Split<T> {
    /// Beside changes of the configuration.
    pub beside: T,
    /// At other times.
    pub other: T,
}

/// Requests of one outcome and cause.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CauseCount {
    /// Outcome on the lines of the requests.
    pub outcome: String,
    /// Cause on the lines of the requests.
    pub cause: String,
    /// Number of requests.
    pub count: Split<u32>,
}

/// Answers that one gateway cut off before most of the time of their requests was used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewayCount {
    /// Name of the gateway.
    pub node: String,
    /// Number of answers.
    pub count: Split<u32>,
}

/// Requests that were not answered, and how their number compares beside changes of the configuration and at other times.
#[derive(Clone, Debug, Default)]
pub struct Unanswered {
    /// Changes of the configuration.
    pub changes: usize,
    /// Time from the first to the last end of a request.
    pub time: Split<Duration>,
    /// Lines on requests.
    pub requests: Split<u32>,
    /// Requests that were not answered, by outcome and cause, sorted.
    pub causes: Vec<CauseCount>,
    /// Requests that were cut off after most of their time.
    pub late: Split<u32>,
    /// Requests that were cut off before.
    pub early: Split<u32>,
    /// Gateways with early cuts, sorted by name.
    pub gateways: Vec<GatewayCount>,
    /// Lines on requests that the gateways left out.
    pub left_out: u64,
}

impl Split<u32> {
    fn add(&mut self, is_beside: bool) {
        *if is_beside {
            &mut self.beside
        } else {
            &mut self.other
        } += 1;
    }

    /// Returns the number in a second, or zero for a span without length.
    fn rates(self, time: Split<Duration>) -> Split<f64> {
        let rate = |count: u32, time: Duration| {
            if time.is_zero() {
                0.0
            } else {
                f64::from(count) / time.as_secs_f64()
            }
        };
        Split {
            beside: rate(self.beside, time.beside),
            other: rate(self.other, time.other),
        }
    }

    fn is_blamed_on_changes(self, time: Split<Duration>) -> bool {
        let rates = self.rates(time);
        rates.beside > MAX_RATIO * rates.other
    }
}

impl Unanswered {
    /// Counts the requests on `log_lines`, the lines of all gateways. A change counts from the first line that names its
    /// version until `config_apply`, the time in which it takes force everywhere, and a second have passed.
    pub fn count(log_lines: &[LogLine], config_apply: Duration) -> Self {
        let changes = change_times(log_lines);
        let span = NTP64::from(config_apply + SETTLING_TIME);
        let is_beside = |time: NTP64| {
            let began = changes.partition_point(|change| *change <= time);
            began > 0 && time <= changes[began - 1] + span
        };
        let mut unanswered = Self {
            changes: changes.len(),
            time: split_time(log_lines, &changes, span),
            ..Self::default()
        };
        for line in log_lines {
            if line.message == REQUEST {
                unanswered.add(line, is_beside(line.time));
            } else if line.message == LEFT_OUT {
                unanswered.left_out += line.number("count").unwrap_or(0);
            }
        }
        unanswered
    }

    /// Returns whether answers are cut off over three times as often beside changes as at other times.
    pub fn is_blamed_on_changes(&self) -> bool {
        self.early.is_blamed_on_changes(self.time)
    }

    fn add(&mut self, line: &LogLine, is_beside: bool) {
        self.requests.add(is_beside);
        let outcome = line.text("outcome").unwrap_or_default();
        if outcome == "answered" {
            return;
        }
        let cause = line.text("cause").unwrap_or_default();
        let index = self
            .causes
            .binary_search_by(|row| (&*row.outcome, &*row.cause).cmp(&(outcome, cause)));
        let index = index.unwrap_or_else(|index| {
            let row = CauseCount {
                outcome: outcome.to_owned(),
                cause: cause.to_owned(),
                count: Split::default(),
            };
            self.causes.insert(index, row);
            index
        });
        self.causes[index].count.add(is_beside);
        if outcome != CUT_OFF {
            return;
        }
        if is_late(line) {
            self.late.add(is_beside);
            return;
        }
        self.early.add(is_beside);
        let index = self
            .gateways
            .binary_search_by(|gateway| gateway.node.cmp(&line.node));
        let index = index.unwrap_or_else(|index| {
            let gateway = GatewayCount {
                node: line.node.clone(),
                count: Split::default(),
            };
            self.gateways.insert(index, gateway);
            index
        });
        self.gateways[index].count.add(is_beside);
    }

    fn write_row(
        f: &mut fmt::Formatter<'_>,
        name: &str,
        count: Split<impl fmt::Display>,
    ) -> fmt::Result {
        writeln!(f, "{:>8} {:>8}  {name}", count.beside, count.other)
    }
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = self.time;
        writeln!(f, "  beside    other  changes: {}", self.changes)?;
        let seconds = Split {
            beside: format!("{:.1}", time.beside.as_secs_f64()),
            other: format!("{:.1}", time.other.as_secs_f64()),
        };
        Self::write_row(f, "seconds", seconds)?;
        Self::write_row(f, "requests", self.requests)?;
        for row in &self.causes {
            Self::write_row(f, &format!("{}: {}", row.outcome, row.cause), row.count)?;
        }
        Self::write_row(f, "cut off after seven tenths of their time", self.late)?;
        Self::write_row(f, "cut off before", self.early)?;
        let rates = self.early.rates(time);
        let rates = Split {
            beside: format!("{:.3}", rates.beside),
            other: format!("{:.3}", rates.other),
        };
        Self::write_row(f, "cut off before, in a second", rates)?;
        let answer = if self.is_blamed_on_changes() {
            "yes"
        } else {
            "no"
        };
        writeln!(f, "over three times as often beside changes: {answer}")?;
        let blamed = self
            .gateways
            .iter()
            .filter(|gateway| gateway.count.is_blamed_on_changes(time));
        let names: Vec<String> = blamed
            .map(|GatewayCount { node, count }| {
                format!("{node} ({}, {})", count.beside, count.other)
            })
            .collect();
        if !names.is_empty() {
            writeln!(f, "at {} gateways: {}", names.len(), names.join(", "))?;
        }
        if self.left_out > 0 {
            writeln!(f, "request lines left out: {}", self.left_out)?;
        }
        Ok(())
    }
}

/// Returns whether most of the time of the request was used when it ended; `false` if the line doesn't name its time.
fn is_late(line: &LogLine) -> bool {
    let (Some(ms), Some(limit_ms)) = (line.number("ms"), line.number("limit_ms")) else {
        return false;
    };
    ms.saturating_mul(10) >= limit_ms.saturating_mul(LATE_TENTHS)
}

/// Returns when each version of the configuration was first named, sorted. The lowest version was in force before the logs
/// begin, so it is no change.
fn change_times(log_lines: &[LogLine]) -> Vec<NTP64> {
    let lines = log_lines
        .iter()
        .filter(|line| CONFIG_MESSAGES.contains(&&*line.message));
    let mut versions: Vec<(u64, NTP64)> = lines
        .filter_map(|line| Some((line.number("version")?, line.time)))
        .collect();
    versions.sort();
    versions.dedup_by_key(|(version, _)| *version);
    let mut times: Vec<NTP64> = versions.into_iter().skip(1).map(|(_, time)| time).collect();
    times.sort();
    times
}

/// Splits the time from the first to the last end of a request into what lies within `span` after one of `changes`, and the
/// rest.
fn split_time(log_lines: &[LogLine], changes: &[NTP64], span: NTP64) -> Split<Duration> {
    let ends = log_lines
        .iter()
        .filter(|line| line.message == REQUEST)
        .map(|line| line.time);
    let (Some(first), Some(last)) = (ends.clone().min(), ends.max()) else {
        return Split::default();
    };
    let mut beside = Duration::ZERO;
    let mut counted_until = first;
    for change in changes {
        let from = counted_until.max(*change);
        let until = last.min(*change + span);
        if from < until {
            beside += (until - from).to_duration();
            counted_until = until;
        }
    }
    Split {
        beside,
        other: (last - first).to_duration().saturating_sub(beside),
    }
}
