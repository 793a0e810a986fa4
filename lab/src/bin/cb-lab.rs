//! Plays load patterns through the decisions, policies side by side.

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
cb-lab: plays load patterns through the decisions, policies side by side, in simulated time.

USAGE:
  cb-lab chats|calls [OPTIONS]

ARGUMENTS:
  chats  streams at model engines
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

/// Why the program ends with an error.
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

/// What is played.
struct Subject {
    pattern: fn(&str, u64) -> Option<Pattern>,
    policies: fn() -> Vec<Policy>,
}

fn subject(name: Option<&str>) -> Result<Subject, LabError> {
    match name {
        Some("chats") => Ok(Subject {
            pattern: pattern::chats,
            policies: policy::for_chats,
        }),
        Some("calls") => Ok(Subject {
            pattern: pattern::calls,
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
    let chosen: Option<String> = args.opt_value_from_str("--pattern")?;
    let first: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(1);
    let subject = subject(args.subcommand()?.as_deref())?;
    if let Some(unknown) = args.finish().first() {
        let text = format!("unknown argument {}", unknown.to_string_lossy());
        return Err(LabError::Usage(text));
    }
    let names: Vec<&str> = pattern::names()
        .filter(|name| chosen.as_deref().is_none_or(|chosen| chosen == *name))
        .collect();
    if names.is_empty() {
        return Err(LabError::Usage("no such pattern".to_owned()));
    }
    for name in names {
        for seed in first..first.saturating_add(seeds) {
            let summaries = compare(&subject, name, seed);
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

fn compare(subject: &Subject, name: &str, seed: u64) -> Vec<Summary> {
    let Some(pattern) = (subject.pattern)(name, seed) else {
        return Vec::new();
    };
    (subject.policies)()
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
