//! The figures of a run, made from the records of the callers and of the stand-ins.
//!
//! The nodes' own word counts for nothing in the promises; only control traffic is read from their metrics.

mod ideal;
mod promises;

pub use self::promises::is_over_bound;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::fleet::EngineChange;
use crate::fleet::FleetOptions;
use crate::fleet::NodeStats;
use crate::load::AddedTime;
use crate::load::CallKind;
use crate::load::CallOutcome;
use crate::load::CallRecord;
use crate::truth::EngineStart;
use crate::truth::ServiceRun;

/// True mean load below which skew is not looked at, because one request more is then a large share.
const SKEW_MIN_MEAN: f64 = 4.0;

/// All that a report is made from.
#[derive(Debug)]
pub struct ReportInput<'a> {
    /// What the fleet was made of.
    pub fleet: &'a FleetOptions,
    /// The callers' records.
    pub calls: &'a [CallRecord],
    /// The engines' records.
    pub engine_starts: &'a [EngineStart],
    /// The plain servers' records.
    pub service_runs: &'a [ServiceRun],
    /// Appends that the log took during the load.
    pub log_appends: u64,
    /// Engines that joined or left.
    pub engine_changes: &'a [EngineChange],
    /// The nodes' use before the load.
    pub stats_before: &'a [NodeStats],
    /// The nodes' use after the load.
    pub stats_after: &'a [NodeStats],
    /// Time that the load took.
    pub load_time: Duration,
    /// Time that the nodes add, where it was measured.
    pub added_time: Option<AddedTime>,
    /// Accepted configuration that was seen to revert.
    pub reverted: u64,
    /// Further conditions of the cases that were not met.
    pub failures: &'a [String],
    /// Figures of the cases' own, by name.
    pub figures: BTreeMap<&'static str, f64>,
}

/// The JSON line of a run.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Report {
    /// Names of the cases.
    pub case: String,
    /// Seed of the run.
    pub seed: u64,
    /// Policy of routing.
    pub policy: String,
    /// Count of nodes.
    pub nodes: u8,
    /// Count of engines at the start.
    pub engines: u32,
    /// Seconds that the load took.
    pub seconds: f64,
    /// Calls made.
    pub requests: u64,
    /// Calls that got their whole answer.
    pub answered: u64,
    /// Calls whose final outcome was that they did not run.
    pub not_run: u64,
    /// Calls whose callers can't tell whether they ran.
    pub unknown: u64,
    /// Calls that no node took a connection for.
    pub refused: u64,
    /// Attempts that were refused and made again.
    pub retried: u64,
    /// Promise: answers that were not those of their requests.
    pub wrong: u64,
    /// Promise: answers that ended as if whole, but were not.
    pub incomplete: u64,
    /// Answers that broke off, or ended with an error, for the caller to see.
    pub broken: u64,
    /// Promise: keys of non-idempotent calls that ran more than once.
    pub double_runs: u64,
    /// Payments that went by a ticket at last.
    pub ticketed: u64,
    /// Share of those that were answered, in the data centre where it is lowest.
    pub ticketed_answered_min: Option<f64>,
    /// Appends to the log in each second, by its own count.
    pub log_appends_per_s: f64,
    /// Appends to the log for each payment.
    pub appends_per_payment: f64,
    /// Promise: calls that ran though their callers were told that they did not.
    pub false_not_run: u64,
    /// Promise: answers cut off by a node that was stopping gracefully.
    pub cut_off: u64,
    /// Promise: requests started at backend servers that had been leaving for some seconds.
    pub late_new_work: u64,
    /// Promise: accepted configuration that reverted.
    pub reverted: u64,
    /// Share of the prompts' tokens that were cached.
    pub cache_reuse: f64,
    /// The same under stable hashing without a load bound, on the same calls.
    pub cache_reuse_ideal: f64,
    /// Highest load of an engine over the true mean.
    pub skew_peak: f64,
    /// The multiple of the mean that is allowed.
    pub skew_bound: f64,
    /// Promise: requests that started over the load bound.
    pub overload_samples: u64,
    /// Requests that started at engines.
    pub engine_starts: u64,
    /// True mean load of the engines over all starts.
    pub mean_load: f64,
    /// Control traffic of each node, in bytes a second.
    pub control_bytes_per_s: f64,
    /// Median time to the first byte, in milliseconds.
    pub first_byte_ms_p50: f64,
    /// 95th percentile of the time to the first byte, in milliseconds.
    pub first_byte_ms_p95: f64,
    /// Median time over that of a direct call, in milliseconds.
    pub added_ms_p50: Option<f64>,
    /// Mean use of the processor by a node, in cores.
    pub node_cpu: f64,
    /// Highest resident memory of a node, in MiB.
    pub node_rss_mb: f64,
    /// Further conditions of the cases that were not met.
    pub failures: Vec<String>,
    /// Figures of the cases' own.
    #[serde(flatten)]
    pub figures: BTreeMap<&'static str, f64>,
}

