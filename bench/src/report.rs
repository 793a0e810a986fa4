//! The report of a run: its figures, computed from the records of the callers and of the stand-ins.
//!
//! A promise is a guarantee of currantbend that every run checks; its field counts the violations and must be 0.
//! Nothing that a node reports about itself is used for a promise. Only the control traffic is read from the nodes'
//! metrics.

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

/// True mean load below which the skew is not computed, because a single request is then a large share of the load.
const SKEW_MIN_MEAN: f64 = 4.0;

/// Input from which a report is computed.
#[derive(Debug)]
pub struct ReportInput<'a> {
    /// Options of the fleet.
    pub fleet: &'a FleetOptions,
    /// Records of the calls, by the callers.
    pub calls: &'a [CallRecord],
    /// Records of the requests that were started at engines, by the engines.
    pub engine_starts: &'a [EngineStart],
    /// Records of the calls that plain servers ran, by the plain servers.
    pub service_runs: &'a [ServiceRun],
    /// Number of records appended to the log during the load.
    pub log_appends: u64,
    /// Changes in the set of engines, in time order.
    pub engine_changes: &'a [EngineChange],
    /// Resource usage of the nodes before the load.
    pub stats_before: &'a [NodeStats],
    /// Resource usage of the nodes after the load.
    pub stats_after: &'a [NodeStats],
    /// Duration of the load.
    pub load_time: Duration,
    /// Latency that a node adds to a call, if it was measured.
    pub added_time: Option<AddedTime>,
    /// Number of times that accepted configuration reverted.
    pub reverted: u64,
    /// Descriptions of conditions of the cases that were not met.
    pub failures: &'a [String],
    /// Additional figures of the cases, by name.
    pub figures: BTreeMap<&'static str, f64>,
}

/// The report of a run, which is printed as one line of JSON.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Report {
    /// Names of the cases.
    pub case: String,
    /// Seed of the run.
    pub seed: u64,
    /// Name of the routing policy.
    pub policy: String,
    /// Number of nodes.
    pub nodes: u8,
    /// Number of engines at the start.
    pub engines: u32,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Number of calls.
    pub requests: u64,
    /// Calls that received their complete answer.
    pub answered: u64,
    /// Calls whose final outcome is that they did not run.
    pub not_run: u64,
    /// Calls whose callers do not know whether they ran.
    pub unknown: u64,
    /// Calls for which no node accepted a connection.
    pub refused: u64,
    /// Retries after attempts that did not run.
    pub retried: u64,
    /// Promise: answers that were not the ones to their requests.
    pub wrong: u64,
    /// Promise: answers that ended like complete ones, but with a part missing.
    pub incomplete: u64,
    /// Answers that were aborted or ended with an error, so the caller knows that they are incomplete.
    pub broken: u64,
    /// Promise: payments that ran more than once.
    pub double_runs: u64,
    /// Payments that were finally sent with a ticket as their key.
    pub ticketed: u64,
    /// Share of the payments with a ticket that were answered, in the data centre with the lowest share.
    pub ticketed_answered_min: Option<f64>,
    /// Appends to the log per second, as counted by the log.
    pub log_appends_per_s: f64,
    /// Appends to the log per payment.
    pub appends_per_payment: f64,
    /// Promise: calls that ran although a response said that they did not.
    pub false_not_run: u64,
    /// Promise: calls that were aborted by a node that was stopping gracefully.
    pub cut_off: u64,
    /// Promise: requests that were started at backend servers which had been leaving for some seconds.
    pub late_new_work: u64,
    /// Promise: times that accepted configuration reverted.
    pub reverted: u64,
    /// Share of the prompt tokens that were cached at the engine.
    pub cache_reuse: f64,
    /// The share that stable hashing without a load bound would reach for the same calls.
    pub cache_reuse_ideal: f64,
    /// Highest ratio of an engine's load to the true mean load.
    pub skew_peak: f64,
    /// Load bound: the allowed ratio to the mean load.
    pub skew_bound: f64,
    /// Promise: request starts that brought an engine above the load bound.
    pub overload_samples: u64,
    /// Requests that were started at engines.
    pub engine_starts: u64,
    /// True mean load of the engines, averaged over all request starts.
    pub mean_load: f64,
    /// Mean control traffic of a node, in bytes per second.
    pub control_bytes_per_s: f64,
    /// Median time to the first byte, in milliseconds.
    pub first_byte_ms_p50: f64,
    /// 95th percentile of the time to the first byte, in milliseconds.
    pub first_byte_ms_p95: f64,
    /// Median latency through a node minus that of a direct call, in milliseconds.
    pub added_ms_p50: Option<f64>,
    /// Mean CPU usage of a node, in cores.
    pub node_cpu: f64,
    /// Highest resident memory of a node after the load, in MiB.
    pub node_rss_mb: f64,
    /// Descriptions of conditions of the cases that were not met.
    pub failures: Vec<String>,
    /// Additional figures of the cases.
    #[serde(flatten)]
    pub figures: BTreeMap<&'static str, f64>,
}

