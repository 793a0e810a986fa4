//! Merges the logs of many processes into one timeline, or follows one request through the logs of gateways.

use currantbend::timeline::Selection;
use currantbend::timeline::follow;
use currantbend::timeline::log_line;
use currantbend::timeline::log_line::LogLine;
use currantbend::timeline::merge;
use currantbend::timeline::render::Html;
use currantbend::timeline::render::Json;
use currantbend::timeline::render::Render;
use currantbend::timeline::render::Text;
use currantbend::timeline::streams::Streams;
use currantbend::timeline::unanswered::Unanswered;
use pico_args::Arguments;
use std::fmt;
use std::io::BufWriter;
use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;
use uhlc::NTP64;

const HELP: &str = "\
cbtimeline: merges the logs of many processes into one timeline, in causal order.

USAGE:
  cbtimeline [OPTIONS] FILE...
  cbtimeline --follow ID FILE...
  cbtimeline --unanswered [--config-apply-ms N] FILE...
  cbtimeline --streams FILE...

OPTIONS:
  --follow ID     one request through the logs of gateways, with the changes on its nodes from ten seconds before it
  --unanswered    requests that gateways did not answer, by cause, beside changes of the configuration and at other times
  --streams       streams out of order over all attempts of their callers, with the first requests of each kind
  --config-apply-ms N  time in which a change takes force everywhere, 2000 if not given
  --request ID    all events of one request
  --chat ID       all events of the requests of a chat
  --team NAME     all events of the requests of a team
  --backend NAME  all events of the requests that were sent to a backend server, and the server's own events
  --node NAME     only events that this node wrote
  --from TIME     only events from this time on, such as 2026-12-03T22:50:07.5Z
  --to TIME       only events before this time
  --json          print JSON lines
  --html          print an HTML page with a diagram, a lane for each process
  --help          print this
  --version       print the version

Options that select events can be combined.
";

/// Default of `--config-apply-ms`, the same as of a gateway's setting.
const DEFAULT_CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Reason why the program ends with an error.
enum RunError {
    Usage(String),
    Unreadable(String, std::io::Error),
    Output(std::io::Error),
    NotFound(String),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) => write!(f, "{text}; see --help"),
            Self::Unreadable(path, err) => write!(f, "can't read {path}: {err}"),
            Self::Output(err) => write!(f, "can't write: {err}"),
            Self::NotFound(id) => write!(
                f,
                "no log line on request {id}: its node may have been killed before the request ended"
            ),
        }
    }
}

fn run() -> Result<(), RunError> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    if args.contains("--version") {
        println!("cbtimeline {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    if let Some(id) = optional_text(&mut args, "--follow")? {
        return follow_request(&id, args);
    }
    if args.contains("--unanswered") {
        return count_unanswered(args);
    }
    if args.contains("--streams") {
        return print_report(&Streams::check(&read_log_lines(args)?));
    }
    let format = output_format(&mut args);
    let selection = parse_selection(&mut args)?;
    let mut lines = Vec::new();
    for text in read_files(args)? {
        merge::read(&text, &mut lines);
    }
    merge::sort(&mut lines);
    let lines = selection.apply(lines);
    let mut out = BufWriter::new(std::io::stdout().lock());
    format.render(&lines, &mut out).map_err(RunError::Output)?;
    out.flush().map_err(RunError::Output)
}

/// Reads the files named by the remaining arguments.
fn read_files(args: Arguments) -> Result<Vec<String>, RunError> {
    let mut texts = Vec::new();
    for path in args.finish() {
        let path = path.to_string_lossy().into_owned();
        if path.starts_with("--") {
            return Err(RunError::Usage(format!("unknown argument {path}")));
        }
        let bytes = std::fs::read(&path).map_err(|err| RunError::Unreadable(path, err))?;
        texts.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    Ok(texts)
}

/// Reads the lines of gateways in the files named by the remaining arguments.
fn read_log_lines(args: Arguments) -> Result<Vec<LogLine>, RunError> {
    let mut log_lines = Vec::new();
    for text in read_files(args)? {
        log_line::read(&text, &mut log_lines);
    }
    Ok(log_lines)
}

fn count_unanswered(mut args: Arguments) -> Result<(), RunError> {
    let config_apply = args
        .opt_value_from_str("--config-apply-ms")
        .map_err(|err| RunError::Usage(err.to_string()))?
        .map_or(DEFAULT_CONFIG_APPLY, Duration::from_millis);
    print_report(&Unanswered::count(&read_log_lines(args)?, config_apply))
}

fn print_report(report: &impl fmt::Display) -> Result<(), RunError> {
    let mut out = BufWriter::new(std::io::stdout().lock());
    write!(out, "{report}").map_err(RunError::Output)?;
    out.flush().map_err(RunError::Output)
}

fn follow_request(id: &str, args: Arguments) -> Result<(), RunError> {
    let log_lines = read_log_lines(args)?;
    let lines = follow::follow(&log_lines, id);
    if lines.is_empty() {
        return Err(RunError::NotFound(id.to_owned()));
    }
    let mut out = BufWriter::new(std::io::stdout().lock());
    for line in lines {
        writeln!(out, "{line}").map_err(RunError::Output)?;
    }
    out.flush().map_err(RunError::Output)
}

fn output_format(args: &mut Arguments) -> Box<dyn Render> {
    if args.contains("--html") {
        return Box::new(Html);
    }
    if args.contains("--json") {
        return Box::new(Json);
    }
    Box::new(Text)
}

fn parse_selection(args: &mut Arguments) -> Result<Selection, RunError> {
    Ok(Selection {
        request: optional_text(args, "--request")?,
        chat: optional_text(args, "--chat")?,
        team: optional_text(args, "--team")?,
        backend: optional_text(args, "--backend")?,
        node: optional_text(args, "--node")?,
        from: optional_time(args, "--from")?,
        to: optional_time(args, "--to")?,
    })
}

fn optional_text(args: &mut Arguments, name: &'static str) -> Result<Option<String>, RunError> {
    args.opt_value_from_str(name)
        .map_err(|err| RunError::Usage(err.to_string()))
}

fn optional_time(args: &mut Arguments, name: &'static str) -> Result<Option<NTP64>, RunError> {
    let Some(text) = optional_text(args, name)? else {
        return Ok(None);
    };
    let time = NTP64::parse_rfc3339(&text);
    let time = time.map_err(|_| RunError::Usage(format!("{name} {text} is not a valid time")))?;
    Ok(Some(time))
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
