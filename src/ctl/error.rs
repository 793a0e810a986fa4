//! Errors of the commands, with messages for operators and exit statuses for scripts.

use crate::border::AppendError;
use crate::border::HostListError;
use crate::border::ReadError;
use crate::declarations::DeclarationsError;
use std::fmt;

/// Reason why a command fails.
#[derive(Debug)]
pub enum CtlError {
    /// An argument is missing, invalid or unknown.
    Usage(String),
    /// The declarations are invalid or can't be read.
    Declarations(DeclarationsError),
    /// A file can't be read or written, or its content is not of the expected kind.
    File {
        /// Path as given on the command line.
        path: String,
        /// Description of the failure.
        cause: String,
    },
    /// The config stream can't be read from the log service.
    Read(ReadError),
    /// The change could not be appended to the log, or it is not known whether it was.
    Append(AppendError),
    /// The host list can't be fetched.
    Hosts(HostListError),
    /// The log holds a record of a kind or version that this program does not know.
    NewerRecord {
        /// Offset of the record.
        offset: u64,
        /// Description of the unknown kind or version.
        cause: String,
    },
    /// The log has discarded its first records and holds no snapshot to start from.
    NoSnapshot,
    /// The change was refused; nothing has changed.
    Refused(String),
    /// The plan can't be created as requested.
    Impossible(String),
    /// The change was accepted, but was not in force on all nodes before the timeout, or the nodes differ.
    NotInForce(String),
    /// Another I/O operation failed, or a value could not be serialized.
    System(std::io::Error),
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) => write!(f, "{text}; see --help"),
            Self::Declarations(err) => err.fmt(f),
            Self::File { path, cause } => write!(f, "{path}: {cause}"),
            Self::Read(err) => write!(f, "the log service did not respond: {err:?}"),
            Self::Append(AppendError::NotAppended(cause)) => {
                write!(
                    f,
                    "the log service did not append the change: {cause}; nothing has changed, try again"
                )
            }
            Self::Append(AppendError::Unsettled(cause)) => {
                write!(
                    f,
                    "the log service may have appended the change: {cause}; confirming the same plan again is safe"
                )
            }
            Self::Hosts(err) => write!(f, "the host list did not respond: {err:?}"),
            Self::NewerRecord { offset, cause } => {
                write!(
                    f,
                    "record {offset} needs a newer version of this tool: {cause}"
                )
            }
            Self::NoSnapshot => {
                f.write_str("the log has discarded its first records and holds no snapshot")
            }
            Self::Refused(cause) => write!(f, "refused, nothing has changed: {cause}"),
            Self::Impossible(cause) | Self::NotInForce(cause) => f.write_str(cause),
            Self::System(err) => err.fmt(f),
        }
    }
}

impl std::error::Error for CtlError {}

impl CtlError {
    /// Returns the exit status for this error, as listed in the help.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Declarations(_) | Self::File { .. } => 2,
            Self::Refused(_) | Self::Impossible(_) => 3,
            Self::NotInForce(_) => 4,
            Self::Read(_)
            | Self::Append(_)
            | Self::Hosts(_)
            | Self::NewerRecord { .. }
            | Self::NoSnapshot
            | Self::System(_) => 1,
        }
    }
}

impl From<DeclarationsError> for CtlError {
    fn from(err: DeclarationsError) -> Self {
        Self::Declarations(err)
    }
}
