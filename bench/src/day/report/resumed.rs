//! How streams went on that callers took up again, at gateways that were out of step and at others.

use std::fmt;
use std::time::Duration;

use super::super::record::CallerAttempt;
use super::super::record::DayRecord;

/// Troubles that keep a gateway out of step.
const OUT_OF_STEP: [&str; 5] = [
    "core_cut",
    "node_cut",
    "node_freeze",
    "node_slow",
    "zone_cut",
];
/// Time after such a trouble within which a gateway is to serve like the others again.
const CATCH_UP: Duration = Duration::from_secs(1);
/// Time after that for which it is told apart from them.
const CAUGHT_UP: Duration = Duration::from_secs(3);

/// The gateway at which a stream was taken up.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// None kept it out of step lately.
    InStep,
    /// It is out of step, or was until less than a second ago.
    Behind,
    /// It was until a few seconds ago.
    CaughtUp,
}

/// How the streams of one kind went on that were taken up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resumed {
    /// Where they were taken up.
    pub standing: Standing,
    /// Whether their callers named the first attempt.
    pub is_named: bool,
    /// Attempts to take up a stream.
    pub attempts: usize,
    /// Those that brought a further event or the end.
    pub gone_on: usize,
    /// The delays that those asked for that were refused, sorted.
    pub refused: Vec<Duration>,
}

impl fmt::Display for Resumed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = if self.is_named { "named" } else { "unnamed" };
        let Self {
            standing,
            attempts,
            gone_on,
            refused,
            ..
        } = self;
        let count = refused.len();
        let other = attempts - gone_on - count;
        write!(
            f,
            "streams taken up, {named}, {standing:?}: {attempts}, {gone_on} went on, {count} refused, {other} other"
        )?;
        if let (Some(least), Some(largest)) = (refused.first(), refused.last()) {
            let middle = refused[count / 2];
            write!(
                f,
                "; Retry-After {least:.2?} to {largest:.2?}, median {middle:.2?}"
            )?;
        }
        Ok(())
    }
}

/// Returns how the streams of a day went on that were taken up, by gateways and then by callers.
pub fn resumed(record: &DayRecord) -> Vec<Resumed> {
    let resumptions = record
        .attempts
        .iter()
        .filter(|attempt| attempt.resume_after.is_some());
    let mut resumptions: Vec<((Standing, bool), &CallerAttempt)> = resumptions
        .map(|attempt| ((standing(record, attempt), attempt.names_first), attempt))
        .collect();
    resumptions.sort_by_key(|(kind, _)| *kind);
    let kinds = resumptions.chunk_by(|(one, _), (other, _)| one == other);
    kinds
        .map(|of_kind| {
            let ((standing, is_named), _) = of_kind[0];
            let refused = of_kind.iter().filter(|(_, it)| is_refused(it));
            let mut refused: Vec<Duration> = refused
                .map(|(_, it)| it.retry_after.unwrap_or_default())
                .collect();
            refused.sort_unstable();
            Resumed {
                standing,
                is_named,
                attempts: of_kind.len(),
                gone_on: of_kind.iter().filter(|(_, it)| it.went_on()).count(),
                refused,
            }
        })
        .collect()
}

fn is_refused(attempt: &CallerAttempt) -> bool {
    matches!(attempt.status, 421 | 429 | 503)
}

/// Returns how the gateway of an attempt stood when it was sent.
fn standing(record: &DayRecord, attempt: &CallerAttempt) -> Standing {
    let troubles = record.troubles.iter().filter(|trouble| {
        let is_of_gateway = attempt
            .gateway
            .is_some_and(|gateway| trouble.gateways.contains(&gateway));
        is_of_gateway && OUT_OF_STEP.contains(&trouble.kind.as_str())
    });
    let standings = troubles.map(|trouble| {
        let end = trouble.end.unwrap_or(record.ended);
        if attempt.ended < trouble.start || attempt.sent >= end + CATCH_UP + CAUGHT_UP {
            Standing::InStep
        } else if attempt.sent < end + CATCH_UP {
            Standing::Behind
        } else {
            Standing::CaughtUp
        }
    });
    let mut standings: Vec<Standing> = standings.collect();
    standings.sort_unstable();
    match standings.binary_search(&Standing::Behind) {
        Ok(_) => Standing::Behind,
        Err(_) => standings.pop().unwrap_or(Standing::InStep),
    }
}
