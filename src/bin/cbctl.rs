//! The operators' tool.

use currantbend::border::HttpLog;
use currantbend::border::LogService;
use currantbend::border::ReadError;
use currantbend::config::STREAM;
use currantbend::config::State;
use currantbend::net::Client;
use currantbend::net::ClientOptions;
use currantbend::operations::Metrics;
use std::fmt;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

const HELP: &str = "\
cbctl: shows and changes what is in force.

USAGE:
  cbctl show --log ADDRESS

OPTIONS:
  --log ADDRESS  the platform's log service
  --help         print this
  --version      print the version
";

/// Records that one read asks for.
const READ_LIMIT: u32 = 500;
/// Longest wait for the log service.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Why the program ends with an error.
enum RunError {
    Usage(String),
    Log(ReadError),
    System(std::io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) => write!(f, "{text}; see --help"),
            Self::Log(err) => write!(f, "the log service did not answer: {err:?}"),
            Self::System(err) => err.fmt(f),
        }
    }
}

impl RunError {
    fn status(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Log(_) | Self::System(_) => 1,
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
        println!("cbctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let usage = |err: pico_args::Error| RunError::Usage(err.to_string());
    let command = args.subcommand().map_err(usage)?;
    if command.as_deref() != Some("show") {
        return Err(RunError::Usage("unknown command".to_owned()));
    }
    let address: SocketAddr = args.value_from_str("--log").map_err(usage)?;
    let runtime = tokio::runtime::Runtime::new().map_err(RunError::System)?;
    let state = runtime.block_on(read(address))?;
    print_state(&state);
    Ok(())
}

async fn read(address: SocketAddr) -> Result<State, RunError> {
    let client = Client::new(&ClientOptions::default());
    let log = HttpLog::new(client, address, TIMEOUT, Arc::new(Metrics::new()));
    let mut state = State::default();
    let mut next = 0;
    loop {
        let answer = log
            .read(STREAM, next, READ_LIMIT, Duration::ZERO)
            .await
            .map_err(RunError::Log)?;
        next = next.max(answer.first_retained);
        for record in &answer.records {
            next = record.offset + 1;
            match state.apply(record.offset, &record.data) {
                Ok((changed, _)) => state = changed,
                Err(halt) => eprintln!("record {} is not known: {halt}", record.offset),
            }
        }
        if next >= answer.next {
            return Ok(state);
        }
    }
}

fn print_state(state: &State) {
    match state.version {
        Some(version) => println!("version {version}"),
        None => println!("nothing is in force"),
    }
    for team in state.teams() {
        println!("team {} weight {}", team.name, team.weight);
    }
    for service in state.services() {
        println!("service {} kind {}", service.name, service.kind);
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("cbctl: {err}");
            ExitCode::from(err.status())
        }
    }
}
