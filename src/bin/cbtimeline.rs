//! Shows the events of many processes as one time line.

use currantbend::timeline::merge;
use currantbend::timeline::merge::Line;
use std::fmt;
use std::io::Write;
use std::process::ExitCode;

const HELP: &str = "\
cbtimeline: merges the logs of many processes into one time line.

USAGE:
  cbtimeline [--request ID] [--json] FILE...

OPTIONS:
  --request ID  show only the events of one request
  --json        print JSON lines
  --help        print this
  --version     print the version
";

/// Why the program ends with an error.
enum RunError {
    Usage(String),
    Unreadable(String, std::io::Error),
    Output(std::io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) => write!(f, "{text}; see --help"),
            Self::Unreadable(path, err) => write!(f, "can't read {path}: {err}"),
            Self::Output(err) => write!(f, "can't write: {err}"),
        }
    }
}

fn run() -> Result<(), RunError> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    if args.contains("--version") {
        println!("cbtimeline {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let json = args.contains("--json");
    let request: Option<String> = args
        .opt_value_from_str("--request")
        .map_err(|err| RunError::Usage(err.to_string()))?;
    let mut lines = Vec::new();
    for path in args.finish() {
        let path = path.to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&path).map_err(|err| RunError::Unreadable(path, err))?;
        merge::read(&text, &mut lines);
    }
    merge::sort(&mut lines);
    lines.retain(|line| request.is_none() || line.request == request);
    print(&lines, json).map_err(RunError::Output)
}

fn print(lines: &[Line], json: bool) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    for line in lines {
        if json {
            serde_json::to_writer(&mut out, line)?;
            writeln!(out)?;
            continue;
        }
        write!(out, "{} {:12} {}", line.hlc, line.node, line.event)?;
        let fields = [
            ("request", &line.request),
            ("attempt", &line.attempt),
            ("backend", &line.backend),
            ("peer", &line.peer),
            ("detail", &line.detail),
        ];
        for (name, value) in fields {
            if let Some(value) = value {
                write!(out, " {name}={value}")?;
            }
        }
        writeln!(out)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(RunError::Output(err)) if err.kind() == std::io::ErrorKind::BrokenPipe => {
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("cbtimeline: {err}");
            ExitCode::from(2)
        }
    }
}
