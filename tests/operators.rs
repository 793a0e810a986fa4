//! The operators' tool against a running fleet: real processes, the platform's stand-ins.

#![expect(
    clippy::unwrap_used,
    reason = "A test stops at whatever it does not expect."
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

const REFUSED: i32 = 3;
/// Longest wait for engines to follow an order.
const SETTLED_WITHIN: Duration = Duration::from_secs(10);
/// Pause between two looks at an engine.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// A fleet with an operator's folder beside it.
struct Site {
    fleet: Fleet,
    folder: PathBuf,
}

impl Site {
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

    /// Makes a plan from an intent and gives the path of its file.
    async fn intend(&self, intent: &[&str], plan: &str) -> String {
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
async fn of_two_plans_for_the_same_engine_the_second_is_refused_with_whose_change_came_first() {
    let site = Site::start("operators-race").await;
    let first = site
        .intend(&["set-role", "engine-1", "decode"], "first.json")
        .await;
    let second = site.intend(&["drain", "engine-1"], "second.json").await;

    let accepted = site.confirm(&first).await;
    let refused = site.confirm(&second).await;

    assert!(accepted.status.success(), "{accepted:?}");
    let confirmed: Value = serde_json::from_slice(&accepted.stdout).unwrap();
    assert_eq!(confirmed["in_force_everywhere"], true);
    assert_eq!(refused.status.code(), Some(REFUSED));
    let text = String::from_utf8(refused.stderr).unwrap();
    assert!(
        text.contains("backend engine-1 was changed at version 1 by operator bench"),
        "{text}"
    );
    site.fleet.close().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_takes_the_role_that_an_operator_confirmed() {
    let site = Site::start("operators-role").await;
    let plan = site
        .intend(&["set-role", "engine-2", "prefill"], "plan.json")
        .await;

    let before = role(&site.fleet);
    let confirmed = site.confirm(&plan).await;

    assert!(confirmed.status.success(), "{confirmed:?}");
    assert_eq!(before, "mixed", "a plan alone changes nothing");
    let until = Instant::now() + SETTLED_WITHIN;
    while role(&site.fleet) != "prefill" && Instant::now() < until {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    assert_eq!(role(&site.fleet), "prefill");
    site.fleet.close().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stranger_changes_nothing() {
    let site = Site::start("operators-stranger").await;
    let plan = site.intend(&["drain", "engine-1"], "plan.json").await;
    std::fs::write(site.folder.join("bench.key"), "ab".repeat(32)).unwrap();

    let refused = site.confirm(&plan).await;

    assert_eq!(refused.status.code(), Some(REFUSED), "{refused:?}");
    let text = String::from_utf8(refused.stderr).unwrap();
    assert!(
        text.contains("the operator is not declared or did not sign it"),
        "{text}"
    );
    site.fleet.close().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn no_node_takes_back_a_change_while_stale_and_unreadable_ones_come() {
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

fn role(fleet: &Fleet) -> String {
    let state = fleet.with_engine("engine-2", |engine| engine.state());
    state.unwrap().role.to_string()
}
