//! Tests payments through real node processes while the log fails. This is a separate test program because Cargo runs
//! test programs one after another: the payments take no processor time from the other tests.

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
async fn payments_sent_through_all_nodes_run_at_most_once_while_the_log_fails() {
    let options = options();

    let report = run_cases("once,log-outage", options).await;

    assert!(report.answered > 0, "{}", report.to_line());
    let violations = [report.double_runs, report.false_not_run, report.wrong];
    assert_eq!(violations, [0; 3], "{}", report.to_line());
}