impl Report {
    /// Makes the report of a run.
    pub fn new(input: &ReportInput<'_>) -> Report {
        let calls = input.calls;
        let count = |test: fn(&CallOutcome) -> bool| {
            calls.iter().filter(|call| test(&call.outcome)).count() as u64
        };
        let payments = calls.iter().filter(|call| call.kind == CallKind::Payment);
        let payments = payments.count();
        let bound = f64::from(input.fleet.bound_permille) / 1000.0;
        let first_byte = first_byte_histogram(calls);
        let means: f64 = input.engine_starts.iter().map(|start| start.mean).sum();
        Report {
            case: input.fleet.case.clone(),
            seed: input.fleet.seed,
            policy: input.fleet.policy.clone(),
            nodes: input.fleet.nodes,
            engines: input.fleet.engines,
            seconds: round(input.load_time.as_secs_f64()),
            requests: calls.len() as u64,
            answered: count(|outcome| matches!(outcome, CallOutcome::Answered)),
            not_run: count(|outcome| matches!(outcome, CallOutcome::NotRun { .. })),
            unknown: count(|outcome| matches!(outcome, CallOutcome::Unknown { .. })),
            refused: count(|outcome| matches!(outcome, CallOutcome::Refused)),
            retried: calls.iter().map(retries).sum(),
            wrong: count(|outcome| matches!(outcome, CallOutcome::Wrong { .. })),
            incomplete: count(|outcome| matches!(outcome, CallOutcome::Incomplete)),
            broken: count(|outcome| {
                matches!(
                    outcome,
                    CallOutcome::Broken { .. } | CallOutcome::ErrorEvent { .. }
                )
            }),
            double_runs: promises::double_runs(calls, input.service_runs),
            ticketed: calls.iter().filter(|call| call.issuer.is_some()).count() as u64,
            ticketed_answered_min: promises::ticketed_answered_min(calls).map(round),
            log_appends_per_s: round(ratio(
                input.log_appends as f64,
                input.load_time.as_secs_f64(),
            )),
            appends_per_payment: round(ratio(input.log_appends as f64, payments as f64)),
            false_not_run: promises::false_not_run(calls, input.engine_starts, input.service_runs),
            cut_off: count(|outcome| matches!(outcome, CallOutcome::CutOff)),
            late_new_work: promises::late_new_work(input.engine_starts, input.service_runs),
            reverted: input.reverted,
            cache_reuse: round(promises::cache_reuse(calls, input.engine_starts)),
            cache_reuse_ideal: round(ideal::cache_reuse(
                calls,
                input.engine_changes,
                input.fleet.engine.cache_tokens,
            )),
            skew_peak: round(skew_peak(input.engine_starts)),
            skew_bound: bound,
            overload_samples: promises::overload_samples(
                input.engine_starts,
                bound,
                input.fleet.floor,
            ),
            engine_starts: input.engine_starts.len() as u64,
            mean_load: round(ratio(means, input.engine_starts.len() as f64)),
            control_bytes_per_s: round(control_rate(input)),
            first_byte_ms_p50: millis(&first_byte, 0.5),
            first_byte_ms_p95: millis(&first_byte, 0.95),
            added_ms_p50: input.added_time.map(|added| round(added.added_ms())),
            node_cpu: round(node_cpu(input)),
            node_rss_mb: round(
                input
                    .stats_after
                    .iter()
                    .map(|stats| stats.rss_mb)
                    .fold(0.0, f64::max),
            ),
            failures: input.failures.to_vec(),
            figures: input
                .figures
                .iter()
                .map(|(name, value)| (*name, round(*value)))
                .collect(),
        }
    }

