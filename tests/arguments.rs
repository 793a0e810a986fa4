//! The node's command line: what it accepts, and what it says where it doesn't.

#![expect(
    clippy::unwrap_used,
    reason = "A test stops at whatever it does not expect."
)]

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

const USAGE_STATUS: i32 = 2;

fn node(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_currantbend"))
        .args(args)
        .output()
        .unwrap()
}

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

#[test]
fn bad_settings_name_key_and_reason_and_start_nothing() {
    let path = file(
        "bad.ini",
        "[node]\nname = n1\ncaller_addres = 127.0.0.1:1\n",
    );

    let output = node(&["--settings", &path]);

    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(USAGE_STATUS));
    assert!(text.contains("[node] caller_address: missing; accepted: an IP address and port"));
    assert!(text.contains("[node] caller_addres: unknown key; accepted: "));
    assert!(!text.contains("node_started"));
}

#[test]
fn an_unknown_argument_is_refused() {
    let path = file("any.ini", "");

    let output = node(&["--settings", &path, "--chekc"]);

    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(USAGE_STATUS));
    assert!(text.contains("unknown argument --chekc"));
}
