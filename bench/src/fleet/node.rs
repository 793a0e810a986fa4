//! One node process: its settings file, its log file, its signals and its end.

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

/// Pause between two looks at a node that starts or ends.
const READY_PAUSE: Duration = Duration::from_millis(20);
/// Lines of a node's log that an error shows.
const TAIL_LINES: usize = 15;

/// A node and, where it runs, its process.
pub struct Node {
    pub name: String,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub operations_address: SocketAddr,
    pub out: PathBuf,
    /// The process, while it has not been waited for.
    pub child: Mutex<Option<Child>>,
}

impl Node {
    /// The node as callers see it before it is ready.
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
        std::fs::write(&path, ini).map_err(io_error(format!("settings file {}", path.display())))
    }

    fn settings_path(&self) -> PathBuf {
        self.out.join(format!("{}.ini", self.name))
    }

    fn log_path(&self) -> PathBuf {
        self.out.join(format!("{}.log", self.name))
    }

    /// Starts the process; its log goes on in the same file.
    pub fn spawn(&self, binary: &Path) -> Result<(), FleetError> {
        let path = self.log_path();
        let log = OpenOptions::new().create(true).append(true).open(&path);
        let log = log.map_err(io_error(format!("log file {}", path.display())))?;
        let log_too: File = log
            .try_clone()
            .map_err(io_error(format!("log file {}", path.display())))?;
        let mut command = Command::new(binary);
        command.arg("--settings").arg(self.settings_path());
        command.stdin(Stdio::null()).stdout(log_too).stderr(log);
        let child = command
            .spawn()
            .map_err(io_error(format!("a process of {}", binary.display())))?;
        *lock(&self.child) = Some(child);
        Ok(())
    }

    /// Process id, while it runs.
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
        sent.map_err(|err| io_error(format!("a signal to {}", self.name))(err.into()))
    }

    /// Waits for the process's end.
    pub async fn wait(&self, within: Duration) -> Result<ExitStatus, FleetError> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Some(status) = self.ended()? {
                return Ok(status);
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Err(FleetError::NotStopped {
            node: self.name.clone(),
        })
    }

    /// Waits until `/ready` answers 200.
    pub async fn wait_ready(&self, within: Duration) -> Result<(), FleetError> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if probe_once(self.operations_address).await {
                return Ok(());
            }
            if let Some(status) = self.ended()? {
                return Err(self.not_ready(format!("it ended with {status}")));
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Err(self.not_ready(format!("/ready did not answer 200 within {within:?}")))
    }

    /// Takes up the process's end, if it has come.
    fn ended(&self) -> Result<Option<ExitStatus>, FleetError> {
        let mut held = lock(&self.child);
        let child = held.as_mut().ok_or_else(|| no_such_host(&self.name))?;
        let status = child
            .try_wait()
            .map_err(io_error(format!("the end of {}", self.name)))?;
        if status.is_some() {
            *held = None;
        }
        Ok(status)
    }

    fn not_ready(&self, seen: String) -> FleetError {
        let text = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let tail = lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n");
        FleetError::NotReady {
            node: self.name.clone(),
            seen,
            tail,
        }
    }
}

impl Drop for Node {
    /// Leaves no process behind where a fleet is dropped without being closed, as on an error at its start.
    fn drop(&mut self) {
        if let Some(child) = lock(&self.child).as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
