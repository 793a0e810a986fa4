//! Tests the errors that the node reports for invalid settings and arguments on its command line.

#![expect(
    clippy::unwrap_used,
    reason = "A test panics on any unexpected result."
)]

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

/// Exit status for a usage error.
const USAGE_STATUS: i32 = 2;

fn run_node(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_currantbend"))
        .args(args)
        .output()
        .unwrap()
}

fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

#[test]
fn invalid_settings_are_reported_with_key_and_reason_and_the_node_does_not_start() {
    let path = write_file(
        "bad.ini",
        "[node]\nname = n1\ncaller_addres = 127.0.0.1:1\n",
    );

    let output = run_node(&["--settings", &path]);

    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(USAGE_STATUS));
    assert!(text.contains("[node] caller_address: missing; accepted: an IP address and port"));
    assert!(text.contains("[node] caller_addres: unknown key; accepted: "));
    assert!(!text.contains("node_started"));
}

#[test]
fn an_unknown_argument_is_rejected() {
    let path = write_file("any.ini", "");

    let output = run_node(&["--settings", &path, "--chekc"]);

    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(USAGE_STATUS));
    assert!(text.contains("unknown argument --chekc"));
}
