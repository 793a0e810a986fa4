//! Backend servers that are marked as leaving while they run requests.

use async_trait::async_trait;

use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;

/// Shares of the load's duration after which a quarter of the engines and one plain server are marked as leaving.
const LEAVE_AT: [f64; 2] = [0.2, 0.45];

/// Backend servers that leave in two rounds.
pub struct Drain;

#[async_trait]
impl Case for Drain {
    fn name(&self) -> &'static str {
        "drain"
    }

    fn description(&self) -> &'static str {
        "backend servers marked as leaving in the host list, half of them in the end"
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        let mut findings = Findings::default();
        let engines = cx.fleet.engine_names();
        let plain = cx.fleet.plain_names();
        let quarter = engines.len().div_ceil(4);
        for (round, share) in LEAVE_AT.into_iter().enumerate() {
            cx.wait_until_share(share).await;
            let leaving = engines.iter().skip(round * quarter).take(quarter);
            for name in leaving.chain(plain.get(round)) {
                if let Err(err) = cx.fleet.mark_leaving(name) {
                    findings.failures.push(err.to_string());
                }
            }
        }
        findings
    }
}
