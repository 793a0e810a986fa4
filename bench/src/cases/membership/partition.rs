//! Data centres that are cut off from each other and from the platform, and joined again.

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

/// Share of the load's time after which the data centres are cut off.
const CUT_AT: f64 = 0.25;
/// Share of the load's time after which they are joined again.
const HEAL_AT: f64 = 0.6;

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
        cx.wait_until_share(CUT_AT).await;
        // A cut shows at once, silence only by deadlines; the seed decides, so that a campaign has both.
        let fault = match cx.seed % 2 {
            0 => Fault::Cut,
            _ => Fault::SilentAll,
        };
        let rules = cut_off(cx.fleet, fault);
        cx.wait_until_share(HEAL_AT).await;
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

/// Sets the fault between each two data centres, and between each and the platform.
fn cut_off(fleet: &Fleet, fault: Fault) -> Vec<RuleId> {
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
