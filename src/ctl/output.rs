//! Prints results and progress.

use super::CtlError;
use serde::Serialize;
use std::fmt::Display;
use std::io::Write;

/// Output format of results.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    /// Whether results are printed as one JSON object instead of text.
    pub json: bool,
}

impl Output {
    /// Prints a result.
    ///
    /// # Errors
    ///
    /// Returns an error if the result can't be serialized or the standard output can't be written.
    pub fn print<T: Serialize + Display>(&self, result: &T) -> Result<(), CtlError> {
        let text = if self.json {
            serde_json::to_string(result).map_err(|err| CtlError::System(err.into()))?
        } else {
            result.to_string()
        };
        let text = text.trim_end();
        writeln!(std::io::stdout(), "{text}").map_err(CtlError::System)
    }

    /// Prints a progress message to the standard error stream.
    pub fn progress(&self, text: &str) {
        eprintln!("{text}");
    }
}
