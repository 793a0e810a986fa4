//! Many callers are turned away in the same instant.

use crate::decide::Admission;
use crate::decide::Returns;
use std::time::Duration;

fn returns() -> Returns {
    Returns {
        soonest: Duration::from_millis(150),
        spread: Duration::from_millis(850),
    }
}

/// Numbers as far apart as hashes of request ids are.
fn salts() -> impl Iterator<Item = u64> {
    (0..1_000u64).map(|number| number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

#[test]
fn callers_that_are_turned_away_together_come_back_spread_out() {
    let left = Duration::from_secs(12);

    let mut tenths = [0usize; 10];
    for salt in salts() {
        let after = returns().after(salt, left);
        tenths[((after.as_millis() - 150) / 85).min(9) as usize] += 1;
    }

    assert!(
        tenths.iter().all(|&callers| (50..=150).contains(&callers)),
        "{tenths:?}"
    );
}

#[test]
fn no_caller_is_told_to_wait_longer_than_it_would() {
    let left = Duration::from_millis(600);

    let longest = salts().map(|salt| returns().after(salt, left)).max();

    assert!(longest <= Some(left / 3));
}

fn admission() -> Admission {
    Admission {
        take_all_below: 1.5,
        take_least_above: 4.0,
        turned_away_most: 0.8,
    }
}

/// Plays 333 calls a second of 110 ms on 30 slots with room for 120 more to wait, 1.2 times what they can run; gives the
/// calls that were answered within 300 ms, out of those that came.
fn in_time(takes: impl Fn(f64, f64) -> bool) -> f64 {
    let (slots, room) = (30, 150);
    let mut ends: Vec<u64> = Vec::new();
    let mut usual = 0.0;
    let (mut came, mut good) = (0u32, 0u32);
    for ms in 0..30_000u64 {
        ends.retain(|&end| end > ms);
        if ms % 250 == 0 {
            usual += (ends.len() as f64 - usual) * 0.25;
        }
        for _ in 0..u32::from(ms % 3 == 0) {
            came += 1;
            let chance = f64::from(came.wrapping_mul(0x9e37_79b9)) / f64::from(u32::MAX);
            if !takes(usual / slots as f64, chance) || ends.len() >= room {
                continue;
            }
            let start = ends
                .iter()
                .rev()
                .nth(slots - 1)
                .copied()
                .unwrap_or(0)
                .max(ms);
            ends.push(start + 110);
            good += u32::from(start + 110 - ms <= 300);
        }
    }
    f64::from(good) / f64::from(came)
}

#[test]
fn a_service_with_too_many_calls_answers_most_of_what_it_can_in_time() {
    let before = in_time(|_, _| true);

    let now = in_time(|fill, chance| admission().takes(fill, chance));

    assert!(before < 0.5, "{before} in time without turning away");
    assert!(now > 0.75, "{now} in time of 0.83 that can be run");
}

#[test]
fn nothing_is_turned_away_while_nothing_waits() {
    let taken =
        salts().all(|salt| admission().takes(1.0, f64::from(salt as u32) / f64::from(u32::MAX)));

    assert!(taken);
}
