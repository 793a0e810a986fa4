//! Tests that the reference pages under `docs/` list exactly the settings, metrics and events that the program has.

#![expect(
    clippy::unwrap_used,
    reason = "A test panics on any unexpected result."
)]

use currantbend::gateway::GatewaySettings;
use currantbend::settings::Settings;
use currantbend::timeline::EventKind;
use std::fs;
use std::path::Path;

/// Prefix of the names of all metrics.
const METRIC_PREFIX: &str = "currantbend_";

/// Reads a page under `docs/`.
fn read_page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(name);
    fs::read_to_string(path).unwrap()
}

/// Returns the name in backticks in the first column of a table row, or `None` if the line has none.
fn row_name(line: &str) -> Option<&str> {
    let (name, _) = line.strip_prefix("| `")?.split_once("` |")?;
    Some(name)
}

fn sorted(mut names: Vec<String>) -> Vec<String> {
    names.sort();
    names.dedup();
    names
}

fn row_names(page: &str) -> Vec<String> {
    sorted(
        page.lines()
            .filter_map(row_name)
            .map(str::to_owned)
            .collect(),
    )
}

/// Asserts that the page has a row for each known name and no others. The failure message lists only the differences.
fn assert_rows_match(page: &str, rows: &[String], known: &[String]) {
    let missing: Vec<&String> = known.iter().filter(|name| !rows.contains(name)).collect();
    let unknown: Vec<&String> = rows.iter().filter(|name| !known.contains(name)).collect();

    assert!(
        missing.is_empty(),
        "docs/{page} has no rows for {missing:?}"
    );
    assert!(
        unknown.is_empty(),
        "docs/{page} has rows for unknown names {unknown:?}"
    );
}

/// Returns the settings keys that a page documents, each as `[section] key`.
fn documented_keys(name: &str) -> Vec<String> {
    let mut section = String::new();
    let mut keys = Vec::new();
    for line in read_page(name).lines() {
        if let Some(heading) = line.strip_prefix("## `[") {
            section = heading.trim_end_matches("]`").to_owned();
        } else if let Some(key) = row_name(line) {
            keys.push(format!("[{section}] {key}"));
        }
    }
    sorted(keys)
}

/// Collects the string literals of the sources under `folder` that name a metric. Test files are skipped because they
/// define no metrics.
fn collect_metric_names(folder: &Path, names: &mut Vec<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.ends_with("tests") || path.ends_with("tests.rs") {
            continue;
        }
        if path.is_dir() {
            collect_metric_names(&path, names);
            continue;
        }
        let source = fs::read_to_string(&path).unwrap();
        let literals = source
            .split('"')
            .filter(|text| text.starts_with(METRIC_PREFIX));
        names.extend(literals.map(str::to_owned));
    }
}

#[test]
fn the_settings_reference_lists_exactly_the_known_keys() {
    let known = Settings::known_keys()
        .into_iter()
        .map(|(section, key)| format!("[{section}] {key}"))
        .collect();

    assert_rows_match(
        "SETTINGS.md",
        &documented_keys("SETTINGS.md"),
        &sorted(known),
    );
}

#[test]
fn the_gateway_settings_reference_lists_exactly_the_known_keys() {
    let known = GatewaySettings::known_keys()
        .into_iter()
        .map(|(section, key)| format!("[{section}] {key}"))
        .collect();

    let documented = documented_keys("GATEWAY-SETTINGS.md");

    assert_rows_match("GATEWAY-SETTINGS.md", &documented, &sorted(known));
}

#[test]
fn the_metrics_page_lists_exactly_the_metrics_in_the_sources() {
    let mut names = Vec::new();
    collect_metric_names(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut names,
    );

    assert_rows_match(
        "METRICS.md",
        &row_names(&read_page("METRICS.md")),
        &sorted(names),
    );
}

#[test]
fn the_timeline_page_lists_exactly_the_kinds_of_events() {
    let known = EventKind::ALL
        .iter()
        .map(|kind| kind.as_str().to_owned())
        .collect();

    assert_rows_match(
        "TIMELINE.md",
        &row_names(&read_page("TIMELINE.md")),
        &sorted(known),
    );
}
