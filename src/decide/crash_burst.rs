//! Finds crashes of so many servers at the same moment that they have a common cause, and count as one.
//!
//! Load pattern: many servers lose their links or their power at once. Gateways find out as they send on connections from
//! before: most within milliseconds, some a little later, each for a server of its own.

use crate::clock::BootInstant;
use std::time::Duration;

/// Number of servers that crash within [`BURST_TIME`] in a burst.
const MIN_BURST: usize = 5;
/// Time within which that many servers crash at the beginning of a burst.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Time from the first crash of a burst in which further ones belong to it. Servers that go on crashing are blamed on what
/// they share after that.
const MAX_BURST_TIME: Duration = Duration::from_secs(1);

/// Crashes of many servers at the same moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Burst {
    /// When the first server crashed.
    first: BootInstant,
    /// End of the time in which crashes belong to it.
    end: BootInstant,
}

/// Returns the bursts among crashes of different servers at `times`, which are sorted.
pub(super) fn find_bursts(times: &[BootInstant]) -> Vec<Burst> {
    let mut bursts: Vec<Burst> = Vec::new();
    for (index, &first) in times.iter().enumerate() {
        let is_in_last = bursts.last().is_some_and(|last| first <= last.end);
        let is_first = times
            .get(index + MIN_BURST - 1)
            .is_some_and(|&at| at.since(first) <= BURST_TIME);
        if is_first && !is_in_last {
            bursts.push(Burst {
                first,
                end: first.plus(MAX_BURST_TIME),
            });
        }
    }
    bursts
}

/// Returns whether crashes at both times belong to the same burst.
pub(super) fn are_of_one_burst(bursts: &[Burst], a: BootInstant, b: BootInstant) -> bool {
    let has = |burst: &Burst, at| burst.first <= at && at <= burst.end;
    bursts.iter().any(|burst| has(burst, a) && has(burst, b))
}
