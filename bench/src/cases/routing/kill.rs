//! Nodes that are killed while requests are in flight and then restarted, one at a time.

use std::time::Duration;

use async_trait::async_trait;
use rand::RngExt;

use super::case_rng;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;

/// Salt that makes the random choices of this case independent of those of other cases.
const SALT: u64 = 11;
/// Maximum pause before a node is killed.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);
/// Maximum time until a killed node is restarted.
const MAX_DOWNTIME: Duration = Duration::from_millis(1_500);

/// Killed and restarted nodes.
pub struct Kill;

#[async_trait]
impl Case for Kill {
    fn name(&self) -> &'static str {
        "kill"
    }

    fn description(&self) -> &'static str {
        "nodes killed in flight and started again"
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        let mut findings = Findings::default();
        let mut rng = case_rng(cx, SALT);
        let names = cx.fleet.node_names();
        loop {
            let pause = rng.random_range(MAX_PAUSE / 4..=MAX_PAUSE);
            if !cx.pause(pause).await {
                return findings;
            }
            let name = &names[rng.random_range(0..names.len())];
            findings.record_failure(cx.fleet.kill_node(name).await);
            let downtime = rng.random_range(MAX_DOWNTIME / 4..=MAX_DOWNTIME);
            cx.pause(downtime).await;
            findings.record_failure(cx.fleet.start_node(name).await);
        }
    }
}
