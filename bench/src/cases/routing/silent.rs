//! Open connections that stop carrying data without being closed, while new connections work.

use std::time::Duration;

use async_trait::async_trait;
use rand::RngExt;

use super::case_rng;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;
use crate::proxy::Fault;
use crate::proxy::Rule;
use crate::proxy::Selector;

/// Salt that makes the random choices of this case independent of those of other cases.
const SALT: u64 = 14;
/// Maximum pause between two faults.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// Open connections that stop carrying data.
pub struct Silent;

#[async_trait]
impl Case for Silent {
    fn name(&self) -> &'static str {
        "silent"
    }

    fn description(&self) -> &'static str {
        "open connections to engines, services and nodes go silent"
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        let mut rng = case_rng(cx, SALT);
        let mut names = cx.fleet.engine_names();
        names.extend(cx.fleet.node_names());
        names.extend(cx.fleet.plain_names());
        while cx.pause(rng.random_range(MAX_PAUSE / 3..=MAX_PAUSE)).await {
            let name = &names[rng.random_range(0..names.len())];
            cx.fleet.proxy().set_rule(Rule {
                from: Selector::Any,
                to: Selector::Name(name.clone()),
                fault: Fault::SilentOpen,
            });
        }
        Findings::default()
    }
}
