//! Nodes whose processes are paused for seconds and then resumed, like hosts that hang.

use std::time::Duration;

use async_trait::async_trait;
use rand::RngExt;

use super::case_rng;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;

/// Salt that makes the random choices of this case independent of those of other cases.
const SALT: u64 = 12;
/// Maximum time before a node is paused.
const MAX_PAUSE: Duration = Duration::from_millis(2_000);
/// Maximum time for which a node is paused.
const MAX_PAUSED_TIME: Duration = Duration::from_millis(4_000);

/// Paused and resumed nodes.
pub struct Paused;

#[async_trait]
impl Case for Paused {
    fn name(&self) -> &'static str {
        "paused"
    }

    fn description(&self) -> &'static str {
        "a node stopped for seconds, then resumed"
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
            findings.record_failure(cx.fleet.pause_node(name));
            let paused_time = rng.random_range(MAX_PAUSED_TIME / 2..=MAX_PAUSED_TIME);
            cx.pause(paused_time).await;
            findings.record_failure(cx.fleet.resume_node(name));
        }
    }
}
