//! Tests the timeline that `cbtimeline` merges from the logs of a real fleet in which nodes are killed.

#![expect(
    clippy::unwrap_used,
    reason = "A test panics on any unexpected result."
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

/// Time during which callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(3);
/// Folder with the files of the run.
const RUN_FOLDER: &str = "timeline-kill";
/// Exit status of `cbtimeline` for a usage error.
const USAGE_STATUS: i32 = 2;

fn options() -> RunOptions {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(RUN_FOLDER);
    // The logs of an earlier run would be merged too. The error is ignored because the folder doesn't exist before the
    // first run.
    let _ = std::fs::remove_dir_all(&out);
    let mut options = RunOptions {
        load_for: LOAD_DURATION,
        ..RunOptions::default()
    };
    options.fleet.node_binary = PathBuf::from(env!("CARGO_BIN_EXE_currantbend"));
    options.fleet.out = out;
    options
}

/// Returns all files named `*.log` in `folder` and its subfolders.
fn find_logs(folder: &Path) -> Vec<PathBuf> {
    let mut logs = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            logs.extend(find_logs(&path));
        } else if path.extension().is_some_and(|extension| extension == "log") {
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

/// Merges the logs with `cbtimeline` and returns the selected lines.
fn merge_logs(args: &[&str], logs: &[PathBuf]) -> Vec<Line> {
    let output = cbtimeline(&[args, &["--json"]].concat(), logs);
    let mut lines = Vec::new();
    merge::read(&String::from_utf8(output.stdout).unwrap(), &mut lines);
    lines
}

/// Details of a retry whose previous attempt failed because its owner had died.
const OWNER_LOST_DETAILS: [&str; 2] = ["connection-lost", "connect-failed"];

/// Returns the ID of a request whose first owner died and whose second attempt was answered by an owner on another node
/// than the entry.
fn find_retried_request(lines: &[Line]) -> Option<String> {
    let is_owner_lost = |line: &&Line| {
        let detail = line.detail.as_deref().unwrap_or_default();
        line.event == "retry" && OWNER_LOST_DETAILS.contains(&detail)
    };
    let retries = lines.iter().filter(is_owner_lost);
    retries
        .filter_map(|line| line.request.clone())
        .find(|request| {
            let request_lines: Vec<&Line> = lines
                .iter()
                .filter(|line| line.request.as_ref() == Some(request))
                .collect();
            let count = |event: &str| {
                request_lines
                    .iter()
                    .filter(|line| line.event == event)
                    .count()
            };
            let entry_node = request_lines.first().map(|line| &line.node);
            let last_handover = request_lines
                .iter()
                .rfind(|line| line.event == "handed_over");
            let is_answered = request_lines.last().is_some_and(|line| {
                line.event == "request_ended" && line.detail.as_deref() == Some("answered")
            });
            count("attempt_sent") == 2
                && is_answered
                && last_handover.is_some_and(|line| Some(&line.node) != entry_node)
        })
}

#[tokio::test(flavor = "multi_thread")]
async fn the_timeline_of_a_request_retried_after_a_kill_lists_every_hop_in_order() {
    let options = options();
    let out = options.fleet.out.clone();
    let kill = cases::pick("kill").unwrap();
    cases::run(&kill, options, &|_| {}).await.unwrap();
    let logs = find_logs(&out);
    let request = find_retried_request(&merge_logs(&[], &logs)).unwrap();

    let request_lines = merge_logs(&["--request", &request], &logs);

    let last_handover = request_lines
        .iter()
        .rfind(|line| line.event == "handed_over");
    let last_attempt = last_handover.unwrap().attempt.clone();
    let last_attempt_events: Vec<&str> = request_lines
        .iter()
        .filter(|line| line.attempt == last_attempt)
        .map(|line| line.event.as_str())
        .collect();
    let mut expected = vec![
        "attempt_sent",
        "attempt_received",
        "handed_over",
        "attempt_ended",
        "attempt_returned",
    ];
    // An attempt is queued only under load, and always before it is sent to the backend server.
    if last_attempt_events.contains(&"queued") {
        expected.insert(2, "queued");
    }
    assert_eq!(last_attempt_events, expected);
    let index_of = |event: &str| {
        request_lines
            .iter()
            .position(|line| line.event == event)
            .unwrap()
    };
    assert_eq!(index_of("request_received"), 0);
    assert!(index_of("attempt_sent") < index_of("attempt_returned"));
    assert!(index_of("attempt_returned") < index_of("retry"));
    assert!(
        index_of("retry")
            < request_lines
                .iter()
                .rposition(|line| line.event == "attempt_sent")
                .unwrap()
    );
    assert_eq!(index_of("request_ended"), request_lines.len() - 1);
    let page = cbtimeline(&["--html", "--request", &request], &logs).stdout;
    let page = String::from_utf8(page).unwrap();
    assert!(request_lines.iter().all(|line| page.contains(&line.node)));
    assert!(page.contains("retry"));
}

#[test]
fn invalid_arguments_are_rejected() {
    let usages: [&[&str]; 3] = [
        &["--chatt", "c1"],
        &["--from", "yesterday"],
        &["--unanswered", "--config-apply-ms", "soon"],
    ];
    for args in usages {
        let output = cbtimeline(args, &[]);

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
fn selecting_a_chat_selects_all_events_of_its_requests() {
    let lines = vec![
        line("request_received", "r1", None, "n1"),
        line("attempt_sent", "r1", Some("c1"), "n1"),
        line("attempt_sent", "r2", Some("c2"), "n1"),
        line("attempt_returned", "r1", None, "n2"),
    ];
    let by_chat = Selection {
        chat: Some("c1".to_owned()),
        ..Selection::default()
    };
    let by_chat_and_node = Selection {
        node: Some("n2".to_owned()),
        ..by_chat.clone()
    };

    assert_eq!(by_chat.apply(lines.clone()).len(), 3);
    assert_eq!(by_chat_and_node.apply(lines).len(), 1);
}