    /// Tells whether every promise field is 0 and every condition of the cases was met.
    pub fn promises_kept(&self) -> bool {
        let promises = [
            self.wrong,
            self.incomplete,
            self.double_runs,
            self.false_not_run,
            self.cut_off,
            self.late_new_work,
            self.reverted,
            self.overload_samples,
        ];
        promises.iter().all(|broken| *broken == 0) && self.failures.is_empty()
    }

    /// The report as one line of JSON.
    pub fn to_line(&self) -> String {
        serde_json::to_string(self).expect("a report has only text keys")
    }
}

/// Counts the attempts after the first; a last refusal brought none.
fn retries(call: &CallRecord) -> u64 {
    let last_did_not_run = matches!(call.outcome, CallOutcome::NotRun { .. });
    (call.not_run_at.len() as u64).saturating_sub(u64::from(last_did_not_run))
}

fn first_byte_histogram(calls: &[CallRecord]) -> Histogram<u64> {
    let mut histogram =
        Histogram::new(3).expect("three significant digits are within what the histogram allows");
    let answered = calls
        .iter()
        .filter(|call| call.outcome == CallOutcome::Answered);
    for first_byte in answered.filter_map(first_byte_after) {
        // It grows by itself, so that no time is too long for it.
        let _ = histogram.record(u64::try_from(first_byte.as_micros()).unwrap_or(u64::MAX));
    }
    histogram
}

fn first_byte_after(call: &CallRecord) -> Option<Duration> {
    let first_byte: Instant = call.first_byte?;
    Some(first_byte.saturating_duration_since(call.started))
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    round(histogram.value_at_quantile(quantile) as f64 / 1000.0)
}

fn skew_peak(starts: &[EngineStart]) -> f64 {
    let loaded = starts.iter().filter(|start| start.mean >= SKEW_MIN_MEAN);
    loaded
        .map(|start| f64::from(start.load_with) / start.mean)
        .fold(0.0, f64::max)
}

/// What a node used during the load; one that started again counts from its new start.
fn used(before: &[NodeStats], after: &NodeStats, figure: fn(&NodeStats) -> f64) -> f64 {
    let former = before
        .iter()
        .find(|former| former.name == after.name && former.pid == after.pid);
    figure(after) - former.map_or(0.0, figure)
}

fn node_cpu(input: &ReportInput<'_>) -> f64 {
    let used: f64 = input
        .stats_after
        .iter()
        .map(|after| used(input.stats_before, after, |stats| stats.cpu_seconds))
        .sum();
    ratio(
        used,
        input.stats_after.len() as f64 * input.load_time.as_secs_f64(),
    )
}

fn control_rate(input: &ReportInput<'_>) -> f64 {
    let bytes = |stats: &NodeStats| stats.control_bytes.unwrap_or(0.0);
    let used: f64 = input
        .stats_after
        .iter()
        .map(|after| used(input.stats_before, after, bytes))
        .sum();
    ratio(
        used,
        input.stats_after.len() as f64 * input.load_time.as_secs_f64(),
    )
}

/// Divides, with 0 for a share of nothing.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

/// Rounds to thousandths, so that lines are easy to compare.
fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
