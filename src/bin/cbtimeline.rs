//! Shows the events of many processes as one time line.

use currantbend::timeline::Selection;
use currantbend::timeline::follow;
use currantbend::timeline::merge;
use currantbend::timeline::render::Html;
use currantbend::timeline::render::Json;
use currantbend::timeline::render::Render;
use currantbend::timeline::render::Text;
use pico_args::Arguments;
use std::fmt;
use std::io::BufWriter;
use std::io::Write;
use std::process::ExitCode;
use uhlc::NTP64;

const HELP: &str = "\
cbtimeline: merges the logs of many processes into one time line, in causal order.

USAGE:
  cbtimeline [OPTIONS] FILE...
  cbtimeline --follow ID FILE...

OPTIONS:
  --follow ID     a request through the logs of gateways, with what its nodes noted from ten seconds before it
  --request ID    all events of one request
  --chat ID       all events of the requests of a chat
  --team NAME     all events of the requests of a team
  --backend NAME  all events of the requests that met a backend server, and the server's own
  --node NAME     only events that this node wrote
  --from TIME     only events from this time on, such as 2026-12-03T22:50:07.5Z
  --to TIME       only events before this time
  --json          print JSON lines
  --html          print a page with a picture, a lane for each process
  --help          print this
  --version       print the version

Options that pick events are combined.
";

/// Why the program ends with an error.
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
                "no line on request {id}: its node may have been killed before it ended"
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
    if let Some(id) = option(&mut args, "--follow")? {
        return follow_request(&id, args);
    }
    let render = render(&mut args);
    let selection = selection(&mut args)?;
    let mut lines = Vec::new();
    for text in texts(args)? {
        merge::read(&text, &mut lines);
    }
    merge::sort(&mut lines);
    let lines = selection.apply(lines);
    let mut out = BufWriter::new(std::io::stdout().lock());
    render.render(&lines, &mut out).map_err(RunError::Output)?;
    out.flush().map_err(RunError::Output)
}

/// Reads the files that the rest of the arguments names.
fn texts(args: Arguments) -> Result<Vec<String>, RunError> {
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

fn follow_request(id: &str, args: Arguments) -> Result<(), RunError> {
    let mut entries = Vec::new();
    for text in texts(args)? {
        follow::read(&text, &mut entries);
    }
    let lines = follow::follow(&entries, id);
    if lines.is_empty() {
        return Err(RunError::NotFound(id.to_owned()));
    }
    let mut out = BufWriter::new(std::io::stdout().lock());
    for line in lines {
        writeln!(out, "{line}").map_err(RunError::Output)?;
    }
    out.flush().map_err(RunError::Output)
}

fn render(args: &mut Arguments) -> Box<dyn Render> {
    if args.contains("--html") {
        return Box::new(Html);
    }
    if args.contains("--json") {
        return Box::new(Json);
    }
    Box::new(Text)
}

fn selection(args: &mut Arguments) -> Result<Selection, RunError> {
    Ok(Selection {
        request: option(args, "--request")?,
        chat: option(args, "--chat")?,
        team: option(args, "--team")?,
        backend: option(args, "--backend")?,
        node: option(args, "--node")?,
        from: time(args, "--from")?,
        to: time(args, "--to")?,
    })
}

fn option(args: &mut Arguments, name: &'static str) -> Result<Option<String>, RunError> {
    args.opt_value_from_str(name)
        .map_err(|err| RunError::Usage(err.to_string()))
}

fn time(args: &mut Arguments, name: &'static str) -> Result<Option<NTP64>, RunError> {
    let Some(text) = option(args, name)? else {
        return Ok(None);
    };
    let time = NTP64::parse_rfc3339(&text);
    let time = time.map_err(|_| RunError::Usage(format!("{name} {text} is no time")))?;
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
