//! Runs load patterns with several policies in simulated time, and prints the results for comparison.

use currantbend_lab::pattern;
use currantbend_lab::pattern::Pattern;
use currantbend_lab::policy;
use currantbend_lab::policy::Policy;
use currantbend_lab::simulation::simulate;
use currantbend_lab::summary::Summary;
use currantbend_lab::summary::summarize;
use currantbend_lab::summary::table;
use pico_args::Arguments;
use std::fmt;
use std::process::ExitCode;

const HELP: &str = "\
cb-lab: runs load patterns with currantbend's load decisions in simulated time, and compares policies.

USAGE:
  cb-lab chats|calls [OPTIONS]

ARGUMENTS:
  chats  streamed chats at model engines
  calls  plain calls at a service

OPTIONS:
  --pattern NAME  one pattern: even, burst, hot-part, hot-team, wave, crash, retry-storm or release (all)
  --seed S        first seed (1)
  --seeds N       number of seeds; figures of each are printed (1)
  --json          print JSON lines, with figures by kind of request
  --help          print this
  --version       print the version

The same seed gives the same figures.
";

/// An error that ends the program.
enum LabError {
    Usage(String),
    Json(serde_json::Error),
}

impl fmt::Display for LabError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) => write!(f, "{text}; see --help"),
            Self::Json(err) => write!(f, "can't write JSON: {err}"),
        }
    }
}

impl From<pico_args::Error> for LabError {
    fn from(err: pico_args::Error) -> Self {
        Self::Usage(err.to_string())
    }
}

/// The patterns and policies that an argument of the command line selects.
struct Workload {
    create_pattern: fn(&str, u64) -> Option<Pattern>,
    policies: fn() -> Vec<Policy>,
}

fn workload(name: Option<&str>) -> Result<Workload, LabError> {
    match name {
        Some("chats") => Ok(Workload {
            create_pattern: pattern::chats,
            policies: policy::for_chats,
        }),
        Some("calls") => Ok(Workload {
            create_pattern: pattern::calls,
            policies: policy::for_calls,
        }),
        Some(other) => Err(LabError::Usage(format!("unknown argument {other}"))),
        None => Err(LabError::Usage("chats or calls is missing".to_owned())),
    }
}

fn run() -> Result<(), LabError> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    if args.contains("--version") {
        println!("cb-lab {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let is_json = args.contains("--json");
    let pattern_name: Option<String> = args.opt_value_from_str("--pattern")?;
    let first_seed: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let seed_count: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(1);
    let workload = workload(args.subcommand()?.as_deref())?;
    if let Some(unknown) = args.finish().first() {
        let text = format!("unknown argument {}", unknown.to_string_lossy());
        return Err(LabError::Usage(text));
    }
    let names: Vec<&str> = pattern::names()
        .filter(|name| pattern_name.as_deref().is_none_or(|wanted| wanted == *name))
        .collect();
    if names.is_empty() {
        return Err(LabError::Usage("no such pattern".to_owned()));
    }
    for name in names {
        for seed in first_seed..first_seed.saturating_add(seed_count) {
            let summaries = compare_policies(&workload, name, seed);
            if is_json {
                for summary in &summaries {
                    let line = serde_json::to_string(summary).map_err(LabError::Json)?;
                    println!("{line}");
                }
            } else {
                println!("{}", table(&summaries));
            }
        }
    }
    Ok(())
}

/// Simulates the pattern `name` with each policy.
fn compare_policies(workload: &Workload, name: &str, seed: u64) -> Vec<Summary> {
    let Some(pattern) = (workload.create_pattern)(name, seed) else {
        return Vec::new();
    };
    (workload.policies)()
        .iter()
        .map(|policy| {
            summarize(
                &pattern,
                &simulate(&pattern, policy, seed),
                policy.name,
                seed,
            )
        })
        .collect()
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("cb-lab: {err}");
            ExitCode::from(2)
        }
    }
}
