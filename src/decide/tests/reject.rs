//! A service that gets more than it can run.

use crate::decide::Admission;
use crate::decide::Call;
use crate::decide::Crowd;
use crate::decide::RANKS;
use crate::decide::ServiceLog;
use std::time::Duration;

/// Time of a call on a slot, as on the sheets.
const WORK: Duration = Duration::from_millis(60);
const TARGET: Duration = Duration::from_millis(300);

fn call(chance: f64, is_return: bool) -> Call {
    Call {
        chance,
        rank: 0,
        is_return,
        latency_target: TARGET,
        is_stream: false,
    }
}

/// A service whose requests are all of the most urgent rank.
fn crowd(fill: f64, return_share: f64) -> Crowd {
    let mut ranks = [0.0; RANKS];
    ranks[0] = 1.0;
    Crowd {
        fill,
        slot_time: Some(WORK),
        time_to_wait: TARGET - WORK,
        ranks,
        return_share,
    }
}

/// Counts those of 1,000 evenly drawn calls that are turned away.
fn turned_away(crowd: &Crowd, is_return: bool) -> usize {
    (0..1_000)
        .map(|number| call(f64::from(number) / 1_000.0, is_return))
        .filter(|call| !Admission::default().takes(crowd, call))
        .count()
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

    let now = in_time(|fill, chance| {
        let crowd = Crowd {
            slot_time: Some(Duration::from_millis(110)),
            time_to_wait: TARGET - Duration::from_millis(110),
            ..crowd(fill, 0.0)
        };
        Admission::default().takes(&crowd, &call(chance, false))
    });

    assert!(before < 0.5, "{before} in time without turning away");
    assert!(now > 0.75, "{now} in time of 0.83 that can be run");
}

#[test]
fn nothing_is_turned_away_while_nothing_waits() {
    let full = turned_away(&crowd(1.0, 0.0), false);
    let short_queues = turned_away(&crowd(2.0, 0.0), false);
    let unknown_work = Crowd {
        slot_time: None,
        ..crowd(9.0, 0.0)
    };

    assert_eq!((full, short_queues), (0, 0));
    assert_eq!(turned_away(&unknown_work, false), 0);
}

#[test]
fn how_long_a_queue_may_be_follows_from_work_and_target() {
    let short_work = Crowd {
        slot_time: Some(WORK / 3),
        ..crowd(4.0, 0.0)
    };

    let (short, long) = (
        turned_away(&short_work, false),
        turned_away(&crowd(4.0, 0.0), false),
    );

    assert_eq!(short, 0);
    assert!(long > 200, "{long}");
}

#[test]
fn callers_that_come_back_are_favoured_and_newcomers_turned_away_for_them() {
    let crowd = crowd(4.0, 0.25);

    let (newcomers, returns) = (turned_away(&crowd, false), turned_away(&crowd, true));

    let equal = turned_away(
        &Crowd {
            return_share: 0.0,
            ..crowd
        },
        false,
    );
    let together = (newcomers * 3 + returns) / 4;
    assert!(returns * 4 <= equal * 3 + 4, "{returns} of {equal}");
    assert!(together.abs_diff(equal) <= 2, "{together}, {equal}");
}

#[test]
fn the_least_urgent_are_turned_away_first_but_never_all_of_them() {
    let mut ranks = [0.0; RANKS];
    (ranks[0], ranks[1], ranks[2]) = (0.4, 0.3, 0.3);
    let share = |fill: f64, rank: u8| {
        let crowd = Crowd {
            ranks,
            ..crowd(fill, 0.0)
        };
        let calls = (0..1_000).map(|number| Call {
            rank,
            ..call(f64::from(number) / 1_000.0, false)
        });
        calls
            .filter(|call| !Admission::default().takes(&crowd, call))
            .count()
    };

    // A wait of 150 ms of the 240 that there are: a fifth of all is turned away.
    let some = [share(3.5, 0), share(3.5, 1), share(3.5, 2)];
    let many = [share(9.0, 0), share(9.0, 1), share(9.0, 2)];

    assert_eq!(some, [0, 0, 667]);
    assert_eq!(many, [800, 800, 800]);
}

#[test]
fn a_log_learns_times_ranks_and_what_targets_leave() {
    let mut log = ServiceLog::default();

    for number in 0..400 {
        log.note_time(WORK * 3, 3.0);
        let rank = if number % 4 == 0 { 0 } else { 2 };
        log.note_call(&Call {
            rank,
            ..call(0.0, false)
        });
    }
    let crowd = log.crowd(2.0, 0.0);

    let near = |time: Duration, wanted: Duration| time.abs_diff(wanted) < Duration::from_millis(2);
    assert!(near(crowd.expected_wait(), WORK));
    assert!(near(crowd.time_to_wait, TARGET - WORK));
    assert!((0.2..0.3).contains(&crowd.ranks[0]), "{:?}", crowd.ranks);
    assert!((0.7..0.8).contains(&crowd.ranks[2]), "{:?}", crowd.ranks);
}
