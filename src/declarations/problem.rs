//! What can be wrong with declarations, worded for the operator.

use serde::Serialize;
use std::fmt;

/// One thing that is wrong with a declaration. Values are never repeated: they may be secrets.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Line of the key, or of the section where the key is missing.
    pub line: usize,
    /// Section that holds the key.
    pub section: String,
    /// Key, or nothing where the section itself is at fault.
    pub key: Option<String>,
    /// What was found.
    pub found: String,
    /// What is accepted there.
    pub accepted: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: [{}]", self.file, self.line, self.section)?;
        if let Some(key) = &self.key {
            write!(f, " {key}")?;
        }
        write!(f, ": {}; accepted: {}", self.found, self.accepted)
    }
}
