//! The error type of a fleet.

use std::fmt;
use std::io;

use super::STOP_TIMEOUT;

/// Error of an operation on a fleet, a node or a backend server.
#[derive(Debug)]
pub enum FleetError {
    /// An I/O operation on a stand-in, a link, a file or a process failed.
    Io {
        /// The action that failed, such as "start the log service".
        action: String,
        /// The I/O error.
        err: io::Error,
    },
    /// A node did not become ready.
    NotReady {
        /// Name of the node.
        node: String,
        /// Why it counts as not ready: its process exited, or `/ready` did not return 200 in time.
        reason: String,
        /// Last lines of the node's log.
        tail: String,
    },
    /// A node did not exit in time after a signal.
    NotStopped {
        /// Name of the node.
        node: String,
    },
    /// No host has this name, or the host is not running.
    NoSuchHost {
        /// The requested name.
        name: String,
    },
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetError::Io { action, err } => write!(f, "cannot {action}: {err}"),
            FleetError::NotReady { node, reason, tail } => {
                write!(
                    f,
                    "node {node} is not ready: {reason}; end of its log:\n{tail}"
                )
            }
            FleetError::NotStopped { node } => {
                write!(f, "node {node} did not exit within {STOP_TIMEOUT:?}")
            }
            FleetError::NoSuchHost { name } => write!(f, "no running host is named {name}"),
        }
    }
}

impl std::error::Error for FleetError {}

/// Returns a function that converts an I/O error into the error of an action, such as "start the log service".
pub(super) fn io_error(action: impl Into<String>) -> impl FnOnce(io::Error) -> FleetError {
    let action = action.into();
    move |err| FleetError::Io { action, err }
}

/// Returns the error that no running host has the name.
pub(super) fn no_such_host(name: &str) -> FleetError {
    FleetError::NoSuchHost {
        name: name.to_owned(),
    }
}
