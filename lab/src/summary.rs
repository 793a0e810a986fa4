//! Summarizes a simulation: how requests were answered, the work that it took, and the worst time window and team.

use crate::job::Job;
use crate::job::JobKind;
use crate::job::JobResult;
use crate::job::Millis;
use crate::pattern::ARRIVALS_MS;
use crate::pattern::Pattern;
use crate::simulation::SimulationResult;
use serde::Serialize;

/// Length of the time windows of which the worst is reported, in milliseconds.
const WINDOW_MS: Millis = 2_000.0;

/// Statistics of a set of requests, such as those of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct RequestStats {
    /// Number of requests.
    #[serde(rename = "asked")]
    pub request_count: usize,
    /// Share answered on time: the first event and all pauses between events met their targets.
    pub on_time: f64,
    /// Share answered, but not on time.
    pub late: f64,
    /// Share that were rejected at least once, got no event of an answer, and were not lost in a crash.
    pub refused: f64,
    /// Share that got no complete answer for another reason, such as a crash or the deadline.
    pub failed: f64,
    /// Earned credit as a share of the credit for answering all requests on time.
    pub credit: f64,
    /// Median time from the first attempt to the first event or the answer of a plain call, in milliseconds.
    pub first_p50: Millis,
    /// 99th percentile of that time, in milliseconds.
    pub first_p99: Millis,
}

/// Summary of one simulation.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Summary {
    /// Name of the load pattern.
    pub pattern: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Statistics of all requests.
    pub all: RequestStats,
    /// Name and statistics of each kind of request.
    pub kinds: Vec<(String, RequestStats)>,
    /// Lowest credit of the requests that arrived in the same two-second window.
    pub worst_window: f64,
    /// Lowest credit of the requests of one team.
    pub worst_team: f64,
    /// Share of the requests rejected at least once that were answered in the end; 1 if none was rejected.
    #[serde(rename = "returns_answered")]
    pub answered_after_rejection: f64,
    /// Processed tokens of shared prompt parts, in thousands.
    pub shared_read_k: f64,
    /// Prompt tokens whose cache was copied between engines, in thousands.
    pub copied_k: f64,
    /// Number of running requests that engines moved back to their queues for lack of memory.
    pub preempted: u64,
}

/// Returns the credit that a result earns, and whether the answer was on time.
fn earned_credit(job: &Job, result: &JobResult, kind: &JobKind) -> (f64, bool) {
    let Some(first) = result.first.filter(|_| result.end.is_some()) else {
        return (0.0, false);
    };
    let is_on_time =
        first - job.arrival <= kind.latency_target && result.longest_gap <= kind.gap_target;
    let earned = if is_on_time {
        kind.on_time_credit
    } else {
        kind.late_credit
    };
    (earned, is_on_time)
}

/// Returns the statistics of the requests for which `is_included` returns `true`.
fn request_stats(
    pattern: &Pattern,
    simulation: &SimulationResult,
    is_included: impl Fn(&Job) -> bool,
) -> RequestStats {
    let jobs = || pattern.jobs.iter().filter(|job| is_included(job));
    let request_count = jobs().count();
    let mut stats = RequestStats {
        request_count,
        ..RequestStats::default()
    };
    let (mut total_earned, mut total_possible) = (0.0, 0.0);
    let mut first_times = Vec::new();
    let share = 1.0 / request_count.max(1) as f64;
    for job in jobs() {
        let (result, kind) = (&simulation.job_results[job.index], &pattern.kinds[job.kind]);
        let (earned, is_on_time) = earned_credit(job, result, kind);
        total_earned += earned;
        total_possible += kind.on_time_credit;
        let count = if is_on_time {
            &mut stats.on_time
        } else if earned > 0.0 {
            &mut stats.late
        } else if result.rejections > 0 && result.first.is_none() && !result.is_lost {
            &mut stats.refused
        } else {
            &mut stats.failed
        };
        *count += share;
        first_times.extend(result.first.map(|first| first - job.arrival));
    }
    first_times.sort_by(f64::total_cmp);
    let percentile = |share: f64| {
        let index = (first_times.len() as f64 * share) as usize;
        first_times
            .get(index.min(first_times.len().saturating_sub(1)))
            .copied()
    };
    stats.first_p50 = percentile(0.5).unwrap_or(0.0);
    stats.first_p99 = percentile(0.99).unwrap_or(0.0);
    stats.credit = total_earned / total_possible.max(f64::EPSILON);
    stats
}

/// Summarizes a simulation of `pattern`.
pub fn summarize(
    pattern: &Pattern,
    simulation: &SimulationResult,
    policy: &str,
    seed: u64,
) -> Summary {
    let kinds = pattern.kinds.iter().enumerate().map(|(index, kind)| {
        let stats = request_stats(pattern, simulation, |job| job.kind == index);
        (kind.name.to_owned(), stats)
    });
    let windows = (0..(ARRIVALS_MS / WINDOW_MS) as usize).map(|window| {
        let start = window as f64 * WINDOW_MS;
        let is_in_window = |job: &Job| (start..start + WINDOW_MS).contains(&job.arrival);
        request_stats(pattern, simulation, is_in_window).credit
    });
    let last_team = pattern.jobs.iter().map(|job| job.team).max().unwrap_or(0);
    let by_team = (0..=last_team)
        .map(|team| request_stats(pattern, simulation, |job| job.team == team).credit);
    let rejected: Vec<&JobResult> = simulation
        .job_results
        .iter()
        .filter(|result| result.rejections > 0)
        .collect();
    let answered = rejected
        .iter()
        .filter(|result| result.end.is_some())
        .count();
    Summary {
        pattern: pattern.name.to_owned(),
        policy: policy.to_owned(),
        seed,
        all: request_stats(pattern, simulation, |_| true),
        kinds: kinds.collect(),
        worst_window: windows.fold(1.0, f64::min),
        worst_team: by_team.fold(1.0, f64::min),
        answered_after_rejection: if rejected.is_empty() {
            1.0
        } else {
            answered as f64 / rejected.len() as f64
        },
        shared_read_k: simulation.stats.shared_prefill_tokens as f64 / 1_000.0,
        copied_k: simulation.copied_tokens as f64 / 1_000.0,
        preempted: simulation.stats.preempted,
    }
}

/// Formats the summaries as a table with one line each.
pub fn table(summaries: &[Summary]) -> String {
    let mut text = format!(
        "{:<12} {:<22} {:>6} {:>7} {:>6} {:>7} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8}\n",
        "pattern",
        "policy",
        "credit",
        "on time",
        "late",
        "refused",
        "failed",
        "worst",
        "team",
        "returns",
        "p50 ms",
        "p99 ms",
        "read k",
        "copied k"
    );
    for row in summaries {
        let all = &row.all;
        text.push_str(&format!(
            "{:<12} {:<22} {:>6.3} {:>7.3} {:>6.3} {:>7.3} {:>6.3} {:>7.3} {:>7.3} {:>7.3} {:>7.0} {:>7.0} {:>8.0} {:>8.0}\n",
            row.pattern,
            row.policy,
            all.credit,
            all.on_time,
            all.late,
            all.refused,
            all.failed,
            row.worst_window,
            row.worst_team,
            row.answered_after_rejection,
            all.first_p50,
            all.first_p99,
            row.shared_read_k,
            row.copied_k,
        ));
    }
    text
}
