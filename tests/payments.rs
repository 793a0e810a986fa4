//! Payments through real processes while the log fails. A program of its own, so that it runs after the others and takes
//! no processor time from them.

#![expect(
    clippy::unwrap_used,
    reason = "A test stops at whatever it does not expect."
)]

use currantbend_bench::cases;
use currantbend_bench::cases::RunOptions;
use currantbend_bench::report::Report;
use std::path::PathBuf;
use std::time::Duration;

/// Time that callers send for.
const LOAD_FOR: Duration = Duration::from_secs(2);

fn options() -> RunOptions {
    let mut options = RunOptions {
        load_for: LOAD_FOR,
        ..RunOptions::default()
    };
    options.fleet.node_binary = PathBuf::from(env!("CARGO_BIN_EXE_currantbend"));
    options.fleet.out = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    options
}

async fn run(names: &str, options: RunOptions) -> Report {
    let cases = cases::pick(names).unwrap();
    cases::run(&cases, options, &|line| println!("{line}"))
        .await
        .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn payments_through_all_nodes_run_once_while_the_log_fails() {
    let options = options();

    let report = run("once,log-outage", options).await;

    assert!(report.answered > 0, "{}", report.to_line());
    let broken = [report.double_runs, report.false_not_run, report.wrong];
    assert_eq!(broken, [0; 3], "{}", report.to_line());
}
