//! The operators' tool `cbctl`. Each command has its own file and implements [`Command`].
//!
//! Results go to the standard output, as text or as one JSON object. Progress and errors go to the standard error
//! stream.

mod args;
mod check;
mod confirm;
mod effect;
mod error;
mod explain;
mod history;
mod intent;
mod keygen;
mod nodes;
mod output;
mod plan;
mod plan_file;
mod platform;
mod show;
mod status;
mod stream;
#[cfg(test)]
mod tests;

pub use args::HELP;
pub use args::parse;
pub use error::CtlError;
pub use output::Output;

use async_trait::async_trait;

/// A command with its arguments.
#[async_trait]
pub trait Command: Send + Sync {
    /// Executes the command and prints its result.
    ///
    /// # Errors
    ///
    /// Returns why the command failed, with a message for the operator.
    async fn run(&self, output: &Output) -> Result<(), CtlError>;
}
