//! Tests the whole request path with real node processes and simulated callers, platform services and backend servers.
//! Callers connect to the nodes directly; all other connections go through the fault-injecting proxy.

#![expect(
    clippy::unwrap_used,
    reason = "A test panics on any unexpected result."
)]

use currantbend_bench::cases;
use currantbend_bench::cases::RunOptions;
use currantbend_bench::report::Report;
use std::path::PathBuf;
use std::time::Duration;

/// Time during which callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(2);

fn options() -> RunOptions {
    let mut options = RunOptions {
        load_for: LOAD_DURATION,
        ..RunOptions::default()
    };
    options.fleet.node_binary = PathBuf::from(env!("CARGO_BIN_EXE_currantbend"));
    options.fleet.out = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    options
}

async fn run_cases(names: &str, options: RunOptions) -> Report {
    let cases = cases::pick(names).unwrap();
    cases::run(&cases, options, &|line| println!("{line}"))
        .await
        .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_caller_gets_the_complete_answer_to_its_own_request() {
    let options = options();

    let report = run_cases("steady", options).await;

    assert!(report.answered > 0, "{}", report.to_line());
    assert_eq!(report.answered, report.requests, "{}", report.to_line());
    let violations = [
        report.wrong,
        report.incomplete,
        report.double_runs,
        report.false_not_run,
        report.cut_off,
        report.late_new_work,
        report.reverted,
    ];
    assert_eq!(violations, [0; 7], "{}", report.to_line());
    assert!(report.failures.is_empty(), "{}", report.to_line());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_load_bound_is_kept() {
    let options = options();

    let report = run_cases("steady", options).await;

    assert!(report.engine_starts > 0, "{}", report.to_line());
    assert!(report.promises_kept(), "{}", report.to_line());
}
