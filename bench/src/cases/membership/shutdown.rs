//! A rolling restart of all nodes under load.

use std::time::Instant;

use async_trait::async_trait;

use super::agree::wait_for_equal_views;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;
use crate::fleet::FleetError;

/// Share of the load's duration after which the first node is stopped.
const BEGIN_AT: f64 = 0.1;

/// A rolling restart of all nodes.
pub struct Shutdown;

#[async_trait]
impl Case for Shutdown {
    fn name(&self) -> &'static str {
        "shutdown"
    }

    fn description(&self) -> &'static str {
        "a rolling restart of all nodes under load"
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        cx.wait_until_share(BEGIN_AT).await;
        let mut findings = Findings::default();
        for name in cx.fleet.node_names() {
            if let Err(problem) = restart(cx, &name).await {
                findings.failures.push(problem);
            }
        }
        if Instant::now() > cx.until {
            let problem = "the load ended before all nodes were restarted; give it more --seconds";
            findings.failures.push(problem.to_owned());
        }
        findings
    }

    async fn check_fleet(&self, cx: &CaseContext<'_>) -> Findings {
        Findings {
            failures: wait_for_equal_views(cx.fleet)
                .await
                .err()
                .into_iter()
                .collect(),
            ..Findings::default()
        }
    }
}

async fn restart(cx: &CaseContext<'_>, name: &str) -> Result<(), String> {
    let text = |err: FleetError| err.to_string();
    let status = cx.fleet.stop_node(name).await.map_err(text)?;
    cx.fleet.start_node(name).await.map_err(text)?;
    match status.success() {
        true => Ok(()),
        false => Err(format!("node {name} exited with {status}")),
    }
}
