//! The operators' tool: one file for each command behind [`Command`].
//!
//! Results go to the standard output, in words or as one JSON object, progress and errors to the standard error stream.

mod args;
mod check;
mod confirm;
mod effect;
mod error;
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

/// One command with its arguments.
#[async_trait]
pub trait Command: Send + Sync {
    /// Does what the command is for and prints its result.
    ///
    /// # Errors
    ///
    /// Tells why it could not be done, worded for the operator.
    async fn run(&self, output: &Output) -> Result<(), CtlError>;
}
