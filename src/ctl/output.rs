//! How results are printed.

use super::CtlError;
use serde::Serialize;
use std::fmt::Display;
use std::io::Write;

/// How results are printed.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    /// As one JSON object instead of words.
    pub json: bool,
}

impl Output {
    /// Prints a result.
    ///
    /// # Errors
    ///
    /// Passes on why the standard output can't be written.
    pub fn print<T: Serialize + Display>(&self, result: &T) -> Result<(), CtlError> {
        let text = if self.json {
            serde_json::to_string(result).map_err(|err| CtlError::System(err.into()))?
        } else {
            result.to_string()
        };
        let text = text.trim_end();
        writeln!(std::io::stdout(), "{text}").map_err(CtlError::System)
    }

    /// Shows how far a command is.
    pub fn progress(&self, text: &str) {
        eprintln!("{text}");
    }
}
