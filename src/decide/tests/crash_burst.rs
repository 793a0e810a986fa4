//! Many servers that crash at the same moment, found by gateways one after another.

use crate::clock::BootInstant;
use crate::decide::Crash;
use crate::decide::CrashBlame;
use crate::decide::PartId;
use crate::decide::Suspect;
use std::time::Duration;

const PART: PartId = 0x5;

fn at(ms: u64) -> BootInstant {
    BootInstant::from_boot(Duration::from_secs(1_000) + Duration::from_millis(ms))
}

/// Returns the crash of a server of its own at `ms` under a request with [`PART`] that was sent 4 ms before.
fn crash(ms: u64) -> Crash {
    Crash {
        server: format!("i-{ms}"),
        start_time_ms: 1,
        at: at(ms),
        suspects: vec![Suspect {
            request: ms,
            parts: vec![PART],
            whole: None,
            sent_at: at(ms - 4),
        }],
    }
}

/// Returns whether the part is held after crashes at these times.
fn is_held(times: &[u64]) -> bool {
    let mut blame = CrashBlame::default();
    for &ms in times {
        blame.record_crash(crash(ms));
        blame.update_holds(at(ms));
    }
    !blame.holds().is_empty()
}

#[test]
fn servers_that_crash_in_a_burst_blame_no_part_that_is_sent_to_several_of_them() {
    assert!(!is_held(&[100, 110, 120, 130, 140, 150, 160]));
}

#[test]
fn crashes_that_are_found_soon_after_a_burst_belong_to_it() {
    assert!(!is_held(&[100, 110, 120, 130, 140, 300, 500, 900]));
}

#[test]
fn a_hold_ends_when_its_crashes_turn_out_to_be_of_a_burst() {
    let first = [100, 120];
    assert!(is_held(&first));

    // The other gateways' reports arrive later.
    assert!(!is_held(&[100, 120, 110, 130, 140]));
}

#[test]
fn a_part_that_is_in_two_bursts_is_held() {
    assert!(is_held(&[
        100, 110, 120, 130, 140, 2_100, 2_110, 2_120, 2_130, 2_140
    ]));
}

#[test]
fn a_part_that_goes_on_crashing_servers_after_a_burst_is_held() {
    assert!(is_held(&[100, 110, 120, 130, 140, 600, 1_150]));
}

#[test]
fn crashes_at_a_high_rate_are_no_burst() {
    assert!(is_held(&[100, 130]));
    assert!(is_held(&[100, 130, 160, 190, 220, 250]));
}
