//! Sums a play up: what callers got, what it cost, and who came off worst.

use crate::job::Job;
use crate::job::JobKind;
use crate::job::JobResult;
use crate::job::Millis;
use crate::pattern::ARRIVALS_MS;
use crate::pattern::Pattern;
use crate::simulation::SimulationResult;
use serde::Serialize;

/// Length of the windows of which the worst is told, in milliseconds.
const WINDOW: Millis = 2_000.0;

/// What the callers of one kind, or of all, got.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Service {
    /// Requests.
    pub asked: usize,
    /// Share answered on time, with no pause over the limit.
    pub on_time: f64,
    /// Share answered late.
    pub late: f64,
    /// Share without an answer that were turned away last.
    pub refused: f64,
    /// Share without an answer for another reason.
    pub failed: f64,
    /// Credit earned over credit owed.
    pub credit: f64,
    /// Half of the first events came within this time, in milliseconds.
    pub first_p50: Millis,
    /// All but one in a hundred of the first events came within this time, in milliseconds.
    pub first_p99: Millis,
}

/// One play in figures.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Summary {
    /// Pattern that was played.
    pub pattern: String,
    /// Policy that decided.
    pub policy: String,
    /// Seed of the play.
    pub seed: u64,
    /// All requests.
    pub all: Service,
    /// Each kind by name.
    pub kinds: Vec<(String, Service)>,
    /// Least share of credit in any two seconds.
    pub worst_window: f64,
    /// Least share of credit of any team.
    pub worst_team: f64,
    /// Share of those that came back after a refusal that were answered.
    pub returns_answered: f64,
    /// Shared prompt tokens that were read, in thousands.
    pub shared_read_k: f64,
    /// Prompt tokens that were copied, in thousands.
    pub copied_k: f64,
    /// Requests that had to leave an engine's memory.
    pub preempted: u64,
}

fn credit(job: &Job, result: &JobResult, kind: &JobKind) -> (f64, bool) {
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

fn service(
    pattern: &Pattern,
    simulation: &SimulationResult,
    keep: impl Fn(&Job) -> bool,
) -> Service {
    let jobs = || pattern.jobs.iter().filter(|job| keep(job));
    let asked = jobs().count();
    let mut service = Service {
        asked,
        ..Service::default()
    };
    let (mut earned_in_all, mut owed) = (0.0, 0.0);
    let mut firsts = Vec::new();
    let share = 1.0 / asked.max(1) as f64;
    for job in jobs() {
        let (result, kind) = (&simulation.job_results[job.index], &pattern.kinds[job.kind]);
        let (earned, is_on_time) = credit(job, result, kind);
        earned_in_all += earned;
        owed += kind.on_time_credit;
        let count = if is_on_time {
            &mut service.on_time
        } else if earned > 0.0 {
            &mut service.late
        } else if result.rejections > 0 && result.first.is_none() && !result.is_lost {
            &mut service.refused
        } else {
            &mut service.failed
        };
        *count += share;
        firsts.extend(result.first.map(|first| first - job.arrival));
    }
    firsts.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let place = (firsts.len() as f64 * share) as usize;
        firsts
            .get(place.min(firsts.len().saturating_sub(1)))
            .copied()
    };
    service.first_p50 = at(0.5).unwrap_or(0.0);
    service.first_p99 = at(0.99).unwrap_or(0.0);
    service.credit = earned_in_all / owed.max(f64::EPSILON);
    service
}

/// Sums `play` of `pattern` up.
pub fn sum_up(
    pattern: &Pattern,
    simulation: &SimulationResult,
    policy: &str,
    seed: u64,
) -> Summary {
    let kinds = pattern.kinds.iter().enumerate().map(|(at, kind)| {
        let service = service(pattern, simulation, |job| job.kind == at);
        (kind.name.to_owned(), service)
    });
    let windows = (0..(ARRIVALS_MS / WINDOW) as usize).map(|window| {
        let from = window as f64 * WINDOW;
        let within = |job: &Job| (from..from + WINDOW).contains(&job.arrival);
        service(pattern, simulation, within).credit
    });
    let teams = pattern.jobs.iter().map(|job| job.team).max().unwrap_or(0);
    let by_team =
        (0..=teams).map(|team| service(pattern, simulation, |job| job.team == team).credit);
    let returned: Vec<&JobResult> = simulation
        .job_results
        .iter()
        .filter(|result| result.rejections > 0)
        .collect();
    let answered = returned
        .iter()
        .filter(|result| result.end.is_some())
        .count();
    Summary {
        pattern: pattern.name.to_owned(),
        policy: policy.to_owned(),
        seed,
        all: service(pattern, simulation, |_| true),
        kinds: kinds.collect(),
        worst_window: windows.fold(1.0, f64::min),
        worst_team: by_team.fold(1.0, f64::min),
        returns_answered: if returned.is_empty() {
            1.0
        } else {
            answered as f64 / returned.len() as f64
        },
        shared_read_k: simulation.stats.shared_prefill_tokens as f64 / 1_000.0,
        copied_k: simulation.copied_tokens as f64 / 1_000.0,
        preempted: simulation.stats.preempted,
    }
}

/// Renders summaries as a table, a line each.
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
            row.returns_answered,
            all.first_p50,
            all.first_p99,
            row.shared_read_k,
            row.copied_k,
        ));
    }
    text
}
