//! Engines join, leave with and without an announcement, and nodes are restarted, while the host list reaches readers
//! late, so that the nodes have different versions of it.

use std::time::Duration;

use async_trait::async_trait;
use rand::RngExt;

use super::case_rng;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;
use crate::cases::RunOptions;

/// Salt that makes the random choices of this case independent of those of other cases.
const SALT: u64 = 13;
/// Maximum pause between two changes.
const MAX_PAUSE: Duration = Duration::from_millis(1_200);
/// Delay of the host list, during which nodes may have different versions of it.
const HOST_LIST_LAG: Duration = Duration::from_secs(2);
/// Number of engines at which no more are removed.
const MIN_ENGINES: usize = 6;
/// Number of engines at which no more are added.
const MAX_ENGINES: usize = 10;

/// Engines and nodes that join and leave.
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
        options.fleet.host_list_lag = HOST_LIST_LAG;
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        let mut findings = Findings::default();
        let mut rng = case_rng(cx, SALT);
        let mut engine_number = cx.fleet.options().engines;
        let nodes = cx.fleet.node_names();
        while cx.pause(rng.random_range(MAX_PAUSE / 3..=MAX_PAUSE)).await {
            let names = cx.fleet.engine_names();
            let name = &names[rng.random_range(0..names.len())];
            match rng.random_range(0..4) {
                0 | 1 if names.len() < MAX_ENGINES => {
                    engine_number += 1;
                    let engine = cx.fleet.options().engine_options(engine_number);
                    findings.record_failure(cx.fleet.add_engine(engine).await);
                }
                2 if names.len() > MIN_ENGINES => {
                    findings.record_failure(cx.fleet.mark_leaving(name));
                    cx.pause(HOST_LIST_LAG * 2).await;
                    findings.record_failure(cx.fleet.remove_engine(name).await);
                }
                3 if names.len() > MIN_ENGINES => {
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
