//! Counts of requests that were not answered.

use crate::timeline::log_line;
use crate::timeline::unanswered::Split;
use crate::timeline::unanswered::Unanswered;
use std::time::Duration;

/// Time in which a change takes force; with the second after it, a change counts for three seconds.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// A line that a gateway writes `ms` after the minute.
fn line(node: &str, ms: u64, message: &str, fields: &str) -> String {
    let (s, ms) = (ms / 1_000, ms % 1_000);
    format!(
        "{s}.{ms:03} {node} {{\"msg\":\"{message}\",\"level\":\"INFO\",\"ts\":\"2026-12-04T10:00:{s:02}.{ms:03}Z\",\
         \"node\":\"{node}\",{fields}}}\n"
    )
}

fn config_line(node: &str, ms: u64, message: &str, version: u64) -> String {
    line(node, ms, message, &format!("\"version\":{version}"))
}

/// A line on a request that ended `took_ms` after its receipt, of 1,000 that it had.
fn request_line(node: &str, ms: u64, took_ms: u64, outcome: &str, cause: &str) -> String {
    let fields = format!(
        "\"cause\":\"{cause}\",\"outcome\":\"{outcome}\",\"limit_ms\":1000,\"ms\":{took_ms},\"request\":\"r-{ms}\""
    );
    line(node, ms, "request", &fields)
}

/// Logs of two gateways from second 0 to 20, with version 7 in force before and a change to version 8 at second 10, which
/// the second gateway learns of 0.3 s later.
fn log_with(lines: &[String]) -> String {
    let mut log = vec![
        config_line("n-1", 0, "configuration read", 7),
        config_line("n-2", 100, "configuration received from peer", 7),
        request_line("n-1", 0, 10, "answered", ""),
        config_line("n-2", 10_300, "configuration received from peer", 8),
        config_line("n-1", 10_000, "configuration read", 8),
        request_line("n-1", 20_000, 10, "answered", ""),
    ];
    log.extend_from_slice(lines);
    log.concat()
}

fn count(text: &str) -> Unanswered {
    let mut log_lines = Vec::new();
    log_line::read(text, &mut log_lines);
    Unanswered::count(&log_lines, CONFIG_APPLY)
}

fn split<T>(beside: T, other: T) -> Split<T> {
    Split { beside, other }
}

#[test]
fn a_change_counts_from_the_first_line_that_names_its_version() {
    let cut_at = |ms| request_line("n-1", ms, 100, "cut off", "stream broken: stalled");
    let log = log_with(&[
        cut_at(9_999),
        cut_at(10_000),
        cut_at(13_000),
        cut_at(13_001),
    ]);

    let unanswered = count(&log);

    assert_eq!(unanswered.changes, 1);
    assert_eq!(unanswered.early, split(2, 2));
    assert_eq!(unanswered.requests, split(2, 4));
    let seconds = |time: Duration| time.as_secs_f64().round();
    let time = unanswered.time;
    assert_eq!((seconds(time.beside), seconds(time.other)), (3.0, 17.0));
}

#[test]
fn changes_that_overlap_count_once() {
    let log = log_with(&[
        config_line("n-1", 11_000, "configuration read", 9),
        config_line("n-1", 12_000, "configuration read", 10),
    ]);

    let unanswered = count(&log);

    assert_eq!(unanswered.changes, 3);
    assert_eq!(unanswered.time.beside.as_secs_f64().round(), 5.0);
}

#[test]
fn a_gateway_that_starts_later_makes_no_change() {
    let log = log_with(&[config_line("n-3", 17_000, "configuration read", 8)]);

    let unanswered = count(&log);

    assert_eq!(unanswered.changes, 1);
}

#[test]
fn requests_that_have_used_seven_tenths_of_their_time_are_told_apart() {
    let log = log_with(&[
        request_line("n-1", 11_000, 699, "cut off", "stream broken: stalled"),
        request_line("n-1", 11_100, 700, "cut off", "stream broken: stalled"),
    ]);

    let unanswered = count(&log);

    assert_eq!(unanswered.early, split(1, 0));
    assert_eq!(unanswered.late, split(1, 0));
    assert_eq!(unanswered.causes[0].count, split(2, 0));
}

#[test]
fn requests_whose_callers_left_are_listed_and_not_blamed() {
    let log = log_with(&[
        request_line("n-1", 11_000, 100, "left", "caller left"),
        request_line("n-1", 11_000, 100, "failed", "answer lost: reset"),
    ]);

    let unanswered = count(&log);

    let causes: Vec<(&str, &str)> = unanswered
        .causes
        .iter()
        .map(|row| (&*row.outcome, &*row.cause))
        .collect();
    assert_eq!(
        causes,
        [("failed", "answer lost: reset"), ("left", "caller left")]
    );
    assert_eq!(unanswered.early, split(0, 0));
    assert!(!unanswered.is_blamed_on_changes());
}

#[test]
fn changes_are_blamed_for_over_three_times_the_rate_of_other_times() {
    // The rate at other times is 2 in 17 seconds; three times as often is 1.06 in 3 seconds.
    let others = [1_000, 2_000].map(|ms| request_line("n-1", ms, 100, "cut off", "time is over"));
    let beside = [10_500, 11_000].map(|ms| request_line("n-2", ms, 100, "cut off", "time is over"));

    let below = count(&log_with(&[&others[..], &beside[..1]].concat()));
    let above = count(&log_with(&[&others[..], &beside[..]].concat()));

    assert!(!below.is_blamed_on_changes());
    assert!(above.is_blamed_on_changes());
}

#[test]
fn the_report_names_the_causes_the_rates_and_the_gateways() {
    let log = log_with(&[
        request_line("n-2", 10_500, 100, "cut off", "gateway stopped"),
        line("n-1", 12_000, "request lines left out", "\"count\":9"),
    ]);

    let report = count(&log).to_string();

    let expected = "  beside    other  changes: 1
     3.0     17.0  seconds
       1        2  requests
       1        0  cut off: gateway stopped
       0        0  cut off after seven tenths of their time
       1        0  cut off before
   0.333    0.000  cut off before, in a second
over three times as often beside changes: yes
at 1 gateways: n-2 (1, 0)
request lines left out: 9
";
    assert_eq!(report, expected);
}

#[test]
fn logs_without_requests_have_nothing_to_count() {
    let unanswered = count("");

    assert!(!unanswered.is_blamed_on_changes());
    assert_eq!(unanswered.time, split(Duration::ZERO, Duration::ZERO));
}
