//! The node: carries callers' chats and calls to backend servers.

use currantbend::node::Node;
use currantbend::node::StartError;
use currantbend::settings::Settings;
use currantbend::settings::SettingsError;
use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const HELP: &str = "\
currantbend: carries chats and calls from callers to backend servers.

USAGE:
  currantbend --settings FILE [--check]

OPTIONS:
  --settings FILE  the node's settings, in INI
  --check          check the settings, name every problem and exit
  --help           print this
  --version        print the version

EXIT STATUS:
  0  stopped as asked, or the settings are good
  1  could not start
  2  the arguments or the settings are at fault; nothing was started
";

/// Why the program ends with an error.
enum RunError {
    Usage(String),
    Settings(SettingsError),
    Start(StartError),
    System(std::io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) => write!(f, "{text}; see --help"),
            Self::Settings(err) => err.fmt(f),
            Self::Start(err) => err.fmt(f),
            Self::System(err) => err.fmt(f),
        }
    }
}

impl RunError {
    fn status(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Settings(_) => 2,
            Self::Start(_) | Self::System(_) => 1,
        }
    }
}

/// What the arguments ask for.
enum Request {
    Help,
    Version,
    Check(PathBuf),
    Serve(PathBuf),
}

fn parse() -> Result<Request, RunError> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        return Ok(Request::Help);
    }
    if args.contains("--version") {
        return Ok(Request::Version);
    }
    let usage = |err: pico_args::Error| RunError::Usage(err.to_string());
    let check = args.contains("--check");
    let path: PathBuf = args.value_from_str("--settings").map_err(usage)?;
    let rest = args.finish();
    if let Some(unknown) = rest.first() {
        let text = format!("unknown argument {}", unknown.to_string_lossy());
        return Err(RunError::Usage(text));
    }
    Ok(if check {
        Request::Check(path)
    } else {
        Request::Serve(path)
    })
}

fn run() -> Result<(), RunError> {
    match parse()? {
        Request::Help => print!("{HELP}"),
        Request::Version => println!("currantbend {}", env!("CARGO_PKG_VERSION")),
        Request::Check(path) => {
            Settings::load(&path).map_err(RunError::Settings)?;
            println!("the settings are good");
        }
        Request::Serve(path) => {
            let settings = Settings::load(&path).map_err(RunError::Settings)?;
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(settings.node.worker_threads)
                .enable_all()
                .build()
                .map_err(RunError::System)?;
            runtime.block_on(serve(&settings))?;
        }
    }
    Ok(())
}

async fn serve(settings: &Settings) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::System)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::System)?;
    let node = Node::start(settings).await.map_err(RunError::Start)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.close().await;
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("currantbend: {err}");
            ExitCode::from(err.status())
        }
    }
}
