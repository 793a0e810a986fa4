//! Tests the operators' tool `cbctl` with a running fleet: real node processes and a simulated platform.

#![expect(
    clippy::unwrap_used,
    reason = "A test panics on any unexpected result."
)]

use currantbend_bench::cases;
use currantbend_bench::cases::RunOptions;
use currantbend_bench::fleet::Fleet;
use currantbend_bench::fleet::FleetOptions;
use serde_json::Value;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

/// Exit status of `cbctl` if a change is refused.
const REFUSED_STATUS: i32 = 3;
/// Maximum time to wait until an engine has followed an order.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Interval between two reads of an engine's state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running fleet and the folder with the operator's key and plans.
struct Fixture {
    fleet: Fleet,
    folder: PathBuf,
}

impl Fixture {
    async fn start(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let options = FleetOptions {
            case: name.to_owned(),
            node_binary: PathBuf::from(env!("CARGO_BIN_EXE_currantbend")),
            out: folder.clone(),
            engines: 2,
            plain_servers: 1,
            nodes: 2,
            extra_settings: vec![
                "[reconcile]".to_owned(),
                "interval_ms = 50".to_owned(),
                "load_limit_ms = 200".to_owned(),
            ],
            ..FleetOptions::default()
        };
        let fleet = Fleet::start(options).await.unwrap();
        let key = fleet.options().operator().secret().to_owned();
        std::fs::write(folder.join("bench.key"), key).unwrap();
        Self { fleet, folder }
    }

    fn path(&self, name: &str) -> String {
        self.folder.join(name).to_string_lossy().into_owned()
    }

    /// Runs `cbctl` to its end.
    async fn cbctl(&self, args: &[&str]) -> Output {
        let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
        let run = move || {
            Command::new(env!("CARGO_BIN_EXE_cbctl"))
                .args(args)
                .output()
                .unwrap()
        };
        tokio::task::spawn_blocking(run).await.unwrap()
    }

    /// Creates a plan from an intent and returns the path of its file.
    async fn create_plan(&self, intent: &[&str], plan: &str) -> String {
        let plan = self.path(plan);
        let log = self.fleet.log().address().to_string();
        let hosts = self.fleet.hosts().address().to_string();
        let mut args = vec!["intent"];
        args.extend_from_slice(intent);
        args.extend(["--log", &log, "--hosts", &hosts]);
        args.extend(["--operator", "bench", "--plan", &plan]);
        let output = self.cbctl(&args).await;
        assert!(output.status.success(), "{output:?}");
        plan
    }

    /// Confirms a plan and waits until the change is in force on all nodes.
    async fn confirm(&self, plan: &str) -> Output {
        let log = self.fleet.log().address().to_string();
        let key = self.path("bench.key");
        let nodes = self.fleet.directory().nodes();
        let nodes: Vec<String> = nodes
            .iter()
            .map(|n| n.operations_address.to_string())
            .collect();
        let nodes = nodes.join(",");
        let args = [
            "confirm", plan, "--log", &log, "--key", &key, "--wait", "--nodes", &nodes, "--json",
        ];
        self.cbctl(&args).await
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_second_of_two_plans_for_one_engine_is_refused_and_names_the_first_operator() {
    let fixture = Fixture::start("operators-race").await;
    let first = fixture
        .create_plan(&["set-role", "engine-1", "decode"], "first.json")
        .await;
    let second = fixture
        .create_plan(&["drain", "engine-1"], "second.json")
        .await;

    let accepted = fixture.confirm(&first).await;
    let refused = fixture.confirm(&second).await;

    assert!(accepted.status.success(), "{accepted:?}");
    let confirmed: Value = serde_json::from_slice(&accepted.stdout).unwrap();
    assert_eq!(confirmed["in_force_everywhere"], true);
    assert_eq!(refused.status.code(), Some(REFUSED_STATUS));
    let text = String::from_utf8(refused.stderr).unwrap();
    assert!(
        text.contains("backend engine-1 was changed at version 1 by operator bench"),
        "{text}"
    );
    fixture.fleet.close().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_adopts_the_role_that_an_operator_confirmed() {
    let fixture = Fixture::start("operators-role").await;
    let plan = fixture
        .create_plan(&["set-role", "engine-2", "prefill"], "plan.json")
        .await;

    let before = engine_2_role(&fixture.fleet);
    let confirmed = fixture.confirm(&plan).await;

    assert!(confirmed.status.success(), "{confirmed:?}");
    assert_eq!(before, "mixed", "a plan alone changes nothing");
    let deadline = Instant::now() + MAX_WAIT;
    while engine_2_role(&fixture.fleet) != "prefill" && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(engine_2_role(&fixture.fleet), "prefill");
    fixture.fleet.close().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_is_signed_with_an_undeclared_key_is_refused() {
    let fixture = Fixture::start("operators-undeclared-key").await;
    let plan = fixture
        .create_plan(&["drain", "engine-1"], "plan.json")
        .await;
    std::fs::write(fixture.folder.join("bench.key"), "ab".repeat(32)).unwrap();

    let refused = fixture.confirm(&plan).await;

    assert_eq!(refused.status.code(), Some(REFUSED_STATUS), "{refused:?}");
    let text = String::from_utf8(refused.stderr).unwrap();
    assert!(
        text.contains("the operator is not declared or did not sign it"),
        "{text}"
    );
    fixture.fleet.close().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn no_node_reverts_a_change_while_stale_and_unreadable_changes_arrive() {
    let cases = cases::pick("config").unwrap();
    let mut options = RunOptions {
        load_for: Duration::from_secs(4),
        ..RunOptions::default()
    };
    options.fleet.node_binary = PathBuf::from(env!("CARGO_BIN_EXE_currantbend"));
    options.fleet.out = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));

    let report = cases::run(&cases, options, &|_| {}).await.unwrap();

    assert_eq!(report.reverted, 0, "{}", report.to_line());
}

fn engine_2_role(fleet: &Fleet) -> String {
    let state = fleet.with_engine("engine-2", |engine| engine.state());
    state.unwrap().role.to_string()
}
