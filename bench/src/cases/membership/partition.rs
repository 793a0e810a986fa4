//! Data centres that are disconnected from each other and from the platform, and then reconnected.

use async_trait::async_trait;

use super::agree::wait_for_equal_views;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;
use crate::fleet::Fleet;
use crate::fleet::PLATFORM_ZONE;
use crate::proxy::Fault;
use crate::proxy::Rule;
use crate::proxy::RuleId;
use crate::proxy::Selector;

/// Share of the load's duration after which the data centres are disconnected.
const DISCONNECT_AT: f64 = 0.25;
/// Share of the load's duration after which they are reconnected.
const RECONNECT_AT: f64 = 0.6;

/// A network partition between all data centres and the platform.
pub struct Partition;

#[async_trait]
impl Case for Partition {
    fn name(&self) -> &'static str {
        "partition"
    }

    fn description(&self) -> &'static str {
        "data centres cut off from each other and from the platform, then joined again"
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        cx.wait_until_share(DISCONNECT_AT).await;
        // A closed connection is noticed immediately, a silent one only by a timeout. The seed selects the fault, so
        // that runs with several seeds test both.
        let fault = match cx.seed % 2 {
            0 => Fault::Cut,
            _ => Fault::SilentAll,
        };
        let rules = disconnect(cx.fleet, fault);
        cx.wait_until_share(RECONNECT_AT).await;
        for rule in rules {
            cx.fleet.proxy().clear_rule(rule);
        }
        let agreed = wait_for_equal_views(cx.fleet).await;
        Findings {
            failures: agreed.err().into_iter().collect(),
            ..Findings::default()
        }
    }
}

/// Applies the fault between all pairs of data centres, and between each data centre and the platform.
fn disconnect(fleet: &Fleet, fault: Fault) -> Vec<RuleId> {
    let zones: Vec<String> = (1..=fleet.options().data_centres)
        .map(|number| format!("dc{number}"))
        .collect();
    let mut rules = Vec::new();
    for from in &zones {
        let others = zones.iter().filter(|to| *to != from).map(String::as_str);
        for to in others.chain([PLATFORM_ZONE]) {
            rules.push(fleet.proxy().set_rule(Rule {
                from: Selector::Zone(from.clone()),
                to: Selector::Zone(to.to_owned()),
                fault,
            }));
        }
    }
    rules
}