impl Report {
    /// Computes the report of a run.
    pub fn new(input: &ReportInput<'_>) -> Report {
        let calls = input.calls;
        let count = |test: fn(&CallOutcome) -> bool| {
            calls.iter().filter(|call| test(&call.outcome)).count() as u64
        };
        let payments = calls.iter().filter(|call| call.kind == CallKind::Payment);
        let payments = payments.count();
        let bound = f64::from(input.fleet.bound_permille) / 1000.0;
        let first_byte = first_byte_histogram(calls);
        let means: f64 = input
            .engine_starts
            .iter()
            .map(|start| start.mean_load)
            .sum();
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
            first_byte_ms_p50: quantile_ms(&first_byte, 0.5),
            first_byte_ms_p95: quantile_ms(&first_byte, 0.95),
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

    /// Returns whether all promise fields are 0 and all conditions of the cases were met.
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

    /// Returns the report as one line of JSON.
    pub fn to_line(&self) -> String {
        serde_json::to_string(self).expect("a report has only text keys")
    }
}

/// Returns the number of retries after attempts that did not run. If the last attempt did not run, none followed it.
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
        // The histogram resizes itself, so every time can be recorded.
        let _ = histogram.record(u64::try_from(first_byte.as_micros()).unwrap_or(u64::MAX));
    }
    histogram
}

fn first_byte_after(call: &CallRecord) -> Option<Duration> {
    let first_byte: Instant = call.first_byte?;
    Some(first_byte.saturating_duration_since(call.started))
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    round(histogram.value_at_quantile(quantile) as f64 / 1000.0)
}

fn skew_peak(starts: &[EngineStart]) -> f64 {
    let loaded = starts
        .iter()
        .filter(|start| start.mean_load >= SKEW_MIN_MEAN);
    loaded
        .map(|start| f64::from(start.engine_load) / start.mean_load)
        .fold(0.0, f64::max)
}

/// Returns the usage of a node during the load. For a node that was restarted, it is the usage since the restart.
fn usage_during_load(
    before: &[NodeStats],
    after: &NodeStats,
    figure: fn(&NodeStats) -> f64,
) -> f64 {
    let previous = before
        .iter()
        .find(|previous| previous.name == after.name && previous.pid == after.pid);
    figure(after) - previous.map_or(0.0, figure)
}

fn node_cpu(input: &ReportInput<'_>) -> f64 {
    let usage: f64 = input
        .stats_after
        .iter()
        .map(|after| usage_during_load(input.stats_before, after, |stats| stats.cpu_seconds))
        .sum();
    ratio(
        usage,
        input.stats_after.len() as f64 * input.load_time.as_secs_f64(),
    )
}

fn control_rate(input: &ReportInput<'_>) -> f64 {
    let bytes = |stats: &NodeStats| stats.control_bytes.unwrap_or(0.0);
    let usage: f64 = input
        .stats_after
        .iter()
        .map(|after| usage_during_load(input.stats_before, after, bytes))
        .sum();
    ratio(
        usage,
        input.stats_after.len() as f64 * input.load_time.as_secs_f64(),
    )
}

/// Returns `numerator / denominator`, or 0 if the denominator is not positive.
fn ratio(numerator: f64, denominator: f64) -> f64 {
    if denominator > 0.0 {
        numerator / denominator
    } else {
        0.0
    }
}

/// Rounds to thousandths, which makes the reports easy to compare.
fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
