//! A fleet of any size with few requests, for what control takes a node.

use async_trait::async_trait;

use super::agree::wait_for_equal_views;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;
use crate::cases::RunOptions;

/// Callers of chats; few, so that control shows.
const CALLERS: u32 = 2;

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
        options.load.chat_callers = CALLERS;
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
