//! CPU time, memory use and control traffic of a node process, read from `/proc` and from the node's metrics.

use std::net::SocketAddr;

use crate::load::directory::get_text;

/// Clock ticks per second, the unit of CPU time in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Name of the metric that counts bytes of control traffic.
const CONTROL_BYTES: &str = "currantbend_control_bytes_total";

/// Resource usage of a node process since its start.
#[derive(Clone, Debug)]
pub struct NodeStats {
    /// Name of the node.
    pub name: String,
    /// Process id, which distinguishes a restarted node from its previous process.
    pub pid: u32,
    /// CPU time in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in MiB.
    pub rss_mb: f64,
    /// Bytes of control traffic, or `None` if they could not be read from the node's metrics.
    pub control_bytes: Option<f64>,
}

/// Reads the resource usage of one process. Returns `None` if the process does not exist.
pub async fn read(name: &str, pid: u32, operations_address: SocketAddr) -> Option<NodeStats> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let metrics = get_text(operations_address, "/metrics").await;
    Some(NodeStats {
        name: name.to_owned(),
        pid,
        cpu_seconds: cpu_seconds(&stat)?,
        rss_mb: rss_mb(&status)?,
        control_bytes: metrics.and_then(|text| control_bytes(&text)),
    })
}

fn cpu_seconds(stat: &str) -> Option<f64> {
    // The command name is in parentheses and may contain spaces. User time and system time are the 12th and 13th
    // fields after it.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks: Vec<f64> = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    Some(ticks.iter().sum::<f64>() / TICKS_PER_SECOND)
}

fn rss_mb(status: &str) -> Option<f64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib / 1024.0)
}

fn control_bytes(metrics: &str) -> Option<f64> {
    let samples = metrics
        .lines()
        .filter(|line| line.starts_with(CONTROL_BYTES));
    let values: Vec<f64> = samples
        .filter_map(|line| line.rsplit(' ').next()?.parse().ok())
        .collect();
    (!values.is_empty()).then(|| values.iter().sum())
}
