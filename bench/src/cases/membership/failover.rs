//! A node that is killed while the host list goes on showing it.

use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;

use super::agree::wait_for_equal_views;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;

/// Share of the load's time after which a node is killed.
const KILL_AT: f64 = 0.3;
/// Time in which a new owner must serve the node's engines.
const SERVED_WITHIN: Duration = Duration::from_secs(3);
/// Part of that time before its end in which each engine must start work; what started before may be the former owner's.
const LOOK_FOR: Duration = Duration::from_secs(1);

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
        tokio::time::sleep(SERVED_WITHIN).await;
        if Instant::now() > cx.until {
            let problem = "the load ended before new owners had to serve; give it more --seconds";
            findings.failures.push(problem.to_owned());
        }
        let from = killed + SERVED_WITHIN - LOOK_FOR;
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

/// Names the engines that started nothing from `from` until the time was over.
fn idle_engines(cx: &CaseContext<'_>, from: Instant, killed: &Instant) -> Vec<String> {
    let starts = cx.fleet.truth().engine_starts();
    let served = |engine: &str| {
        let mut own = starts.iter().filter(|start| start.engine == engine);
        own.any(|start| start.at >= from && start.at <= *killed + SERVED_WITHIN)
    };
    let names = cx.fleet.engine_names();
    let idle = names.into_iter().filter(|name| !served(name));
    idle.map(|name| format!("{name} started nothing {SERVED_WITHIN:?} after its owner failed"))
        .collect()
}
