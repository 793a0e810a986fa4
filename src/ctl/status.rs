//! `cbctl status`: version, readiness and backend servers of each node.

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

/// Digits of a hash that are shown in words.
const SHOWN_DIGITS: usize = 12;

pub(super) struct Status {
    nodes: Vec<SocketAddr>,
}

#[derive(Serialize)]
struct Statuses {
    /// Whether all nodes answer, are ready and have the same in force.
    level: bool,
    nodes: Vec<Answer>,
}

#[derive(Serialize)]
struct Answer {
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
        let level = is_level(&statuses);
        let pairs = self.nodes.iter().zip(statuses);
        let nodes = pairs.map(|(address, status)| Answer {
            address: *address,
            status,
        });
        output.print(&Statuses {
            level,
            nodes: nodes.collect(),
        })?;
        if level {
            Ok(())
        } else {
            Err(CtlError::NotInForce("the nodes differ".to_owned()))
        }
    }
}

fn is_level(statuses: &[Option<NodeStatus>]) -> bool {
    let Some(Some(first)) = statuses.first() else {
        return false;
    };
    statuses.iter().all(|status| {
        status.as_ref().is_some_and(|status| {
            status.ready && status.version == first.version && status.hash == first.hash
        })
    })
}

impl fmt::Display for Statuses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for answer in &self.nodes {
            let Some(status) = &answer.status else {
                writeln!(f, "{} does not answer", answer.address)?;
                continue;
            };
            write!(f, "{} in {}: ", status.node, status.data_centre)?;
            match status.version {
                Some(version) => write!(f, "version {version}")?,
                None => write!(f, "nothing in force")?,
            }
            let shown = status.hash.get(..SHOWN_DIGITS).unwrap_or_default();
            write!(f, ", hash {shown}, ")?;
            if status.ready {
                write!(f, "ready")?;
            } else {
                write!(f, "waiting for {}", status.missing.join(", "))?;
            }
            if let Some(offset) = status.stopped_at {
                write!(f, ", stopped at unknown record {offset}")?;
            }
            write!(f, ", owns {}", names(&status.owned))?;
            if !status.unsettled.is_empty() {
                write!(f, ", not yet as wanted {}", status.unsettled.join(" "))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

fn names(names: &[String]) -> String {
    if names.is_empty() {
        "nothing".to_owned()
    } else {
        names.join(" ")
    }
}
