//! Many callers are turned away in the same instant.

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
