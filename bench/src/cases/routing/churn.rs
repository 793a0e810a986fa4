//! Engines that join, leave by announcement and vanish, and nodes that stop and come back, while hosts' lists disagree.

use std::time::Duration;

use async_trait::async_trait;
use rand::RngExt;

use super::case_rng;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;
use crate::cases::RunOptions;

/// Keeps the choices of this case apart from those of others.
const SALT: u64 = 13;
/// Longest pause between two changes.
const PAUSE: Duration = Duration::from_millis(1_200);
/// Time for which lists may disagree.
const DISAGREEMENT: Duration = Duration::from_secs(2);
/// Engines below which none is taken away.
const FEWEST: usize = 6;
/// Engines above which none joins.
const MOST: usize = 10;

/// The case.
pub struct Churn;

#[async_trait]
impl Case for Churn {
    fn name(&self) -> &'static str {
        "churn"
    }

    fn description(&self) -> &'static str {
        "engines and nodes join, leave and flap; lists disagree for seconds"
    }

    fn options(&self, options: &mut RunOptions) {
        options.fleet.host_list_lag = DISAGREEMENT;
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        let mut findings = Findings::default();
        let mut rng = case_rng(cx, SALT);
        let mut next = cx.fleet.options().engines;
        let nodes = cx.fleet.node_names();
        while cx.pause(rng.random_range(PAUSE / 3..=PAUSE)).await {
            let names = cx.fleet.engine_names();
            let name = &names[rng.random_range(0..names.len())];
            match rng.random_range(0..4) {
                0 | 1 if names.len() < MOST => {
                    next += 1;
                    let engine = cx.fleet.options().engine_options(next);
                    findings.record_failure(cx.fleet.add_engine(engine).await);
                }
                2 if names.len() > FEWEST => {
                    findings.record_failure(cx.fleet.mark_leaving(name));
                    cx.pause(DISAGREEMENT * 2).await;
                    findings.record_failure(cx.fleet.remove_engine(name).await);
                }
                3 if names.len() > FEWEST => {
                    findings.record_failure(cx.fleet.remove_engine(name).await);
                }
                _ => {
                    let node = &nodes[rng.random_range(0..nodes.len())];
                    findings.record_failure(cx.fleet.stop_node(node).await.map(|_| ()));
                    findings.record_failure(cx.fleet.start_node(node).await);
                }
            }
        }
        findings
    }
}
