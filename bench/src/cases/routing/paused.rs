//! Nodes stopped for seconds without being ended, then resumed, as hosts that hang.

use std::time::Duration;

use async_trait::async_trait;
use rand::RngExt;

use super::case_rng;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;

/// Keeps the choices of this case apart from those of others.
const SALT: u64 = 12;
/// Longest pause before a node is stopped.
const PAUSE: Duration = Duration::from_millis(2_000);
/// Longest time that a node is stopped.
const STOPPED: Duration = Duration::from_millis(4_000);

/// The case.
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
            let pause = rng.random_range(PAUSE / 4..=PAUSE);
            if !cx.pause(pause).await {
                return findings;
            }
            let name = &names[rng.random_range(0..names.len())];
            findings.record_failure(cx.fleet.pause_node(name));
            let stopped = rng.random_range(STOPPED / 2..=STOPPED);
            cx.pause(stopped).await;
            findings.record_failure(cx.fleet.resume_node(name));
        }
    }
}
