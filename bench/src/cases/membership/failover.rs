//! A node that is killed while the host list still contains it.

use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;

use super::agree::wait_for_equal_views;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;

/// Share of the load's duration after which a node is killed.
const KILL_AT: f64 = 0.3;
/// Maximum time from the kill until new owners serve the node's engines.
const MAX_FAILOVER_TIME: Duration = Duration::from_secs(3);
/// Last part of that time, in which each engine must start a request. Requests started before it may have been sent by
/// the former owner.
const CHECKED_PART: Duration = Duration::from_secs(1);

/// A killed node whose engines must be served by other nodes.
pub struct Failover;

#[async_trait]
impl Case for Failover {
    fn name(&self) -> &'static str {
        "failover"
    }

    fn description(&self) -> &'static str {
        "a node killed while the host list still shows it; its engines work on under others"
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        let mut findings = Findings::default();
        cx.wait_until_share(KILL_AT).await;
        let names = cx.fleet.node_names();
        let name = &names[cx.seed as usize % names.len()];
        if let Err(err) = cx.fleet.kill_node(name).await {
            findings.failures.push(err.to_string());
        }
        let killed = Instant::now();
        tokio::time::sleep(MAX_FAILOVER_TIME).await;
        if Instant::now() > cx.until {
            let problem = "the load ended before new owners had to serve; give it more --seconds";
            findings.failures.push(problem.to_owned());
        }
        let from = killed + MAX_FAILOVER_TIME - CHECKED_PART;
        findings.failures.extend(idle_engines(cx, from, &killed));
        if let Err(err) = cx.fleet.start_node(name).await {
            findings.failures.push(err.to_string());
        }
        findings
            .failures
            .extend(wait_for_equal_views(cx.fleet).await.err());
        findings
    }
}

/// Returns a message for each engine that started no request between `from` and the end of [`MAX_FAILOVER_TIME`].
fn idle_engines(cx: &CaseContext<'_>, from: Instant, killed: &Instant) -> Vec<String> {
    let starts = cx.fleet.truth().engine_starts();
    let served = |engine: &str| {
        let mut own = starts.iter().filter(|start| start.engine == engine);
        own.any(|start| start.at >= from && start.at <= *killed + MAX_FAILOVER_TIME)
    };
    let names = cx.fleet.engine_names();
    let idle = names.into_iter().filter(|name| !served(name));
    idle.map(|name| format!("{name} is idle {MAX_FAILOVER_TIME:?} after its owner was killed"))
        .collect()
}
