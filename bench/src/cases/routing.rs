//! Cases that test routing under faults.

mod churn;
mod crossed;
mod kill;
mod paused;
mod silent;
mod surge;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Case;
use super::CaseContext;
use super::Findings;
use crate::fleet::FleetError;

/// Returns the cases of this module.
pub fn cases() -> Vec<Box<dyn Case>> {
    vec![
        Box::new(churn::Churn),
        Box::new(surge::SurgeCase),
        Box::new(silent::Silent),
        Box::new(crossed::Crossed),
        Box::new(kill::Kill),
        Box::new(paused::Paused),
    ]
}

/// Returns a random number generator for one case, so that cases in the same run do not affect each other's choices.
fn case_rng(cx: &CaseContext<'_>, salt: u64) -> StdRng {
    StdRng::seed_from_u64(cx.seed.wrapping_mul(1_000_003).wrapping_add(salt))
}

impl Findings {
    /// Records a failure if a fault could not be applied, because a run without its faults proves nothing.
    fn record_failure(&mut self, result: Result<(), FleetError>) {
        self.failures
            .extend(result.err().map(|err| err.to_string()));
    }
}
