//! The reference pages name what the program knows, and nothing else.

#![expect(
    clippy::unwrap_used,
    reason = "A test stops at whatever it does not expect."
)]

use currantbend::gateway::GatewaySettings;
use currantbend::settings::Settings;
use currantbend::timeline::EventKind;
use std::fs;
use std::path::Path;

/// What each metric of the product begins with.
const METRIC: &str = "currantbend_";

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(name);
    fs::read_to_string(path).unwrap()
}

/// Gives the name in backticks at the start of a table's row.
fn row_name(line: &str) -> Option<&str> {
    let (name, _) = line.strip_prefix("| `")?.split_once("` |")?;
    Some(name)
}

fn sorted(mut names: Vec<String>) -> Vec<String> {
    names.sort();
    names.dedup();
    names
}

fn rows(page: &str) -> Vec<String> {
    sorted(
        page.lines()
            .filter_map(row_name)
            .map(str::to_owned)
            .collect(),
    )
}

/// Holds a page against what the program knows, and names only what differs.
fn compare(page: &str, rows: &[String], known: &[String]) {
    let lacking: Vec<&String> = known.iter().filter(|name| !rows.contains(name)).collect();
    let surplus: Vec<&String> = rows.iter().filter(|name| !known.contains(name)).collect();

    assert!(lacking.is_empty(), "docs/{page} lacks rows for {lacking:?}");
    assert!(
        surplus.is_empty(),
        "docs/{page} has rows for unknown {surplus:?}"
    );
}

fn documented_keys(name: &str) -> Vec<String> {
    let mut section = String::new();
    let mut keys = Vec::new();
    for line in page(name).lines() {
        if let Some(heading) = line.strip_prefix("## `[") {
            section = heading.trim_end_matches("]`").to_owned();
        } else if let Some(key) = row_name(line) {
            keys.push(format!("[{section}] {key}"));
        }
    }
    sorted(keys)
}

/// Collects the string literals of the sources under `folder` that name a metric; tests name none of their own.
fn metrics_below(folder: &Path, names: &mut Vec<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.ends_with("tests") || path.ends_with("tests.rs") {
            continue;
        }
        if path.is_dir() {
            metrics_below(&path, names);
            continue;
        }
        let source = fs::read_to_string(&path).unwrap();
        let literals = source.split('"').filter(|text| text.starts_with(METRIC));
        names.extend(literals.map(str::to_owned));
    }
}

#[test]
fn every_settings_key_is_in_the_reference_and_no_other() {
    let known = Settings::known_keys()
        .into_iter()
        .map(|(section, key)| format!("[{section}] {key}"))
        .collect();

    compare(
        "SETTINGS.md",
        &documented_keys("SETTINGS.md"),
        &sorted(known),
    );
}

#[test]
fn every_gateway_settings_key_is_in_its_reference_and_no_other() {
    let known = GatewaySettings::known_keys()
        .into_iter()
        .map(|(section, key)| format!("[{section}] {key}"))
        .collect();

    let documented = documented_keys("GATEWAY-SETTINGS.md");

    compare("GATEWAY-SETTINGS.md", &documented, &sorted(known));
}

#[test]
fn every_metric_is_on_its_page_and_no_other() {
    let mut names = Vec::new();
    metrics_below(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut names,
    );

    compare("METRICS.md", &rows(&page("METRICS.md")), &sorted(names));
}

#[test]
fn every_kind_of_event_is_on_its_page_and_no_other() {
    let known = EventKind::ALL
        .iter()
        .map(|kind| kind.as_str().to_owned())
        .collect();

    compare("TIMELINE.md", &rows(&page("TIMELINE.md")), &sorted(known));
}
