//! The node: carries callers' chats and calls to backend servers.

use currantbend::node::Node;
use currantbend::program;
use currantbend::program::Program;
use currantbend::program::ProgramError;
use currantbend::settings::Settings;
use currantbend::settings::SettingsError;
use std::path::Path;
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

/// The program of a node.
struct NodeProgram;

impl Program for NodeProgram {
    fn name(&self) -> &'static str {
        "currantbend"
    }

    fn version(&self) -> &'static str {
        env!("CARGO_PKG_VERSION")
    }

    fn help(&self) -> &'static str {
        HELP
    }

    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        Settings::load(path).map(|_| ())
    }

    fn serve(&self, path: &Path) -> Result<(), ProgramError> {
        let settings = Settings::load(path).map_err(ProgramError::Settings)?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.node.worker_threads)
            .enable_all()
            .build()
            .map_err(ProgramError::System)?;
        runtime.block_on(serve(&settings))
    }
}

async fn serve(settings: &Settings) -> Result<(), ProgramError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(ProgramError::System)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(ProgramError::System)?;
    let node = Node::start(settings).await;
    let node = node.map_err(|err| ProgramError::Start(err.to_string()))?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.close().await;
    Ok(())
}

fn main() -> ExitCode {
    program::run(&NodeProgram)
}
