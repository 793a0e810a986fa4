//! Why a command fails, worded for the operator, with the exit status that scripts go by.

use crate::border::AppendError;
use crate::border::HostListError;
use crate::border::ReadError;
use crate::declarations::DeclarationsError;
use std::fmt;

/// Why a command fails.
#[derive(Debug)]
pub enum CtlError {
    /// The arguments are at fault.
    Usage(String),
    /// The declarations are at fault.
    Declarations(DeclarationsError),
    /// A file can't be read or written, or holds something else than it should.
    File {
        /// Path as given.
        path: String,
        /// What is wrong.
        cause: String,
    },
    /// The log can't be read.
    Read(ReadError),
    /// The change is not in the log.
    Append(AppendError),
    /// The host list can't be read.
    Hosts(HostListError),
    /// The log holds a record that this version does not know.
    NewerRecord {
        /// Offset of the record.
        offset: u64,
        /// What is not known.
        cause: String,
    },
    /// The log has forgotten its first records and holds no snapshot.
    NoSnapshot,
    /// The change was refused; nothing has changed.
    Refused(String),
    /// The plan can't be made as asked.
    Impossible(String),
    /// The change is accepted, but not in force everywhere in time.
    NotInForce(String),
    /// The system refuses something else.
    System(std::io::Error),
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) => write!(f, "{text}; see --help"),
            Self::Declarations(err) => err.fmt(f),
            Self::File { path, cause } => write!(f, "{path}: {cause}"),
            Self::Read(err) => write!(f, "the log service did not answer: {err:?}"),
            Self::Append(AppendError::NotAppended(cause)) => {
                write!(
                    f,
                    "the log service did not take the change: {cause}; nothing has changed, try again"
                )
            }
            Self::Append(AppendError::Unsettled(cause)) => {
                write!(
                    f,
                    "the log service may have taken the change: {cause}; confirming the same plan again is safe"
                )
            }
            Self::Hosts(err) => write!(f, "the host list did not answer: {err:?}"),
            Self::NewerRecord { offset, cause } => {
                write!(
                    f,
                    "record {offset} needs a newer version of this tool: {cause}"
                )
            }
            Self::NoSnapshot => {
                f.write_str("the log has forgotten its first records and holds no snapshot")
            }
            Self::Refused(cause) => write!(f, "refused, nothing has changed: {cause}"),
            Self::Impossible(cause) | Self::NotInForce(cause) => f.write_str(cause),
            Self::System(err) => err.fmt(f),
        }
    }
}

impl std::error::Error for CtlError {}

impl CtlError {
    /// Gives the exit status that scripts go by.
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
