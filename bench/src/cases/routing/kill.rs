//! Nodes killed in flight and started again, one after another.

use std::time::Duration;

use async_trait::async_trait;
use rand::RngExt;

use super::case_rng;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;

/// Keeps the choices of this case apart from those of others.
const SALT: u64 = 11;
/// Longest pause before a node is killed.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Longest time that a killed node is away.
const AWAY: Duration = Duration::from_millis(1_500);

/// The case.
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
            let pause = rng.random_range(PAUSE / 4..=PAUSE);
            if !cx.pause(pause).await {
                return findings;
            }
            let name = &names[rng.random_range(0..names.len())];
            findings.record_failure(cx.fleet.kill_node(name).await);
            let away = rng.random_range(AWAY / 4..=AWAY);
            cx.pause(away).await;
            findings.record_failure(cx.fleet.start_node(name).await);
        }
    }
}
