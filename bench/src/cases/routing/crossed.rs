//! Engines that answer late, answer with the answer to another request, or truncate their answers.

use std::time::Duration;

use async_trait::async_trait;

use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;

/// Share of answers with each fault, in thousandths.
const FAULT_PERMILLE: u32 = 30;
/// Delay of late answers.
const LATE_DELAY: Duration = Duration::from_millis(800);

/// Late, crossed and truncated answers.
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
                engine.faults().set_late_by(LATE_DELAY);
                engine.faults().set_late(FAULT_PERMILLE);
                engine.faults().set_crossed(FAULT_PERMILLE);
                engine.faults().set_truncated(FAULT_PERMILLE);
            });
        }
        while cx.pause(LATE_DELAY).await {}
        Findings::default()
    }
}
