//! A fleet of any size with few requests, to measure the resources that control traffic uses on each node.

use async_trait::async_trait;

use super::agree::wait_for_equal_views;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;
use crate::cases::RunOptions;

/// Number of callers of chats; small, so that most resources are used by control traffic.
const CHAT_CALLERS: u32 = 2;

/// Control traffic of a fleet with little load.
pub struct Scale;

#[async_trait]
impl Case for Scale {
    fn name(&self) -> &'static str {
        "scale"
    }

    fn description(&self) -> &'static str {
        "few requests, for control bytes, processor and memory a node at --nodes 4 to 64"
    }

    fn options(&self, options: &mut RunOptions) {
        options.load.chat_callers = CHAT_CALLERS;
        options.load.plain_callers = 1;
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        Findings {
            failures: wait_for_equal_views(cx.fleet)
                .await
                .err()
                .into_iter()
                .collect(),
            ..Findings::default()
        }
    }
}
