//! The time line over the real logs of a fleet in which nodes are killed.

#![expect(
    clippy::unwrap_used,
    reason = "A test stops at whatever it does not expect."
)]

use currantbend::timeline::Selection;
use currantbend::timeline::merge;
use currantbend::timeline::merge::Line;
use currantbend_bench::cases;
use currantbend_bench::cases::RunOptions;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::time::Duration;

/// Time that callers send for.
const LOAD_FOR: Duration = Duration::from_secs(3);
/// Folder of the run's files.
const FOLDER: &str = "timeline-kill";
const USAGE_STATUS: i32 = 2;

fn options() -> RunOptions {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(FOLDER);
    // What an earlier run left would be merged too; there is nothing at the first run.
    let _ = std::fs::remove_dir_all(&out);
    let mut options = RunOptions {
        load_for: LOAD_FOR,
        ..RunOptions::default()
    };
    options.fleet.node_binary = PathBuf::from(env!("CARGO_BIN_EXE_currantbend"));
    options.fleet.out = out;
    options
}

fn logs_below(folder: &Path) -> Vec<PathBuf> {
    let mut logs = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            logs.extend(logs_below(&path));
        } else if path.extension().is_some_and(|kind| kind == "log") {
            logs.push(path);
        }
    }
    logs
}

fn cbtimeline(args: &[&str], logs: &[PathBuf]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cbtimeline"))
        .args(args)
        .args(logs)
        .output()
        .unwrap()
}

fn merged(args: &[&str], logs: &[PathBuf]) -> Vec<Line> {
    let output = cbtimeline(&[args, &["--json"]].concat(), logs);
    let mut lines = Vec::new();
    merge::read(&String::from_utf8(output.stdout).unwrap(), &mut lines);
    lines
}

/// Ends of an attempt whose owner is gone.
const LOST: [&str; 2] = ["connection-lost", "connect-failed"];

/// Finds a request that lost its first owner and was answered on its second attempt, at another node than its entry.
fn retried(lines: &[Line]) -> Option<String> {
    let is_lost = |line: &&Line| {
        let detail = line.detail.as_deref().unwrap_or_default();
        line.event == "retry" && LOST.contains(&detail)
    };
    let retries = lines.iter().filter(is_lost);
    retries
        .filter_map(|line| line.request.clone())
        .find(|request| {
            let own: Vec<&Line> = lines
                .iter()
                .filter(|line| line.request.as_ref() == Some(request))
                .collect();
            let count = |event: &str| own.iter().filter(|line| line.event == event).count();
            let first = own.first().map(|line| &line.node);
            let handed = own.iter().rfind(|line| line.event == "handed_over");
            let ended = own.last().is_some_and(|line| {
                line.event == "request_ended" && line.detail.as_deref() == Some("answered")
            });
            count("attempt_sent") == 2
                && ended
                && handed.is_some_and(|line| Some(&line.node) != first)
        })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_was_retried_after_a_kill_names_every_hop_in_order() {
    let options = options();
    let out = options.fleet.out.clone();
    let kill = cases::pick("kill").unwrap();
    cases::run(&kill, options, &|_| {}).await.unwrap();
    let logs = logs_below(&out);
    let request = retried(&merged(&[], &logs)).unwrap();

    let story = merged(&["--request", &request], &logs);

    let attempt = story.iter().rfind(|line| line.event == "handed_over");
    let attempt = attempt.unwrap().attempt.clone();
    let last: Vec<&str> = story
        .iter()
        .filter(|line| line.attempt == attempt)
        .map(|line| line.event.as_str())
        .collect();
    let mut hops = vec![
        "attempt_sent",
        "attempt_received",
        "handed_over",
        "attempt_ended",
        "attempt_returned",
    ];
    // Whether the attempt had to wait hangs on the load; where it had to, that comes before the hand-over.
    if last.contains(&"queued") {
        hops.insert(2, "queued");
    }
    assert_eq!(last, hops);
    let place = |event: &str| story.iter().position(|line| line.event == event).unwrap();
    assert_eq!(place("request_received"), 0);
    assert!(place("attempt_sent") < place("attempt_returned"));
    assert!(place("attempt_returned") < place("retry"));
    assert!(
        place("retry")
            < story
                .iter()
                .rposition(|line| line.event == "attempt_sent")
                .unwrap()
    );
    assert_eq!(place("request_ended"), story.len() - 1);
    let page = cbtimeline(&["--html", "--request", &request], &logs).stdout;
    let page = String::from_utf8(page).unwrap();
    assert!(story.iter().all(|line| page.contains(&line.node)));
    assert!(page.contains("retry"));
}

#[test]
fn arguments_that_are_not_understood_are_refused() {
    for args in [["--chatt", "c1"], ["--from", "yesterday"]] {
        let output = cbtimeline(&args, &[]);

        assert_eq!(output.status.code(), Some(USAGE_STATUS), "{args:?}");
    }
}

fn line(event: &str, request: &str, chat: Option<&str>, node: &str) -> Line {
    Line {
        hlc: "4294967296/1".to_owned(),
        node: node.to_owned(),
        event: event.to_owned(),
        request: Some(request.to_owned()),
        chat: chat.map(str::to_owned),
        ..Line::default()
    }
}

#[test]
fn a_chat_brings_all_events_of_its_requests() {
    let lines = vec![
        line("request_received", "r1", None, "n1"),
        line("attempt_sent", "r1", Some("c1"), "n1"),
        line("attempt_sent", "r2", Some("c2"), "n1"),
        line("attempt_returned", "r1", None, "n2"),
    ];
    let of_chat = Selection {
        chat: Some("c1".to_owned()),
        ..Selection::default()
    };
    let of_node = Selection {
        node: Some("n2".to_owned()),
        ..of_chat.clone()
    };

    assert_eq!(of_chat.apply(lines.clone()).len(), 3);
    assert_eq!(of_node.apply(lines).len(), 1);
}
