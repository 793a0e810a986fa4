//! The node program, which forwards callers' chats and calls to backend servers.

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

/// The node program.
struct NodeProgram;

impl Program for NodeProgram {
    fn name(&self) -> &'static str {
        "currantbend"
    }

    fn summary(&self) -> &'static str {
        "forwards chats and calls from callers to backend servers"
    }

    fn component(&self) -> &'static str {
        "node"
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
