//! Problems in declarations, as reported to the operator.

use serde::Serialize;
use std::fmt;

/// One problem in a declaration. It never contains the rejected value, which may be a secret.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Line of the key, or of the section if the key is missing.
    pub line: usize,
    /// Name of the section.
    pub section: String,
    /// Key, or `None` if the problem is with the section itself.
    pub key: Option<String>,
    /// Description of the problem.
    pub found: String,
    /// Description of what is accepted instead.
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
