//! Cases of the routing policy.

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

/// All cases of this slice.
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

/// Gives a case its own generator, so that cases that run together don't change each other's choices.
fn case_rng(cx: &CaseContext<'_>, salt: u64) -> StdRng {
    StdRng::seed_from_u64(cx.seed.wrapping_mul(1_000_003).wrapping_add(salt))
}

impl Findings {
    /// Notes a fault that could not be applied, because a run without its faults shows nothing.
    fn record_failure(&mut self, result: Result<(), FleetError>) {
        self.failures
            .extend(result.err().map(|err| err.to_string()));
    }
}
