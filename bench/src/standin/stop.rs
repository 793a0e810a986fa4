//! Stand-ins that are processes: how they are asked for by the environment, and when they stop.

use nix::unistd::Pid;
use nix::unistd::getppid;
use std::ffi::OsString;
use std::io;
use std::time::Duration;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Interval at which a process looks whether its parent is gone.
const ORPHAN_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the arguments that this variable of the environment holds, one a line; `None` if it isn't set.
pub(super) fn requested_args(variable: &str) -> Option<Vec<OsString>> {
    let args = std::env::var(variable).ok()?;
    Some(args.lines().map(OsString::from).collect())
}

/// Waits until the process is to stop.
pub(super) struct Stop {
    terminate: tokio::signal::unix::Signal,
    /// The process that this one ends with.
    parent: Option<Pid>,
}

impl Stop {
    /// Returns what waits for SIGTERM, and for the end of the parent if this variable of the environment is set.
    pub(super) fn new(variable: &str) -> io::Result<Self> {
        let is_child = std::env::var_os(variable).is_some();
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            parent: is_child.then(getppid),
        })
    }

    /// Returns whether the process is to stop, after `time` at most.
    pub(super) async fn is_due_within(&mut self, time: Duration) -> bool {
        let terminated = tokio::time::timeout(time, self.terminate.recv()).await;
        terminated.is_ok() || self.parent.is_some_and(|parent| parent != getppid())
    }

    /// Waits until the process is to stop.
    pub(super) async fn wait(&mut self) {
        while !self.is_due_within(ORPHAN_INTERVAL).await {}
    }
}
