//! Problems of a settings file, with messages for the operator.

use std::fmt;

/// A problem of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Line number of the key, or of its section if the key is missing, counted from 1.
    pub line: usize,
    /// Section that contains the key.
    pub section: String,
    /// Key, or `None` if the problem is the section itself.
    pub key: Option<String>,
    /// Description of the problem, such as a missing key or a value out of range.
    pub found: String,
    /// Description of what is accepted instead.
    pub accepted: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = self.key.as_deref().unwrap_or("*");
        write!(
            f,
            "[{}] {}: {}; accepted: {}",
            self.section, key, self.found, self.accepted
        )
    }
}

/// Reason why settings can't be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable {
        /// Path as given.
        path: String,
        /// Error message of the operating system.
        cause: String,
    },
    /// The text is not INI.
    Malformed {
        /// Error message of the parser, with the line.
        cause: String,
    },
    /// Some keys or sections are missing, unknown or have an invalid value.
    Invalid {
        /// Path of the file, or `None` if the settings were given as text.
        path: Option<String>,
        /// Every problem, in the order of the sections.
        problems: Vec<Problem>,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, cause } => write!(f, "can't read settings {path}: {cause}"),
            Self::Malformed { cause } => write!(f, "settings are not valid INI: {cause}"),
            Self::Invalid { path, problems } => {
                write!(f, "settings have {} problem(s)", problems.len())?;
                let path = path.as_deref().unwrap_or("line");
                for problem in problems {
                    write!(f, "\n  {path}:{}: {problem}", problem.line)?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for SettingsError {}
