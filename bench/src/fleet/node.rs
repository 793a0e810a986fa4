//! One node process: its settings file, log file, signals and exit.

use std::fmt::Write;
use std::fs::File;
use std::fs::OpenOptions;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::unistd::Pid;

use super::FleetError;
use super::FleetOptions;
use super::error::io_error;
use super::error::no_such_host;
use super::lock;
use crate::load::directory::NodeEntry;
use crate::load::directory::probe_once;

/// Interval between two checks of a node that is starting or stopping.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of lines from the end of a node's log that an error contains.
const LOG_TAIL_LINES: usize = 15;

/// A node and, while it is running, its process.
pub struct Node {
    pub name: String,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub operations_address: SocketAddr,
    pub out: PathBuf,
    /// The process, until its exit status has been read.
    pub child: Mutex<Option<Child>>,
}

impl Node {
    /// Returns the initial directory entry of the node, which is not ready.
    pub fn entry(&self) -> NodeEntry {
        NodeEntry {
            name: self.name.clone(),
            address: self.caller_address,
            operations_address: self.operations_address,
            ready: false,
            stopping: false,
        }
    }

    /// Writes the node's settings file.
    pub fn write_settings(
        &self,
        options: &FleetOptions,
        zone: &str,
        region: &str,
        source: Ipv4Addr,
        log: SocketAddr,
        hosts: SocketAddr,
    ) -> Result<(), FleetError> {
        let mut ini = String::new();
        let lines = [
            String::from("[node]"),
            format!("name = {}", self.name),
            format!("data_centre = {zone}"),
            format!("region = {region}"),
            format!("caller_address = {}", self.caller_address),
            format!("peer_address = {}", self.peer_address),
            format!("operations_address = {}", self.operations_address),
            format!("source_ip = {source}"),
            format!("key = {}", options.deployment_key()),
            String::from("[platform]"),
            format!("log_address = {log}"),
            format!("host_list_address = {hosts}"),
            format!(
                "host_list_interval_ms = {}",
                options.host_list_interval.as_millis()
            ),
            String::from("[routing]"),
            format!("policy = {}", options.policy),
        ];
        for line in lines.iter().chain(&options.extra_settings) {
            let _ = writeln!(ini, "{line}");
        }
        let path = self.settings_path();
        std::fs::write(&path, ini)
            .map_err(io_error(format!("write settings file {}", path.display())))
    }

    fn settings_path(&self) -> PathBuf {
        self.out.join(format!("{}.ini", self.name))
    }

    fn log_path(&self) -> PathBuf {
        self.out.join(format!("{}.log", self.name))
    }

    /// Starts the process. Its log is appended to the log file of earlier processes of the node.
    pub fn spawn(&self, binary: &Path) -> Result<(), FleetError> {
        let path = self.log_path();
        let log = OpenOptions::new().create(true).append(true).open(&path);
        let log = log.map_err(io_error(format!("open log file {}", path.display())))?;
        let stdout_log: File = log
            .try_clone()
            .map_err(io_error(format!("open log file {}", path.display())))?;
        let mut command = Command::new(binary);
        command.arg("--settings").arg(self.settings_path());
        command.stdin(Stdio::null()).stdout(stdout_log).stderr(log);
        let child = command
            .spawn()
            .map_err(io_error(format!("start {}", binary.display())))?;
        *lock(&self.child) = Some(child);
        Ok(())
    }

    /// Returns the process id, or `None` if the node is not running.
    pub fn pid(&self) -> Option<u32> {
        lock(&self.child).as_ref().map(Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<(), FleetError> {
        let pid = self
            .pid()
            .and_then(|pid| i32::try_from(pid).ok())
            .ok_or_else(|| no_such_host(&self.name))?;
        let sent = nix::sys::signal::kill(Pid::from_raw(pid), signal);
        sent.map_err(|err| io_error(format!("send a signal to node {}", self.name))(err.into()))
    }

    /// Waits until the process has exited and returns its exit status.
    pub async fn wait(&self, timeout: Duration) -> Result<ExitStatus, FleetError> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(status) = self.try_wait_exit()? {
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(FleetError::NotStopped {
            node: self.name.clone(),
        })
    }

    /// Waits until `/ready` returns 200.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<(), FleetError> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if probe_once(self.operations_address).await {
                return Ok(());
            }
            if let Some(status) = self.try_wait_exit()? {
                return Err(self.not_ready(format!("it exited with {status}")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(self.not_ready(format!("/ready did not return 200 within {timeout:?}")))
    }

    /// Returns the exit status if the process has exited, and clears `child` in that case.
    fn try_wait_exit(&self) -> Result<Option<ExitStatus>, FleetError> {
        let mut child_guard = lock(&self.child);
        let child = child_guard
            .as_mut()
            .ok_or_else(|| no_such_host(&self.name))?;
        let status = child
            .try_wait()
            .map_err(io_error(format!("wait for node {}", self.name)))?;
        if status.is_some() {
            *child_guard = None;
        }
        Ok(status)
    }

    fn not_ready(&self, reason: String) -> FleetError {
        let text = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let tail = lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n");
        FleetError::NotReady {
            node: self.name.clone(),
            reason,
            tail,
        }
    }
}

impl Drop for Node {
    /// Kills the process if the fleet is dropped without `Fleet::close`, for example after an error at its start.
    fn drop(&mut self) {
        if let Some(child) = lock(&self.child).as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
