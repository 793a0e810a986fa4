//! Runs cases: starts the fleet, runs the load and the faults, and computes the report.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;

use super::Case;
use super::CaseContext;
use super::Findings;
use super::RunOptions;
use crate::fleet::Fleet;
use crate::fleet::FleetError;
use crate::load;
use crate::load::CallOutcome;
use crate::load::CallRecord;
use crate::report::Report;
use crate::report::ReportInput;
use crate::report::is_over_bound;
use crate::truth::EngineStart;

/// Interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of progress lines with details of calls, and of request starts above the load bound.
const MAX_SHOWN_LINES: usize = 12;

/// Reason why a run has no report.
#[derive(Debug)]
pub enum RunError {
    /// The fleet did not start.
    Start(FleetError),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Start(err) => write!(f, "the fleet did not start: {err}"),
        }
    }
}

impl std::error::Error for RunError {}

/// Starts a fleet, runs the load and the faults of all cases at the same time, and computes the report. `progress` is
/// called with lines for the user.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started.
pub async fn run(
    cases: &[Box<dyn Case>],
    options: RunOptions,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<Report, RunError> {
    let mut options = options;
    cases.iter().for_each(|case| case.options(&mut options));
    let start_time = Instant::now();
    let fleet = Fleet::start(options.fleet.clone())
        .await
        .map_err(RunError::Start)?;
    progress(&format!(
        "fleet ready after {:.1} s, files in {}",
        start_time.elapsed().as_secs_f64(),
        fleet.out().display()
    ));
    options.load.seed = options.fleet.seed;
    options.load.teams = fleet.teams().to_vec();

    let stats_before = fleet.stats().await;
    let appends_before = fleet.log().appends();
    let started = Instant::now();
    let cx = CaseContext {
        fleet: &fleet,
        started,
        until: started + options.load_for,
        seed: options.fleet.seed,
    };
    let callers = load::run(&options.load, fleet.directory(), cx.until);
    let faults = join_all(cases.iter().map(|case| case.apply_faults(&cx)));
    let (calls, mut findings, ()) = tokio::join!(callers, faults, show_progress(&cx, progress));
    let load_time = started.elapsed();
    let log_appends = fleet.log().appends() - appends_before;
    let stats_after = fleet.stats().await;
    let starts = fleet.truth().engine_starts();
    let added_time =
        load::measure_added_time(&options.load, fleet.directory(), &fleet.engine_addresses()).await;
    findings.extend(join_all(cases.iter().map(|case| case.check_fleet(&cx))).await);
    findings.extend(cases.iter().map(|case| case.check_calls(&calls)));
    show_unanswered(&calls, progress);
    show_overload(&options, &starts, started, progress);

    let runs = fleet.truth().service_runs();
    let changes = fleet.engine_changes();
    let mut failures: Vec<String> = findings
        .iter()
        .flat_map(|found| found.failures.clone())
        .collect();
    if let Err(err) = fleet.close().await {
        failures.push(err.to_string());
    }
    let input = ReportInput {
        fleet: &options.fleet,
        calls: &calls,
        engine_starts: &starts,
        service_runs: &runs,
        log_appends,
        engine_changes: &changes,
        stats_before: &stats_before,
        stats_after: &stats_after,
        load_time,
        added_time,
        reverted: findings.iter().map(|found: &Findings| found.reverted).sum(),
        failures: &failures,
        figures: findings
            .iter()
            .flat_map(|found| found.figures.clone())
            .collect(),
    };
    Ok(Report::new(&input))
}

/// Reports the progress of the load at a fixed interval.
async fn show_progress(cx: &CaseContext<'_>, progress: &(dyn Fn(&str) + Sync)) {
    while cx.pause(PROGRESS_INTERVAL).await {
        let starts = cx.fleet.truth().engine_starts().len();
        let runs = cx.fleet.truth().service_runs().len();
        let seconds = cx.started.elapsed().as_secs_f64();
        progress(&format!(
            "{seconds:.0} s: {starts} chats started at engines, {runs} plain calls run"
        ));
    }
}

/// Reports the first request starts that brought an engine above the load bound.
fn show_overload(
    options: &RunOptions,
    starts: &[EngineStart],
    started: Instant,
    progress: &(dyn Fn(&str) + Sync),
) {
    let bound = f64::from(options.fleet.bound_permille) / 1000.0;
    let over = starts
        .iter()
        .filter(|start| is_over_bound(start, bound, options.fleet.floor));
    for start in over.take(MAX_SHOWN_LINES) {
        progress(&format!(
            "{:.2} s: {} above the load bound with load {}, mean {:.2}",
            start.at.saturating_duration_since(started).as_secs_f64(),
            start.engine,
            start.engine_load,
            start.mean_load
        ));
    }
}

/// Reports the first calls that did not receive their answer.
fn show_unanswered(calls: &[CallRecord], progress: &(dyn Fn(&str) + Sync)) {
    let unanswered = calls
        .iter()
        .filter(|call| call.outcome != CallOutcome::Answered);
    for call in unanswered.take(MAX_SHOWN_LINES) {
        progress(&format!(
            "call {} by node {}: {:?}",
            call.call, call.node, call.outcome
        ));
    }
}
