//! Cases of calls that must run at most once.

use std::time::Duration;

use async_trait::async_trait;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use super::Case;
use super::CaseContext;
use super::Findings;
use super::RunOptions;
use crate::load::CallKind;
use crate::load::CallRecord;
use crate::standin::log::LogFaults;

/// Callers that send each payment through all nodes at once.
const GROUP_CALLERS: u32 = 32;
/// Callers of chats beside them, so that the nodes do their other work too.
const CHAT_CALLERS: u32 = 8;
/// Fewest non-idempotent calls that tell anything.
const MIN_PAYMENTS: usize = 1_000;

/// Shortest and longest time that the log is at fault, in milliseconds.
const FAULT_MS: (u64, u64) = (500, 2_000);
/// Shortest and longest time between two faults of the log, in milliseconds.
const BETWEEN_MS: (u64, u64) = (300, 1_500);
/// Delay of each answer of a slow log, in milliseconds; the longest is beyond the nodes' timeout.
const DELAY_MS: (u64, u64) = (100, 3_000);
/// Appends in a thousand whose answers are lost.
const LOST_PERMILLE: (u32, u32) = (100, 700);

/// Repeats of one key through all nodes at the same time.
struct Once;

#[async_trait]
impl Case for Once {
    fn name(&self) -> &'static str {
        "once"
    }

    fn description(&self) -> &'static str {
        "each payment sent through all nodes at the same time under one key"
    }

    fn options(&self, options: &mut RunOptions) {
        options.load.group_callers = GROUP_CALLERS;
        options.load.chat_callers = CHAT_CALLERS;
    }

    fn check_calls(&self, calls: &[CallRecord]) -> Findings {
        let payments = calls
            .iter()
            .filter(|call| call.kind == CallKind::Payment)
            .count();
        let mut findings = Findings::default();
        if payments < MIN_PAYMENTS {
            findings.failures.push(format!(
                "only {payments} payments were made, {MIN_PAYMENTS} are needed"
            ));
        }
        findings
    }
}

/// Ways in which the log is at fault.
#[derive(Clone, Copy)]
enum LogFault {
    Down,
    Slow,
    LosesAnswers,
}

/// The log goes down, is slow, and loses answers of appends that took effect.
struct LogOutage;

#[async_trait]
impl Case for LogOutage {
    fn name(&self) -> &'static str {
        "log-outage"
    }

    fn description(&self) -> &'static str {
        "the log is down, slow, or loses answers of appends that took effect"
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        let mut rng = StdRng::seed_from_u64(cx.seed);
        let faults = cx.fleet.log().faults();
        let mut kinds = [LogFault::Down, LogFault::Slow, LogFault::LosesAnswers];
        'load: loop {
            kinds.shuffle(&mut rng);
            for kind in kinds {
                let between = rng.random_range(BETWEEN_MS.0..=BETWEEN_MS.1);
                if !cx.pause(Duration::from_millis(between)).await {
                    break 'load;
                }
                set(kind, faults, &mut rng);
                let lasts = rng.random_range(FAULT_MS.0..=FAULT_MS.1);
                let goes_on = cx.pause(Duration::from_millis(lasts)).await;
                clear(faults);
                if !goes_on {
                    break 'load;
                }
            }
        }
        Findings::default()
    }
}

fn set(kind: LogFault, faults: &LogFaults, rng: &mut StdRng) {
    match kind {
        LogFault::Down => faults.set_down(true),
        LogFault::Slow => {
            let delay = rng.random_range(DELAY_MS.0..=DELAY_MS.1);
            faults.set_delay(Duration::from_millis(delay));
        }
        LogFault::LosesAnswers => {
            faults.set_lose_answers(rng.random_range(LOST_PERMILLE.0..=LOST_PERMILLE.1));
        }
    }
}

fn clear(faults: &LogFaults) {
    faults.set_down(false);
    faults.set_delay(Duration::ZERO);
    faults.set_lose_answers(0);
}

/// All cases of this slice.
pub fn cases() -> Vec<Box<dyn Case>> {
    vec![Box::new(Once), Box::new(LogOutage)]
}
