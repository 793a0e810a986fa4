//! Cases with calls that must run at most once.

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

/// Number of callers that send each payment through all nodes at the same time.
const GROUP_CALLERS: u32 = 32;
/// Number of callers of chats beside them, so that the nodes also have other work.
const CHAT_CALLERS: u32 = 8;
/// Minimum number of payments for a meaningful result.
const MIN_PAYMENTS: usize = 1_000;

/// Minimum and maximum duration of a fault of the log, in milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (500, 2_000);
/// Minimum and maximum time between two faults of the log, in milliseconds.
const PAUSE_MS: (u64, u64) = (300, 1_500);
/// Minimum and maximum response delay of a slow log, in milliseconds. The maximum is longer than the nodes' timeout.
const DELAY_MS: (u64, u64) = (100, 3_000);
/// Minimum and maximum share of appends whose responses are lost, in thousandths.
const LOST_PERMILLE: (u32, u32) = (100, 700);

/// Each payment is sent through all nodes at the same time under one key.
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

/// Kind of a fault of the log.
#[derive(Clone, Copy)]
enum LogFault {
    Down,
    Slow,
    LosesAnswers,
}

/// The log is unavailable, is slow, or loses responses of appends that took effect.
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
                let pause_ms = rng.random_range(PAUSE_MS.0..=PAUSE_MS.1);
                if !cx.pause(Duration::from_millis(pause_ms)).await {
                    break 'load;
                }
                set_fault(kind, faults, &mut rng);
                let duration_ms = rng.random_range(FAULT_DURATION_MS.0..=FAULT_DURATION_MS.1);
                let is_load_running = cx.pause(Duration::from_millis(duration_ms)).await;
                clear_faults(faults);
                if !is_load_running {
                    break 'load;
                }
            }
        }
        Findings::default()
    }
}

fn set_fault(kind: LogFault, faults: &LogFaults, rng: &mut StdRng) {
    match kind {
        LogFault::Down => faults.set_down(true),
        LogFault::Slow => {
            let delay = rng.random_range(DELAY_MS.0..=DELAY_MS.1);
            faults.set_delay(Duration::from_millis(delay));
        }
        LogFault::LosesAnswers => {
            faults.set_lost_responses(rng.random_range(LOST_PERMILLE.0..=LOST_PERMILLE.1));
        }
    }
}

fn clear_faults(faults: &LogFaults) {
    faults.set_down(false);
    faults.set_delay(Duration::ZERO);
    faults.set_lost_responses(0);
}

/// Returns the cases of this module.
pub fn cases() -> Vec<Box<dyn Case>> {
    vec![Box::new(Once), Box::new(LogOutage)]
}
