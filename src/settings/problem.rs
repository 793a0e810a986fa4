//! What can be wrong with a settings file, worded for the operator.

use std::fmt;

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Line of the key, or of its section where the key is missing; the first is 1.
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
        let key = self.key.as_deref().unwrap_or("*");
        write!(
            f,
            "[{}] {}: {}; accepted: {}",
            self.section, key, self.found, self.accepted
        )
    }
}

/// Why settings can't be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable {
        /// Path as given.
        path: String,
        /// Cause as the system words it.
        cause: String,
    },
    /// The text is not INI.
    Malformed {
        /// Line and cause as the parser words it.
        cause: String,
    },
    /// Some keys are missing, unknown or have a bad value.
    Invalid {
        /// Path of the file, or nothing where the settings were given as text.
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
