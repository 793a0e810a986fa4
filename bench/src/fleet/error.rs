//! Why a fleet could not do what it was asked to.

use std::fmt;
use std::io;

use super::STOP_TIMEOUT;

/// Why a fleet, or a node of it, could not be started or stopped.
#[derive(Debug)]
pub enum FleetError {
    /// A stand-in, file or process could not be made.
    Io {
        /// What was to be made.
        what: String,
        /// Why that failed.
        err: io::Error,
    },
    /// A node did not get ready.
    NotReady {
        /// Name of the node.
        node: String,
        /// What was seen.
        seen: String,
        /// Last lines of its log.
        tail: String,
    },
    /// A node did not end in time after it was asked to.
    NotStopped {
        /// Name of the node.
        node: String,
    },
    /// There is no host of that name, or it does not run.
    NoSuchHost {
        /// The name asked for.
        name: String,
    },
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetError::Io { what, err } => write!(f, "cannot make {what}: {err}"),
            FleetError::NotReady { node, seen, tail } => {
                write!(f, "node {node} is not ready: {seen}; its log ends:\n{tail}")
            }
            FleetError::NotStopped { node } => {
                write!(f, "node {node} did not end within {STOP_TIMEOUT:?}")
            }
            FleetError::NoSuchHost { name } => write!(f, "no running host is named {name}"),
        }
    }
}

impl std::error::Error for FleetError {}

/// Adds to an I/O error what was to be made.
pub(super) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> FleetError {
    let what = what.into();
    move |err| FleetError::Io { what, err }
}

/// No running host has the name.
pub(super) fn no_such_host(name: &str) -> FleetError {
    FleetError::NoSuchHost {
        name: name.to_owned(),
    }
}
