//! Tests nodes that stop while they serve callers, and callers that send requests to paths reserved for nodes.

use bytes::Bytes;
use currantbend_bench::cases;
use currantbend_bench::cases::RunOptions;
use currantbend_bench::fleet::Fleet;
use currantbend_bench::load::client::Client;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use std::path::PathBuf;
use std::time::Duration;

/// Time during which callers send requests, long enough for two nodes to stop and start again.
const LOAD_DURATION: Duration = Duration::from_secs(4);

fn options(case: &str) -> RunOptions {
    let mut options = RunOptions {
        load_for: LOAD_DURATION,
        ..RunOptions::default()
    };
    options.fleet.case = case.to_owned();
    options.fleet.node_binary = PathBuf::from(env!("CARGO_BIN_EXE_currantbend"));
    options.fleet.out = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    options.fleet.nodes = 2;
    options.fleet.engines = 2;
    options.fleet.extra_settings = ["[entry]", "linger_ms = 400"].map(str::to_owned).into();
    options.load.chat_callers = 8;
    options
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_cuts_off_no_answer() {
    let cases = cases::pick("shutdown").unwrap();

    let report = cases::run(&cases, options("shutdown"), &|_| {})
        .await
        .unwrap();

    assert!(report.answered > 0, "{}", report.to_line());
    assert_eq!(report.cut_off, 0, "{}", report.to_line());
    assert_eq!(report.incomplete, 0, "{}", report.to_line());
    assert_eq!(report.failures, Vec::<String>::new());
}

/// The paths that nodes use among themselves don't exist for callers, whatever headers the callers forge.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_cannot_reach_the_paths_between_nodes() {
    let fleet = Fleet::start(options("between").fleet).await.unwrap();
    let address = fleet.directory().nodes()[0].address;

    for path in ["/hop", "/gossip"] {
        let request = Request::post(path)
            .header("host", address.to_string())
            .header("authorization", format!("Bearer {}", fleet.teams()[0].key))
            .header("cb-hop", "oWF2AQ")
            .header("cb-route", "dc1-n1 1 1 1")
            .header("cb-mac", "AAAA")
            .body(Full::new(Bytes::new()))
            .unwrap();
        let response = Client::new().send(address, request).await.unwrap();
        assert_eq!(response.status(), StatusCode::NOT_FOUND);
        assert_eq!(response.headers()["x-outcome"], "not-run");
    }

    assert!(fleet.truth().engine_starts().is_empty());
    fleet.close().await.unwrap();
}
