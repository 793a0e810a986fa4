//! Late, crossed and truncated answers of engines.

use std::time::Duration;

use async_trait::async_trait;

use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;

/// Answers in a thousand that each fault hits.
const PERMILLE: u32 = 30;
/// By how much late answers are late.
const LATE_BY: Duration = Duration::from_millis(800);

/// The case.
pub struct Crossed;

#[async_trait]
impl Case for Crossed {
    fn name(&self) -> &'static str {
        "crossed"
    }

    fn description(&self) -> &'static str {
        "late, crossed and truncated answers of engines"
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        for name in cx.fleet.engine_names() {
            cx.fleet.with_engine(&name, |engine| {
                engine.faults().set_late_by(LATE_BY);
                engine.faults().set_late(PERMILLE);
                engine.faults().set_crossed(PERMILLE);
                engine.faults().set_truncated(PERMILLE);
            });
        }
        while cx.pause(LATE_BY).await {}
        Findings::default()
    }
}
