//! `cbctl status`: prints version, readiness and backend servers of each node.

use super::Command;
use super::CtlError;
use super::Output;
use super::args::comma_separated;
use super::nodes::fetch_statuses;
use crate::border::generated::config::NodeStatus;
use async_trait::async_trait;
use pico_args::Arguments;
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;

/// Number of digits of a hash in text output.
const SHOWN_HASH_DIGITS: usize = 12;

pub(super) struct Status {
    nodes: Vec<SocketAddr>,
}

#[derive(Serialize)]
struct StatusReport {
    /// Whether all nodes respond, are ready and have the same configuration in force.
    #[serde(rename = "level")]
    is_consistent: bool,
    nodes: Vec<NodeReport>,
}

#[derive(Serialize)]
struct NodeReport {
    address: SocketAddr,
    status: Option<NodeStatus>,
}

impl Status {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        let nodes = comma_separated(args, "--nodes")?;
        Ok(Self { nodes })
    }
}

#[async_trait]
impl Command for Status {
    async fn run(&self, output: &Output) -> Result<(), CtlError> {
        let statuses = fetch_statuses(&self.nodes).await;
        let is_consistent = is_consistent(&statuses);
        let pairs = self.nodes.iter().zip(statuses);
        let nodes = pairs.map(|(address, status)| NodeReport {
            address: *address,
            status,
        });
        output.print(&StatusReport {
            is_consistent,
            nodes: nodes.collect(),
        })?;
        if is_consistent {
            Ok(())
        } else {
            Err(CtlError::NotInForce(
                "the nodes differ, or some do not respond or are not ready".to_owned(),
            ))
        }
    }
}

fn is_consistent(statuses: &[Option<NodeStatus>]) -> bool {
    let Some(Some(first)) = statuses.first() else {
        return false;
    };
    statuses.iter().all(|status| {
        status.as_ref().is_some_and(|status| {
            status.ready && status.version == first.version && status.hash == first.hash
        })
    })
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for report in &self.nodes {
            let Some(status) = &report.status else {
                writeln!(f, "{} does not respond", report.address)?;
                continue;
            };
            write!(f, "{} in {}: ", status.node, status.data_centre)?;
            match status.version {
                Some(version) => write!(f, "version {version}")?,
                None => write!(f, "nothing in force")?,
            }
            let shown = status.hash.get(..SHOWN_HASH_DIGITS).unwrap_or_default();
            write!(f, ", hash {shown}, ")?;
            if status.ready {
                write!(f, "ready")?;
            } else {
                write!(f, "waiting for {}", status.missing.join(", "))?;
            }
            if let Some(offset) = status.stopped_at {
                write!(f, ", stopped at unknown record {offset}")?;
            }
            write!(f, ", owns {}", join_names(&status.owned))?;
            if !status.unsettled.is_empty() {
                write!(f, ", not yet as wanted {}", status.unsettled.join(" "))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

fn join_names(names: &[String]) -> String {
    if names.is_empty() {
        "nothing".to_owned()
    } else {
        names.join(" ")
    }
}
